"""A worker restarts under its identifier and is cut off seconds later (TWICE)."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from deployment import PREFIX, CannotRun, build_job, run_case

ROUNDS = 7
WORKERS = [f"w-{number}" for number in range(1, 13)]
UP_S = 12  # how long the worker has been up before it crashes
CUT_S = 5.5  # as in the site file
CALM_S = 3.0


def body(deployment, trouble):
    for name in WORKERS:
        deployment.add_proxy(name)
        rack = "r1-1" if name == "w-1" else "r1-2"
        deployment.start_worker(name, "chairside", rack=rack)
    deployment.configure(101, "chairside", ["chairside", "styling"])
    for name in ("n1", "n2", "n3"):
        deployment.start_node(name)
    deployment.wait_ready()
    deployment.wait_for_owner("pool.chairside")
    time.sleep(UP_S)
    for round_number in range(ROUNDS):
        play_round(deployment, trouble, f"{round_number:016x}")
        breaches = deployment.find_double_starts()
        if breaches:
            return breaches
    return []


def play_round(deployment, trouble, job):
    """Restart w-1, let a job begin there, and cut w-1 off from all nodes."""
    if trouble:
        deployment.crash_worker("w-1", shows_down=False)
        deployment.restart_worker("w-1")
    time.sleep(1.5)
    body = build_job(2, 2000, daemon=True, dataRack="r1-1")
    if deployment.call("n1", "POST", PREFIX + job, body)[0] != 200:
        raise CannotRun("the job was not accepted")
    running = deployment.wait(
        lambda: len(deployment.list_running(job)) == 2 and deployment.list_running(job),
        10)
    if not running:
        raise CannotRun("the job has not started")
    deployment.note(f"job {job} runs on {[row[0] for row in running]}")
    time.sleep(0.5)
    if trouble:
        deployment.note("w-1 is cut off from all nodes and runs on")
        deployment.proxies["w-1"].cut()
    time.sleep(CUT_S)
    if trouble:
        deployment.proxies["w-1"].heal()
        deployment.note("w-1 is reached again")
    time.sleep(CALM_S)
    deployment.call("n2", "GET", PREFIX + job)
    deployment.call("n2", "DELETE", PREFIX + job)
    time.sleep(2)


run_case(body)
