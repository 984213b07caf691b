"""A job whose permitted workers are not among the first hundred never starts."""

import os
import time

from site_standin import (
    CannotRun,
    build_configuration,
    build_route,
    run_case,
)

WORKERS = 111  # the sheet's workshop, 66, with all 45 machines of the spare pool
FIRST_ALLOWED = 4  # lost for good: 0.036 of the workers
LAST_ALLOWED = 6
SETTLE_S = 8.0  # until the entries of lost workers are gone, and stableMs more
FINISH_S = 14.0  # bounds.finish_s
STANDSTILL_S = 3.0  # for which a job may have nothing running
STEPS = [{"count": 2, "cpu": 1000, "memMb": 256, "estMs": 500}]
SPEC = {"ms": 500, "cpu": 1000}


def play(site, has_trouble):
    names = site.add_workers("workshop", WORKERS)
    first, last = names[:FIRST_ALLOWED], names[-LAST_ALLOWED:]
    site.allowed = {*first, *last}
    site.record.add("policy", first=first, last=last)
    site.advice_policy = {"decideMs": 20, "periodMs": 2, "validMs": 3000}
    for number in range(3):
        site.start_node(f"front-{number}")
    site.configure(
        build_configuration(
            3,
            [build_route("r-1", "/density/", "workshop", advice=site.advice_policy)],
            ["workshop"],
        )
    )
    site.wait_ready()
    run_job(site, "00000000000000a1", limit_s=20, is_needed=True)
    if has_trouble:
        for name in first:
            site.crash(name)
        time.sleep(SETTLE_S)
    job = "00000000000000a2"
    accepted_at = site.record.now()
    if run_job(site, job, limit_s=FINISH_S + STANDSTILL_S):
        return []
    idle = [name for name in last if not site.workers[name].runs]
    starts = [r for r in site.record.select("start") if r["task"].startswith(job)]
    if starts or len(idle) < LAST_ALLOWED:
        return []
    return [
        f"LOST: job {job}, accepted at {accepted_at:.1f} s, has had no start at "
        f"{site.record.now():.1f} s, while {len(idle)} permitted workers are up and "
        f"idle"
    ]


def run_job(site, job, limit_s, is_needed=False):
    """Submit a job of the queue; returns whether it is done in time."""
    site.advised_jobs.add(job)
    if not site.submit("front-0", "/density/", job, SPEC, STEPS):
        raise CannotRun(f"job {job} was not accepted")
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if site.state("front-1", "/density/", job) == "done":
            return True
        time.sleep(0.5)
    if is_needed:
        raise CannotRun(f"job {job} is not done")
    return False


if __name__ == "__main__":
    # TROUBLE=0 plays the same without the disruption.
    run_case(".", play, has_trouble=os.environ.get("TROUBLE", "1") != "0")
