"""Owners are restarted in turn while workers leave as planned (LOST)."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from deployment import PREFIX, CannotRun, build_job, run_case

JOB = "5c0e7a21d94b36f8"
LIMIT_S = 6 + 3  # nothing runs for 3 s, from 6 s after the last run
DRAIN_S = 3  # drainMs is 2 s; the worker leaves a little later
RESTART_GAP_S = 5


def body(deployment, trouble):
    for number in range(1, 7):
        rack = "r1-1" if number == 1 else "r1-2"
        deployment.start_worker(f"w-{number}", "chairside", rack=rack)
    deployment.configure(101, "chairside", ["chairside", "styling"])
    for name in ("n1", "n2", "n3", "n4"):
        deployment.start_node(name)
    deployment.wait_ready()
    deployment.wait_for_owner("pool.chairside")
    time.sleep(1.5)
    job = build_job(1, 2000, daemon=True, dataRack="r1-1")
    if deployment.call("n1", "POST", PREFIX + JOB, job)[0] != 200:
        raise CannotRun("the job was not accepted")
    if not deployment.wait(lambda: deployment.list_running(JOB), 10):
        raise CannotRun("the job has not started")
    time.sleep(2)
    # Two workers are emptied and taken away, one after the other.
    deployment.drain_worker("w-6", DRAIN_S)
    time.sleep(DRAIN_S + 0.5)
    if trouble:
        deployment.begin_restart(deployment.wait_for_owner("pool.chairside"))
    time.sleep(1.5)
    deployment.drain_worker("w-1", DRAIN_S)
    time.sleep(RESTART_GAP_S - 1.5)
    if trouble:
        deployment.begin_restart(deployment.wait_for_owner("pool.chairside"))
    time.sleep(20)
    deployment.call("n2", "GET", PREFIX + JOB)
    return find_gaps(deployment)


def find_gaps(deployment):
    """Return a breach for each time in which the subtask had no run for too long."""
    ended_at, breaches = None, []
    for row in deployment.read_events():
        if row[2] == "end":
            ended_at = row[0]
        elif row[2] == "start" and ended_at is not None:
            gap = row[0] - ended_at
            deployment.note(f"{row[3]} had no run for {gap:.1f} s")
            if gap > LIMIT_S:
                breaches.append(f"{row[3]} had no run for {gap:.1f} s")
            ended_at = None
    if ended_at is not None:
        breaches.append("the subtask has no run any more")
    return breaches


run_case(body)
