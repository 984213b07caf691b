"""A job is sent again after a route was replaced by one to another service (TWICE)."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from deployment import PREFIX, CannotRun, build_job, run_case

JOB = "5c0e7a21d94b36f8"
SERVICES = ["chairside", "styling"]


def body(deployment, trouble):
    for service in SERVICES:
        for number in (1, 2):
            deployment.start_worker(f"{service}-{number}", service)
    deployment.configure(101, "chairside", SERVICES)
    for name in ("n1", "n2", "n3"):
        deployment.start_node(name)
    deployment.wait_ready()
    deployment.wait_for_owner("pool.chairside")
    job = build_job(4, 2000, ms=12000)
    if deployment.call("n1", "POST", PREFIX + JOB, job)[0] != 200:
        raise CannotRun("the job was not accepted")
    if not deployment.wait(lambda: len(deployment.list_running(JOB)) == 4, 10):
        raise CannotRun("the job has not started")
    if trouble:
        # The route r-1 is removed, and r-2 with the same host and prefix is added.
        deployment.configure(108, "styling", SERVICES, queue="r-2")
    time.sleep(3)
    # The same request arrives again, seconds after its 2xx response.
    deployment.call("n2", "POST", PREFIX + JOB, job)
    time.sleep(18)
    deployment.call("n2", "GET", PREFIX + JOB)
    return deployment.find_double_starts()


run_case(body)
