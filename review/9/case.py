"""A lasting job whose cancelling was acknowledged before its acceptance runs on."""

import asyncio
import json
import os
import threading
import time

from site_standin import CannotRun, build_configuration, build_route, run_case

PATIENCE_S = 0.45  # of the client, which then leaves
LATE_S = 2.0  # the store executes the call so late (platform_lost late: 1 to 6 s)
SETTLE_S = 3.5  # stableMs and more, after the start of the processes
CANCEL_S = 3.0  # cancel_ms; stopGraceMs is 0.9 s more
WATCH_S = 12.0  # after the cancelling; the lost answer is over after LATE_S
LASTING = {"ms": 0, "cpu": 3000, "lasts": True}
STEPS = [{"count": 2, "cpu": 3000, "memMb": 512, "daemon": True}]
JOB = "00000000000000d1"
OTHERS = 6  # other clients, which stay; one of seven leaves
SHORT = {"ms": 300, "cpu": 1000}
SHORT_STEPS = [{"count": 1, "cpu": 1000, "memMb": 256, "estMs": 300}]
PREFIX = "/lasting/"


def play(site, has_trouble):
    site.add_workers("chairside", 6)
    for number in range(3):
        site.start_node(f"front-{number}")
    site.configure(
        build_configuration(3, [build_route("r-1", PREFIX, "chairside")], ["chairside"])
    )
    site.wait_ready()
    time.sleep(SETTLE_S)
    if has_trouble:
        lose_next_answer(site)
    for number in range(1, OTHERS // 2 + 1):
        submit_other(site, number)
    body = {"spec": json.dumps(LASTING), "steps": STEPS}
    status, _ = site.request("front-0", "POST", PREFIX + JOB, body, PATIENCE_S)
    if has_trouble == (status is not None):
        raise CannotRun(f"the client got {status} in time")
    until = time.monotonic() + 4.0
    while True:
        status, _ = site.request("front-1", "DELETE", PREFIX + JOB)
        if status in (200, 410):
            break
        if time.monotonic() > until:
            raise CannotRun("the cancelling is not acknowledged")
    acknowledged_at = site.record.now()
    site.record.add("cancel_acknowledged", status=status)
    for number in range(OTHERS // 2 + 1, OTHERS + 1):
        submit_other(site, number)
    time.sleep(max(0.0, acknowledged_at + WATCH_S - site.record.now()))
    state = site.state("front-2", PREFIX, JOB)
    reasons = []
    for name, worker in site.workers.items():
        for task, row in worker.runs.items():
            if task.startswith(JOB):
                reasons.append(
                    f"UNASKED: {task} runs on {name} {WATCH_S:.0f} s after its job's "
                    f"cancelling was acknowledged with {status}; the job is {state}"
                )
    late = [
        r
        for r in site.record.select("start")
        if r["task"].startswith(JOB) and r["t"] > acknowledged_at + CANCEL_S
    ]
    return reasons + [f"UNASKED: start {row}" for row in late]


def submit_other(site, number):
    node = f"front-{number % 3}"
    if not site.submit(node, PREFIX, f"{number:016x}", SHORT, SHORT_STEPS):
        raise CannotRun(f"job {number} of another client was not accepted")


def lose_next_answer(site):
    """Have the store answer the next submission never and execute it late."""
    store = site.store
    handle = store.handle
    is_lost = threading.Event()

    async def lose(method, path, query, headers, body):
        keys = [row["key"] for row in (body or {}).get("puts") or []]
        is_submission = any(JOB in key for key in keys)
        if path == "/v1/kv-txn" and is_submission and not is_lost.is_set():
            is_lost.set()
            site.record.add("store_silent", keys=keys)
            await asyncio.sleep(LATE_S)
            status, _ = store._commit(body)
            site.record.add("store_late", status=status)
            await asyncio.sleep(60)
        return await handle(method, path, query, headers, body)

    async def install():
        site.overrides["store"] = lose

    site.call(install())


if __name__ == "__main__":
    # TROUBLE=0 plays the same without the disruption.
    run_case(".", play, has_trouble=os.environ.get("TROUBLE", "1") != "0")
