"""Two workers crash under a young subtask that lasts (LOST)."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from deployment import PREFIX, CannotRun, build_job, run_case

ROUNDS = 4
RUN_AGE_S = 0.1  # of the subtask's run when its worker crashes
DOWN_S = 4.5  # how long a crashed worker is down, as in the site file


def body(deployment, trouble):
    for number in range(1, 7):
        deployment.start_worker(f"w-{number}", "chairside", rack=f"r1-{number % 2}")
    deployment.configure(101, "chairside", ["chairside", "styling"])
    for name in ("n1", "n2", "n3"):
        deployment.start_node(name)
    deployment.wait_ready()
    deployment.wait_for_owner("pool.chairside")
    time.sleep(1.5)
    breaches = []
    for round_number in range(ROUNDS):
        breaches += play_round(deployment, trouble, f"{round_number:016x}")
        if breaches:
            break
    return breaches


def play_round(deployment, trouble, job):
    """Submit a job of one subtask that lasts, and crash its worker twice."""
    status, _ = deployment.call(
        "n1", "POST", PREFIX + job, build_job(1, 4000, daemon=True))
    if status != 200:
        raise CannotRun("the job was not accepted")
    crashed = []
    for _ in range(2):
        running = deployment.wait(lambda: deployment.list_running(job), 10, 0.005)
        if not running:
            return [f"job {job} has nothing running for 10 s"]
        if trouble:
            time.sleep(RUN_AGE_S)
            crashed.append(running[0][0])
            deployment.crash_worker(crashed[-1])
    time.sleep(DOWN_S)
    for name in crashed:
        deployment.restart_worker(name)
    time.sleep(3)
    state = deployment.call("n2", "GET", PREFIX + job)[1].get("state")
    running = deployment.list_running(job)
    deployment.note(f"job {job}: {state}, runs on {[row[0] for row in running]}")
    failed_ends = [row for row in deployment.read_events()
                   if row[2] == "end" and row[3].startswith(job) and row[5] == "failed"]
    if state == "failed" and not failed_ends:
        return [f"job {job} is shown as failed; no run of it has ended as failed"]
    return []


run_case(body)
