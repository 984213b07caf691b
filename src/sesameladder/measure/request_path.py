"""Latency and CPU time that an entry instance adds to a request, over loopback."""

import time
from collections.abc import Callable
from resource import RUSAGE_SELF, getrusage
from statistics import median

from urllib3 import PoolManager, Retry

from sesameladder.measure._deployment import DEPLOYMENT_SPECS, Deployment
from sesameladder.measure._entry import MeasureEntry

REQUESTS = 400
IDLE_PERIOD_S = 3.0
START_TIMEOUT_S = 30.0
WORK_MS = 5
MS_PER_S = 1000.0


def measure(deployment: str, seed: int) -> list[MeasureEntry]:
    """Return the added latency and the requests per core-second.

    ``seed`` is unused. Entry instances, workers and callers share one interpreter,
    so the requests per core-second are a lower bound for an entry instance. The CPU
    time that the deployment uses without requests is subtracted.
    """
    del seed
    running = Deployment.create(DEPLOYMENT_SPECS[deployment])
    try:
        running.start_entries()
        running.file_ticket(running.build_first_ticket())
        entry = running.list_running()[0]
        if not running.wait_for(lambda: running.is_serving(entry), START_TIMEOUT_S):
            raise RuntimeError(
                f"deployment {deployment} serves nothing after {START_TIMEOUT_S} s"
            )
        return _measure_running(running, deployment)
    finally:
        running.stop()


def _measure_running(running: Deployment, deployment: str) -> list[MeasureEntry]:
    entry = running.list_running()[0]
    pool = running.spec.pools[0]
    worker = next(s for n, s in running.upstreams.items() if n.startswith(pool))
    http = PoolManager(maxsize=1, retries=Retry(0))
    headers = {"Work-Ms": str(WORK_MS), "Sesameladder-Team": running.spec.teams[0]}

    def call_direct() -> None:
        http.request("GET", f"http://{worker.address}/preview", headers=headers)

    def call_entry() -> None:
        url = f"http://{entry.settings.http_address}/pools/{pool}/preview"
        http.request("GET", url, headers=headers)

    direct_ms = _measure_median_ms(call_direct)
    idle_share = _measure_idle_share()
    cpu_before, started = _read_cpu_seconds(), time.perf_counter()
    entry_ms = _measure_median_ms(call_entry)
    took_s = time.perf_counter() - started
    cpu_s = _read_cpu_seconds() - cpu_before - idle_share * took_s
    return [
        MeasureEntry(
            "added_latency_p50",
            deployment,
            "ms",
            entry_ms - direct_ms,
            direct_ms,
            None,
            "",
            None,
        ),
        MeasureEntry(
            "requests_per_core_second",
            deployment,
            "1/s",
            REQUESTS / cpu_s,
            None,
            None,
            "",
            None,
        ),
    ]


def _measure_median_ms(call: Callable[[], None]) -> float:
    """Return the median duration of a call in milliseconds."""
    samples = []
    for _ in range(REQUESTS):
        start = time.perf_counter()
        call()
        samples.append((time.perf_counter() - start) * MS_PER_S)
    return median(samples)


def _measure_idle_share() -> float:
    """Return the CPU seconds per second that the deployment uses without requests."""
    cpu_before, started = _read_cpu_seconds(), time.perf_counter()
    time.sleep(IDLE_PERIOD_S)
    return (_read_cpu_seconds() - cpu_before) / (time.perf_counter() - started)


def _read_cpu_seconds() -> float:
    usage = getrusage(RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
