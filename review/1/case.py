"""Over 500 subtasks of a worker end while the store is down (TWICE)."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from deployment import PREFIX, CannotRun, build_job, run_case

JOB = "5c0e7a21d94b36f8"
SUBTASKS = 700  # of 45 thousandths of a core: all fit on one worker of 32 cores
OUTAGE_S = 4.5  # as in the site file


def body(deployment, trouble):
    for name in ("w-1", "w-2"):
        deployment.start_worker(name, "chairside")
    deployment.configure(101, "chairside", ["chairside", "styling"])
    for name in ("n1", "n2", "n3"):
        deployment.start_node(name)
    deployment.wait_ready()
    deployment.wait_for_owner("pool.chairside")
    deployment.call("n1", "POST", PREFIX + JOB, build_job(SUBTASKS, 45, ms=6000))
    if not deployment.wait(lambda: count(deployment, "start") >= SUBTASKS, 25):
        raise CannotRun("not all subtasks have started")
    deployment.note(f"{SUBTASKS} subtasks have started")
    if not deployment.wait(lambda: count(deployment, "end"), 15):
        raise CannotRun("no subtask has ended")
    if trouble:
        deployment.note("the store answers 503 to every call")
        deployment.platform.set_down(True)
        time.sleep(OUTAGE_S)
        deployment.platform.set_down(False)
        deployment.note("the store is back")
    deployment.wait(lambda: get_state(deployment) == "done", 40)
    time.sleep(8)  # runs that were started again work for 6 s
    deployment.call("n2", "GET", PREFIX + JOB)
    starts = count(deployment, "start")
    deployment.note(f"{starts} starts of {SUBTASKS} subtasks")
    return deployment.find_double_starts()


def count(deployment, event):
    return sum(row[2] == event for row in deployment.read_events())


def get_state(deployment):
    return deployment.call("n2", "GET", PREFIX + JOB, quiet=True)[1].get("state")


run_case(body)
