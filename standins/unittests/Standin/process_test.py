"""Tests of the worker process and of the harness that starts it."""

import subprocess
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[3] / "scripts"))
import harness  # noqa: E402

ADDRESS = "127.0.0.1:{}"


class ProcessTest(unittest.TestCase):
    def setUp(self):
        self.processes = harness.Processes()
        self.addCleanup(self.processes._remove_folder)
        self.addCleanup(self.processes.end_all)

    def start_workers(self):
        address = ADDRESS.format(self.processes.ports.allocate())
        workers = [
            {"id": f"w{n}", "zone": f"z{n % 2}", "rack": "r", "cores": 1, "memoryMb": 1, "accelerators": 2, "address": address} for n in range(4)
        ]
        configuration = self.processes.write("configuration.json", {"workers": workers})
        control, store = self.processes.ports.allocate(), self.processes.ports.allocate()
        return harness.StandIn(self.processes, "platform", [store], configuration, address, control)

    def test_both_roles_in_one_process(self):
        """Guards against a demo that needs more processes than it has to."""
        standin = self.start_workers()
        self.assertEqual(standin.worker_records()["tasks"], [])
        self.assertEqual(standin.store_call_counts()["total"], 0)
        standin.set_worker_faults(zone="z0", leaving=True)
        with self.assertRaises(harness.HarnessError):
            standin.set_worker_faults(worker="absent", leaving=True)
        self.assertEqual(standin.process.terminate(5), 0)

    def test_idle_process_uses_no_processor_time(self):
        """Guards against a thread that spins while it waits."""
        standin = self.start_workers()
        before = harness.cpu_seconds(standin.process.pid)
        harness.time.sleep(2)
        self.assertLess(harness.cpu_seconds(standin.process.pid) - before, 0.1)

    def test_wrong_flags_name_the_remedy(self):
        """Guards against a stand-in that starts without a role."""
        for arguments in ([], ["--store_ports=0"], ["--workers_address=127.0.0.1:1", "--workers_configuration=/absent"]):
            done = subprocess.run([harness.binary_path("primrosebridge-standin"), *arguments], capture_output=True, text=True, timeout=10, check=False)
            self.assertEqual(done.returncode, 1, done.stderr)
            self.assertIn("; ", done.stderr)

    def test_every_process_ends_when_the_block_is_left(self):
        """Guards against processes that an interrupted run leaves behind, also if they are paused."""
        with self.assertRaises(KeyboardInterrupt):
            with harness.Processes() as processes:
                process = processes.start("sleep", ["sleep", "60"])
                process.pause()
                raise KeyboardInterrupt
        self.assertFalse(process.running())


if __name__ == "__main__":
    unittest.main()
