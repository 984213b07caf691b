"""After a turn of demand, jobs that need advice are never started."""

import os
import threading
import time

from site_standin import build_configuration, build_route, run_case

WORKERS = 36  # colourlab of csh-sched-grown
JOBS = 240
BURST_PER_S = 80.0  # fringe-preview of csh-sched-grown: its mean is 18.9 a second
CALM_PER_S = 8.0
CLIENTS = 16
FINISH_S = 14.0  # bounds.finish_s
STANDSTILL_S = 3.0
POLICY = {"decideMs": 10, "periodMs": 1, "validMs": 3000}
SPEC = {"ms": 540, "cpu": 1800}
STEPS = [{"count": 2, "cpu": 1800, "memMb": 256, "estMs": 540}]
PREFIX = "/preview/"


def play(site, has_trouble):
    names = site.add_workers("colourlab", WORKERS)
    site.allowed = set(names)
    site.advice_policy = POLICY
    # The lenient service: it skips calls whose caller has gone before their turn.
    site.skips_abandoned_advice = os.environ.get("SKIP") != "0"
    for number in range(3):
        site.start_node(f"front-{number}")
    site.configure(
        build_configuration(
            3, [build_route("r-1", PREFIX, "colourlab", advice=POLICY)], ["colourlab"]
        )
    )
    site.wait_ready()
    time.sleep(1.0)
    jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
    site.advised_jobs.update(jobs)
    accepted = submit_all(site, jobs, BURST_PER_S if has_trouble else CALM_PER_S)
    site.record.add("traffic_over", accepted=len(accepted))
    time.sleep(FINISH_S + STANDSTILL_S)
    begun = {row["task"].split(".")[0] for row in site.record.select("start")}
    waiting = [job for job in accepted if job not in begun]
    usage = sum(r["cpu"] for w in site.workers.values() for r in w.runs.values())
    states = {site.state("front-1", PREFIX, job) for job in waiting[:20]}
    site.record.add(
        "judged",
        accepted=len(accepted),
        begun=len(begun),
        usage=usage,
        refused_advice=site.refused_advice,
    )
    if not waiting:
        return []
    return [
        f"LOST: {len(waiting)} of {len(accepted)} accepted jobs have had no start "
        f"{FINISH_S + STANDSTILL_S:.0f} s after the traffic; {usage / 1000:.0f} of "
        f"{32 * WORKERS} cores are in use (their states: {sorted(states)})"
    ]


def submit_all(site, jobs, per_s):
    began = time.monotonic()
    accepted = []

    def submit(rows):
        for number, job in rows:
            time.sleep(max(0.0, began + number / per_s - time.monotonic()))
            if site.submit(f"front-{number % 3}", PREFIX, job, SPEC, STEPS):
                accepted.append(job)

    rows = list(enumerate(jobs))
    threads = [
        threading.Thread(target=submit, args=(rows[i::CLIENTS],)) for i in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return accepted


if __name__ == "__main__":
    # TROUBLE=0 plays the same without the disruption.
    run_case(".", play, has_trouble=os.environ.get("TROUBLE", "1") != "0")
