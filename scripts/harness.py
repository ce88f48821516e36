"""Starts real processes on loopback, sends them HTTP requests and signals, and ends all of them when a run ends.

Used by scripts/demo, scripts/failure-proofs and the tests of the stand-ins. Standard library only.
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# The environment variable selects other binaries, such as those built with sanitizers.
BINARIES = Path(os.environ.get("PRIMROSEBRIDGE_BINARIES", ROOT / "build" / "bin"))
HOST = "127.0.0.1"
# This range lies below the kernel's ephemeral ports, so that no outgoing connection takes an allocated port.
FIRST_PORT, LAST_PORT = 10000, 32000


class HarnessError(Exception):
    """A process did not start, stop or answer as the harness requires."""


def binary_path(name):
    """Returns the path of a built binary; raises HarnessError if it has not been built."""
    path = BINARIES / name
    if not path.exists():
        raise HarnessError(f"{name} is not built; run scripts/build")
    return str(path)


class PortAllocator:
    """Allocates loopback ports on which nothing listens. Thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._used = set()

    def allocate(self):
        with self._lock:
            for _ in range(1000):
                port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
                if port not in self._used and _is_free(port):
                    self._used.add(port)
                    return port
        raise HarnessError("no free port was found; end other test runs")


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class Answer:
    """The status, headers and body of an HTTP answer. body holds the parsed JSON, or the text if that is not JSON."""

    def __init__(self, status, headers, text):
        self.status = status
        self.headers = headers
        self.text = text
        try:
            self.body = json.loads(text) if text else {}
        except ValueError:
            self.body = text


def call(port, method, path, body=None, headers=None, timeout=10.0):
    """Sends an HTTP request to a loopback port. Raises OSError or http.client.HTTPException if no complete answer arrives."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()), response.read().decode("utf-8", "replace"))
    finally:
        connection.close()


def try_call(port, method, path, body=None, headers=None, timeout=10.0):
    """Like call(), but returns None if no complete answer arrives."""
    try:
        return call(port, method, path, body, headers, timeout)
    except (OSError, http.client.HTTPException):
        return None


def wait_until(condition, timeout_s, description, period_s=0.05):
    """Waits until condition() is true and returns its value. Raises HarnessError with @p description after @p timeout_s."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise HarnessError(f"{description}: not within {timeout_s} s")
        time.sleep(period_s)


class Process:
    """A child process, whose output goes to a log file."""

    def __init__(self, name, arguments, folder, environment=None):
        self.name = name
        self.arguments = arguments
        self.log_path = Path(folder) / f"{name}.log"
        with open(self.log_path, "ab") as log:
            # In a session of its own, the process does not get the SIGINT of Ctrl-C before the harness has stopped the load.
            self._child = subprocess.Popen(
                arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True, env={**os.environ, **(environment or {})}
            )

    @property
    def pid(self):
        return self._child.pid

    def running(self):
        return self._child.poll() is None

    def signal(self, number):
        if self.running():
            self._child.send_signal(number)

    def kill(self):
        """Sends SIGKILL and waits until the process has ended."""
        self.signal(signal.SIGKILL)
        self._child.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def terminate(self, timeout_s=30):
        """Sends SIGTERM and waits; returns the exit code, or None if the process has not ended after @p timeout_s."""
        self.signal(signal.SIGTERM)
        return self.wait(timeout_s)

    def wait(self, timeout_s):
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def log(self):
        return self.log_path.read_text(errors="replace")


class Processes:
    """All processes of one run and a temporary folder for their files. Use as a context manager.

    Leaving the block ends every process, also on SIGINT and SIGTERM. The folder with the logs is kept if an exception ended the block.
    """

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="primrosebridge-"))
        self.ports = PortAllocator()
        self.keep_folder = False
        self._lock = threading.Lock()
        self._all = []
        self._ended = False

    def __enter__(self):
        # SIGINT needs a handler as well, because a shell makes commands in the background ignore it.
        signals = (signal.SIGTERM, signal.SIGINT) if _in_main_thread() else ()
        self._previous = {number: signal.signal(number, _raise_interrupt) for number in signals}
        return self

    def __exit__(self, kind, value, traceback):
        self.end_all()
        for number, handler in self._previous.items():
            signal.signal(number, handler)
        if kind in (None, KeyboardInterrupt) and not self.keep_folder:
            self._remove_folder()
        elif kind is not None:
            print(f"logs: {self.folder}", file=sys.stderr)

    def start(self, name, arguments, environment=None):
        with self._lock:
            if self._ended:
                raise HarnessError(f"{name} was not started, because the run is ending")
            process = Process(name, [str(argument) for argument in arguments], self.folder, environment)
            self._all.append(process)
        return process

    def write(self, name, document):
        """Writes a JSON document into the folder and returns its path."""
        path = self.folder / name
        path.write_text(json.dumps(document, indent=2))
        return path

    def end_all(self):
        """Ends all processes that are still running, with SIGTERM and after 3 s with SIGKILL."""
        with self._lock:
            self._ended = True
            running = [process for process in self._all if process.running()]
        for process in running:
            process.resume()
            process.signal(signal.SIGTERM)
        deadline = time.monotonic() + 3
        for process in running:
            if process.wait(max(0.0, deadline - time.monotonic())) is None:
                process.kill()

    def _remove_folder(self):
        for path in self.folder.iterdir():
            path.unlink()
        os.rmdir(self.folder)


def _in_main_thread():
    return threading.current_thread() is threading.main_thread()


def _raise_interrupt(_number, _frame):
    raise KeyboardInterrupt


class StandIn:
    """A running primrosebridge-standin, which serves as the store, as the workers, or as both."""

    def __init__(self, processes, name, store_ports=(), configuration=None, workers_address="", control_port=0):
        arguments = [binary_path("primrosebridge-standin")]
        if store_ports:
            arguments.append("--store_ports=" + ",".join(str(port) for port in store_ports))
        if workers_address:
            arguments += [f"--workers_address={workers_address}", f"--workers_configuration={configuration}", f"--workers_control_port={control_port}"]
        self.store_ports = list(store_ports)
        self.control_port = control_port
        self.process = processes.start(name, arguments)
        wait_until(lambda: self._ready(name), 10, f"{name} starts")

    def _ready(self, name):
        if not self.process.running():
            raise HarnessError(f"{name} ended: {self.process.log().strip()}")
        return "ready" in self.process.log()

    def set_store_faults(self, **faults):
        _expect_ok(call(self.store_ports[0], "POST", "/standin/faults", faults))

    def store_call_counts(self):
        return _expect_ok(call(self.store_ports[0], "GET", "/standin/books"))

    def set_worker_faults(self, **faults):
        """Sets the faults of the workers selected by worker=, zone= or rack=, or of all workers if none of these is given."""
        _expect_ok(call(self.control_port, "POST", "/standin/workers", faults))

    def worker_records(self):
        return _expect_ok(call(self.control_port, "GET", "/standin/books"))


def _expect_ok(answer):
    if answer.status != 200:
        raise HarnessError(f"the stand-in refused a control call: {answer.status} {answer.text}")
    return answer.body


def cpu_seconds(pid):
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
