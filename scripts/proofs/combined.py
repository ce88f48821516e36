"""Proofs with two simultaneous failures."""

import time

from proofs.registry import proof
from proofs.run import ONCE, URGENT_START_S


@proof()
def store_answers_lost_and_owner_killed(run):
    """The answer to a store write is lost, and the owner that would read the written value back is killed."""
    zone = run.zone()
    run.platform.set_store_faults(loseWriteAnswers=6)
    run.submit_mix(15, zone)
    run.submit(ONCE, 3000, zone)
    time.sleep(0.3)
    run.kill_owner(zone)
    run.submit_load_for(3, per_second=5, zone=zone)


@proof()
def store_down_and_owner_killed(run):
    """A zone whose owner dies during an outage never recovers, or its running work is doubled after the outage."""
    zone = run.zone()
    run.allow_unknown = True  # The task leases expire before another VM may take the zone over.
    running = [run.submit(ONCE, 4000, zone) for _ in range(6)]
    for request in running:
        run.wait_for_start(request)
    owner = run.wait_for_owner(zone)
    run.platform.set_store_faults(down="close")
    owner.process.kill()
    run.submit_load_for(6, per_second=5, request_timeout_s=50)
    run.deployment.restore_platform()
    run.expect_within("takeover after the outage", URGENT_START_S, lambda: run.deployment.owner(zone) not in (None, owner))


@proof()
def zone_cut_and_workers_leave(run):
    """A zone that is cut off from the platform places work repeatedly on a worker that refuses it because it is leaving."""
    zone = run.zone(3)
    zone_vms = [vm for vm in run.deployment.vms if vm.zone == zone]
    run.deployment.cut_from_platform(zone_vms)
    for worker in [worker["id"] for worker in run.deployment.configuration["workers"] if worker["zone"] == zone][:4]:
        run.platform.set_worker_faults(worker=worker, leaving=True)
    run.submit_load_for(10, per_second=5, zone=zone, request_timeout_s=50)
    run.deployment.restore_platform()


@proof()
def owner_paused_and_workers_frozen(run):
    """Workers that resume after a freeze execute delayed commands of a former owner."""
    zone = run.zone()
    run.allow_unknown = True
    run.submit_mix(10, zone)
    run.platform.set_worker_faults(zone=zone, frozen=True)
    run.submit_mix(10, zone)
    time.sleep(1)
    owner = run.wait_for_owner(zone)
    owner.process.pause()
    time.sleep(5)
    run.platform.set_worker_faults(zone=zone, frozen=False)
    owner.process.resume()
    run.submit_load_for(4, per_second=5, zone=zone)
