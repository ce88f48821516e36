"""Tests of the stand-in store: a fault in it would make the failure proofs prove nothing."""

import base64
import http.client
import json
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[3] / "scripts"))
import harness  # noqa: E402


def encode(text):
    return base64.b64encode(text.encode()).decode()


def put(key, value, lease=0):
    return {"requestPut": {"key": encode(key), "value": encode(value), "lease": str(lease)}}


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.processes = harness.Processes()
        self.addCleanup(self.processes._remove_folder)
        self.addCleanup(self.processes.end_all)
        ports = [self.processes.ports.allocate(), self.processes.ports.allocate()]
        self.standin = harness.StandIn(self.processes, "store", store_ports=ports)
        self.port = ports[0]

    def post(self, path, message, port=None, headers=None):
        return harness.call(port or self.port, "POST", path, message, headers)

    def commit(self, compare, success, failure=()):
        answer = self.post("/v3/kv/txn", {"compare": compare, "success": success, "failure": list(failure)})
        self.assertEqual(answer.status, 200, answer.text)
        return answer.body

    def read(self, key):
        return self.post("/v3/kv/range", {"key": encode(key)}).body

    def test_create_compare_lets_exactly_one_of_two_writers_win(self):
        """Guards against two owners of one zone."""
        absent = [{"key": encode("a"), "target": "CREATE", "result": "EQUAL", "createRevision": "0"}]
        self.assertTrue(self.commit(absent, [put("a", "first")])["succeeded"])
        second = self.commit(absent, [put("a", "second")], [{"request_range": {"key": encode("a")}}])
        self.assertNotIn("succeeded", second)
        held = second["responses"][0]["response_range"]["kvs"][0]
        self.assertEqual(base64.b64decode(held["value"]), b"first")

    def test_mod_compare_refuses_a_stale_writer(self):
        """Guards against a configuration change that overwrites another operator's."""
        self.commit([], [put("c", "1")])
        revision = self.read("c")["kvs"][0]["mod_revision"]
        compare = [{"key": encode("c"), "target": "MOD", "result": "EQUAL", "mod_revision": revision}]
        self.assertTrue(self.commit(compare, [put("c", "2")])["succeeded"])
        self.assertNotIn("succeeded", self.commit(compare, [put("c", "3")]))
        kept = self.read("c")["kvs"][0]
        self.assertEqual((base64.b64decode(kept["value"]), kept["version"]), (b"2", "2"))

    def test_range_pages_and_counts(self):
        """Guards against records that a new owner does not see because a page ends early."""
        self.commit([], [put(f"k/{number}", "v") for number in range(5)])
        page = self.post("/v3/kv/range", {"key": encode("k/"), "range_end": encode("k0"), "limit": "2"}).body
        self.assertEqual((len(page["kvs"]), page["more"], page["count"]), (2, True, "5"))

    def test_expired_lease_deletes_its_keys_and_the_watch_reports_it(self):
        """Guards against an ownership key that outlives its owner."""
        lease = self.post("/v3/lease/grant", {"TTL": "1", "ID": "0"}).body["ID"]
        self.commit([], [put("owner", "vm", lease)])
        self.assertEqual(self.post("/v3/lease/keepalive", {"ID": lease}).body["result"]["TTL"], "1")
        events = self.watch("owner", 1, 2)
        self.assertEqual([event.get("type", "PUT") for event in events], ["PUT", "DELETE"])
        self.assertNotIn("kvs", self.read("owner"))
        self.assertNotIn("TTL", self.post("/v3/lease/keepalive", {"ID": lease}).body["result"])
        self.assertEqual(self.post("/v3/lease/revoke", {"ID": lease}).status, 404)

    def test_put_under_an_expired_lease_writes_nothing(self):
        """Guards against a former owner that takes the zone with its old lease."""
        answer = self.post("/v3/kv/txn", {"success": [put("x", "y", 4711)]})
        self.assertEqual((answer.status, answer.body["code"]), (404, 5))
        self.assertNotIn("kvs", self.read("x"))

    def watch(self, key, start_revision, count):
        """Reads @p count events of a watch; each line of the stream is one message."""
        connection = http.client.HTTPConnection(harness.HOST, self.port, timeout=5)
        self.addCleanup(connection.close)
        connection.request("POST", "/v3/watch", json.dumps({"create_request": {"key": encode(key), "start_revision": str(start_revision)}}))
        response = connection.getresponse()
        self.assertTrue(json.loads(response.readline())["result"]["created"])
        events = []
        while len(events) < count:
            events += json.loads(response.readline())["result"].get("events", [])
        return events

    def test_watch_delivers_history_and_later_changes_in_order(self):
        """Guards against a change that falls between a read and the watch that follows it."""
        self.commit([], [put("w", "1")])
        later = threading.Timer(0.2, lambda: self.commit([], [put("w", "2")]))
        later.start()
        values = [base64.b64decode(event["kv"]["value"]) for event in self.watch("w", 1, 2)]
        later.join()
        self.assertEqual(values, [b"1", b"2"])

    def test_limits_are_refused(self):
        """Guards against code that only works because the stand-in accepts more than the platform does."""
        self.assertEqual(self.post("/v3/kv/txn", {"success": [put(f"k{n}", "v") for n in range(129)]}).status, 400)
        self.assertEqual(self.post("/v3/kv/txn", {"success": [put("big", "v" * (1024 * 1024 + 1))]}).status, 400)
        self.assertEqual(self.post("/v3/kv/txn", {"success": [put("twice", "1"), put("twice", "2")]}).status, 400)
        self.assertEqual(self.post("/v3/kv/txn", "{").status, 400)
        self.commit([], [put("fits", "v" * (1024 * 1024))])

    def test_lost_answer_leaves_the_write_in_effect(self):
        """Guards against a proof in which the lost write did not happen at all."""
        self.standin.set_store_faults(loseWriteAnswers=1)
        self.assertIsNone(harness.try_call(self.port, "POST", "/v3/kv/txn", {"success": [put("lost", "1")]}))
        self.assertEqual(self.read("lost")["count"], "1")
        self.commit([], [put("lost", "2")])

    def test_down_refuses_in_each_way_and_comes_back(self):
        """Guards against an outage that lets calls through."""
        self.standin.set_store_faults(down="close")
        self.assertIsNone(harness.try_call(self.port, "POST", "/v3/kv/range", {"key": encode("a")}))
        self.standin.set_store_faults(down="503")
        self.assertEqual(self.post("/v3/kv/range", {"key": encode("a")}).status, 503)
        self.standin.set_store_faults(down="hang")
        self.assertIsNone(harness.try_call(self.port, "POST", "/v3/kv/range", {"key": encode("a")}, timeout=0.5))
        self.standin.set_store_faults(down="none")
        self.assertEqual(self.post("/v3/kv/range", {"key": encode("a")}).status, 200)

    def test_a_cut_port_or_vm_does_not_reach_the_store(self):
        """Guards against a partition that cuts off the wrong zone."""
        cut, kept = self.standin.store_ports
        self.standin.set_store_faults(refusePorts=[cut], refuseVms=["vm-b"])
        self.assertIsNone(harness.try_call(cut, "POST", "/v3/kv/range", {"key": encode("a")}))
        self.assertEqual(self.post("/v3/kv/range", {"key": encode("a")}, kept).status, 200)
        vm_b = {"X-Primrosebridge-Vm": "vm-b"}
        self.assertIsNone(harness.try_call(kept, "POST", "/v3/kv/range", {"key": encode("a")}, vm_b))

    def test_close_watches_ends_a_pending_watch(self):
        """Guards against a daemon that never has to reconnect its watch."""
        closer = threading.Timer(0.2, lambda: self.standin.set_store_faults(closeWatches=True))
        closer.start()
        with self.assertRaises((ValueError, OSError, http.client.HTTPException)):
            self.watch("never", 0, 1)
        closer.join()

    def test_vm_list_and_books(self):
        """Guards against counts of calls that miss a kind."""
        listed = [{"vm": "vm-a", "zone": "z", "address": "127.0.0.1:1", "leaving": False}]
        self.standin.set_store_faults(vms=listed)
        self.assertEqual(harness.call(self.port, "GET", "/v1/vms").body, {"vms": listed})
        self.read("a")
        self.commit([], [put("a", "1")])
        books = self.standin.store_call_counts()
        self.assertEqual((books["reads"], books["writes"], books["watches"], books["total"]), (1, 1, 0, 2))

    def test_delay_slows_each_call(self):
        """Guards against a slow store that is not slow."""
        self.standin.set_store_faults(delayMs=300)
        before = time.monotonic()
        self.read("a")
        self.assertGreaterEqual(time.monotonic() - before, 0.3)

    def test_sigterm_ends_it_with_a_watch_pending(self):
        """Guards against processes that a demo leaves behind."""
        connection = http.client.HTTPConnection(harness.HOST, self.port, timeout=5)
        self.addCleanup(connection.close)
        connection.request("POST", "/v3/watch", json.dumps({"create_request": {"key": encode("a")}}))
        connection.getresponse().readline()
        self.assertEqual(self.standin.process.terminate(5), 0)


if __name__ == "__main__":
    unittest.main()
