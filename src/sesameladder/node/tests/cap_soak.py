"""Fault soak with an organisation whose cap is changed during the faults.

``python -m sesameladder.node.tests.cap_soak --seeds 1-9`` runs some seeds and prints a
line for each; the exit code is 1 if any broke a promise.
"""

import argparse
import json
import random
import sys
import time
from typing import Any

from sesameladder.jobs import QueuePolicy
from sesameladder.node._keys import accepted_key, submission_key
from sesameladder.node._records import encode_pool, encode_submission
from sesameladder.node.tests.soak import POOLS, Soak, build_configuration
from sesameladder.node.tests.test_caps import SUBTASK_MILLIS, RunCounter
from sesameladder.node.tests.test_whole_path import HOST, build_job
from sesameladder.standins.system import SimulatedWork

ORGANISATION = "org-a"
JOB_NUMBER = 0xCA0000  # identifiers of the organisation's jobs follow it
CAPS = 1000, 2000, 4000, 8000, 16_000
LAST_CAP = 8000  # with it the remaining jobs end in time
CAP_CHANGE_S = 1.0, 4.0
JOB_PAUSE_S = 0.25


class CapSoak(Soak):
    """One seeded run in which the sum of an organisation's runs is checked."""

    def __init__(self, seed: int, seconds: float, processes: int, callers: int) -> None:
        super().__init__(seed, seconds, processes, callers)
        self.cap_random = random.Random(f"{seed}/caps")
        """Source of caps and of the organisation's jobs."""

        self.cap = LAST_CAP
        self.next_cap_at = self.next_job_at = 0.0
        self.jobs = 0
        self.counter = RunCounter(self.standin, self.cap, is_counted)
        for worker in self.standin.workers.values():
            worker.on_start = self.record_start
            worker.on_end = self.record_end

    def record_start(self, worker: Any, task: str, run: int) -> None:
        self.witness.record_start(worker, task, run)
        self.counter.record_start(worker, task, run)

    def record_end(self, worker: Any, task: str, run: int, reason: str) -> None:
        self.witness.record_end(worker, task, run, reason)
        self.counter.record_end(worker, task, run, reason)

    def run(self) -> list[str]:
        return [*super().run(), *self.counter.violations]

    def reconfigure(self) -> None:
        self.version += self.random.randint(1, 4)
        self.configure()

    def configure(self) -> None:
        """Store a configuration with the present cap; calls need no keys."""
        configuration = build_configuration(self.version)
        for route in configuration["routes"]:
            route["public"] = True
        configuration["tenants"] = [
            {"name": ORGANISATION, "apiKeys": ["k"], "cap": {"cpu": self.cap}}
        ]
        self.standin.configure(configuration)

    def set_cap(self, cap: int) -> None:
        self.cap = cap
        self.version += 1
        self.configure()
        self.counter.set_cap(cap)

    def run_pending(self) -> None:
        super().run_pending()
        now = time.monotonic()
        if now >= self.next_cap_at:
            self.next_cap_at = now + self.cap_random.uniform(*CAP_CHANGE_S)
            self.set_cap(self.cap_random.choice(CAPS))
        if now >= self.next_job_at:
            self.next_job_at = now + self.cap_random.uniform(0, 2 * JOB_PAUSE_S)
            self.store_job()

    def store_job(self) -> None:
        """Store a job as the intake does for an organisation."""
        job = f"{JOB_NUMBER + self.jobs:016x}"
        self.jobs += 1
        pool = POOLS[int(job, 16) % len(POOLS)]
        width = self.cap_random.choice((1, 3, 6))
        duration_ms = self.cap_random.choice((100, 400, 800))
        body = build_job(SimulatedWork(duration_ms, SUBTASK_MILLIS), width)
        queue = QueuePolicy(f"r-{pool}", HOST, f"/{pool}/", pool, 0, 9, 1.6, 600, 3000)
        value = encode_submission(queue, json.dumps(body).encode(), ORGANISATION)
        self.standin.store.put(submission_key(pool, job), value)
        self.standin.store.put(accepted_key(job), encode_pool(pool))
        self.witness.accepted[job] = 2 * width

    def finish(self) -> None:
        self.set_cap(LAST_CAP)
        super().finish()


def is_counted(task: str) -> bool:
    """Return whether a subtask belongs to the organisation."""
    return JOB_NUMBER <= int(task.split(".")[0], 16) < JOB_NUMBER + 0x10000


def main() -> int:
    """Run the seeds of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--callers", type=int, default=4)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = CapSoak(seed, options.seconds, options.processes, options.callers)
        violations = soak.run()
        broken += bool(violations)
        print(
            f"seed {seed}: {len(violations)} violations, {soak.jobs} jobs with a cap, "
            f"at most {soak.counter.most_millis} millicores, logs in {soak.folder}",
            flush=True,
        )
        for text in violations[:10]:
            print(f"  {text}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
