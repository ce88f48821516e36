"""A proof that wrong, oversized or hostile input gets a helpful error, changes no state and ends no process."""

import copy
import json
import socket
import time

import harness
from proofs.registry import proof

TAKEOVER_S = 4.5  # The longest time from the failure of a zone's owner until the zone has a new owner.
ERROR_FIELDS = ("kind", "message", "remedy")


def _caller_headers(run):
    organisation = run.deployment.organisation_ids()[0]
    return {"Authorization": f"Bearer demo-{organisation}"}


def _check_error(run, label, answer, statuses):
    if answer is None:
        run.add_violation(f"{label}: no answer")
        return
    error = answer.body.get("error", {}) if isinstance(answer.body, dict) else {}
    if answer.status not in statuses or not all(error.get(field) for field in ERROR_FIELDS):
        run.add_violation(f"{label}: status {answer.status} instead of {statuses}, body {answer.text[:200]}")


def _bad_submissions(job_class):
    good = {"key": "hostile-1", "class": job_class, "payload": "{}"}
    return [
        ("no JSON", "{not json", (400,)),
        ("no object", [1, 2], (400,)),
        ("deep nesting", "[" * 100_000, (400,)),
        ("unknown field", {**good, "prio": 1}, (400,)),
        ("wrong type of key", {**good, "key": 7}, (400,)),
        ("separator in key", {**good, "key": "a/../b"}, (400,)),
        ("key too long", {**good, "key": "k" * 129}, (400,)),
        ("unknown class", {**good, "class": "no-such-class"}, (400,)),
        ("unknown zone", {**good, "zone": "no-such-zone"}, (400,)),
        ("negative run time", {**good, "declaredRunTimeMs": -1}, (400,)),
        ("huge run time", {**good, "declaredRunTimeMs": 10**30}, (400,)),
        ("payload too large", {**good, "payload": "x" * (513 * 1024)}, (413,)),
        ("body too large", "x" * (1100 * 1024), (413,)),
    ]


def _try_submit(run, vm, body):
    return harness.try_call(vm.http_port, "POST", "/v1/requests", body, _caller_headers(run))


def _bad_calls(key):
    return [
        ("no token", "GET", f"/v1/requests/{key}", {}, (401,)),
        ("unknown token", "GET", f"/v1/requests/{key}", {"Authorization": "Bearer no"}, (401,)),
        ("no operator", "GET", "/v1/configuration", {"Authorization": "Bearer no"}, (403,)),
        ("bad wait", "GET", f"/v1/requests/{key}?wait_ms=soon", None, (400,)),
        ("unknown key", "GET", "/v1/requests/never-submitted", None, (404,)),
        ("unknown path", "GET", "/v1/requests/a/b/c", None, (404,)),
        ("bad method", "PATCH", f"/v1/requests/{key}", None, (405,)),
    ]


def _bad_documents(configuration):
    def changed(change):
        document = copy.deepcopy(configuration)
        change(document)
        return document

    return [
        ("document without JSON", "{"),
        ("document with an unknown field", changed(lambda document: document.update(colour="red"))),
        ("document with a wrong type", changed(lambda document: document["organisations"][0].update(weight="heavy"))),
        ("guarantee larger than the fleet", changed(lambda document: document["guarantees"][0].update(count=10_000))),
        ("shape that no worker has", changed(lambda document: document["jobClasses"][0]["shape"].update(accelerators=31, adjacency="SameWorker"))),
        ("document too large", " " * (950 * 1024)),
    ]


def _send_raw_bytes(port, text):
    with socket.create_connection((harness.HOST, port), timeout=5) as connection:
        try:
            connection.sendall(text)
            connection.shutdown(socket.SHUT_WR)
            connection.recv(4096)
        except OSError:
            pass  # The server may reset such a connection at any time, even before it has received the whole text.


def _retry_while_unavailable(run, vm, method, path, headers):
    """Repeats a call while the answer is 503: a key is reported as unknown only once the owners of all zones can be asked."""
    deadline = time.monotonic() + TAKEOVER_S
    while True:
        answer = harness.try_call(vm.http_port, method, path, None, headers)
        if answer is None or answer.status != 503 or time.monotonic() > deadline:
            return answer
        _check_error(run, f"{method} {path} before every owner is known", answer, (503,))
        time.sleep(0.1)


@proof(short=True)
def hostile_input(run):
    """Wrong, oversized or hostile input ends a process, changes state, or gets an answer without a remedy."""
    vm = run.deployment.vms[0]
    version = vm.configuration_version()
    job_class = run.deployment.configuration["jobClasses"][0]["id"]
    for label, body, statuses in _bad_submissions(job_class):
        _check_error(run, label, _try_submit(run, vm, body), statuses)
    for label, method, path, headers, statuses in _bad_calls("hostile-1"):
        answer = _retry_while_unavailable(run, vm, method, path, _caller_headers(run) if headers is None else headers)
        _check_error(run, label, answer, statuses)
    for label, document in _bad_documents(run.deployment.configuration):
        _check_error(run, label, run.deployment.publish_configuration(vm, document, version), (400, 413))
    for raw in (b"\x00" * 4096, b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 5000 + b"\r\n", b"POST /v1/requests HTTP/1.1\r\nContent-Length: -5\r\n\r\n"):
        _send_raw_bytes(vm.http_port, raw)
    if vm.configuration_version() != version:
        run.add_violation("a refused document changed the version in force")
    for one in run.deployment.vms:
        if not one.running():
            run.add_violation(f"{one.name} ended: {one.process.log()[-300:]}")
    if json.dumps(run.deployment.read_store_prefix("requests/")).find("hostile-") >= 0:
        run.add_violation("a refused submission left a record")
