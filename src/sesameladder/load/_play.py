"""Plays a load: nodes, clients, faults of the store and kills of owners."""

import time
from collections import Counter, defaultdict
from math import inf
from pathlib import Path
from random import Random
from typing import Any

from sesameladder.load._clients import CALL_TIMEOUT_S, Client
from sesameladder.load._nodes import Nodes, build_key
from sesameladder.load._samples import Record, StoreUse
from sesameladder.load._schedule import Arrival, draw_arrivals
from sesameladder.settings import LoadDescription

SAMPLE_S = 0.25
JOBS_PER_CLIENT = 1_000_000
GONE = "status 410"  # of a job that ended so long ago that its state is not kept
FINAL_STATES = {"done", "failed", "cancelled"}


class Play:
    """One play of a load."""

    __slots__ = (
        "description",
        "kill_at",
        "late_until",
        "nodes",
        "random",
        "record",
        "started_at",
        "started_jobs",
    )

    def __init__(self, description: LoadDescription, nodes: Nodes) -> None:
        self.description = description
        self.nodes = nodes
        self.random = Random(f"{description.seed}/store")
        self.record = Record()
        self.started_jobs: set[str] = set()
        self.started_at = 0.0
        self.kill_at = description.kill_owner_every_s
        self.late_until: list[float] = []
        """Times at which late writes are carried out, in order."""

        for worker in nodes.standin.workers.values():
            worker.on_start = self._record_start

    def run(self) -> Record:
        """Play the load to its end; returns what was seen."""
        nodes, record = self.nodes, self.record
        terms = nodes.count_terms()
        self.started_at = time.monotonic()
        clients = self._build_clients()
        for client in clients:
            client.thread.start()
        self._watch(clients)
        for client in clients:
            client.thread.join(CALL_TIMEOUT_S)
        self._wait_for_jobs(clients)
        record.role_changes = nodes.count_terms() - terms
        record.peak_memory_mb = nodes.read_peak_memory_mb()
        return record

    def _record_start(self, worker: Any, task: str, run: int) -> None:
        del worker, run
        self.started_jobs.add(task.split(".")[0])

    def _get_key(self, stream: str) -> str:
        """Return the key of a stream's clients, or "" if they have none."""
        return build_key(stream) if self.description.has_keys else ""

    def _build_clients(self) -> list[Client]:
        clients: list[Client] = []
        for stream in self.description.streams:
            by_client: defaultdict[int, list[Arrival]] = defaultdict(list)
            load_seconds, seed = self.description.seconds, self.description.seed
            for arrival in draw_arrivals(stream, load_seconds, seed):
                by_client[arrival.client].append(arrival)
            for number in range(stream.clients):
                node = number % len(self.nodes.ports)
                if stream.node is not None:
                    node = stream.node
                clients.append(
                    Client(
                        stream,
                        number,
                        self.nodes.ports[node][0],
                        by_client[number],
                        self.record,
                        self.started_at,
                        (1 + len(clients)) * JOBS_PER_CLIENT,
                        self._get_key(stream.name),
                    )
                )
        return clients

    def _watch(self, clients: list[Client]) -> None:
        """Sample the store's use and inject faults until all clients are done."""
        calls = self.nodes.standin.store_rates.calls
        seen = Counter(calls)
        at_s = 0.0
        while any(client.thread.is_alive() for client in clients):
            time.sleep(SAMPLE_S)
            now_s = time.monotonic() - self.started_at
            current = Counter(calls)
            used = {kind: n / (now_s - at_s) for kind, n in (current - seen).items()}
            accepted = set().union(*(client.accepted.copy() for client in clients))
            waiting = len(accepted - self.started_jobs)
            self.record.store_use.append(StoreUse(now_s, used, waiting))
            if now_s < self.description.seconds:
                self._inject_faults(now_s, now_s - at_s)
            self._carry_out_late_writes(now_s)
            seen, at_s = current, now_s

    def _inject_faults(self, now_s: float, passed_s: float) -> None:
        behaviour, store = self.description.store, self.nodes.standin.store
        if self.random.random() < behaviour.lost_answers_per_s * passed_s:
            store.responses_to_drop += 1
        if self.random.random() < behaviour.late_writes_per_s * passed_s:
            store.transactions_to_delay += 1
            self.late_until.append(now_s + behaviour.late_s)
        if self.kill_at is not None and now_s >= self.kill_at:
            assert self.description.kill_owner_every_s is not None
            self.kill_at += self.description.kill_owner_every_s
            owner = self.nodes.find_owner()
            if owner is not None:
                self.record.kills += 1
                self.nodes.kill(owner)

    def _carry_out_late_writes(self, now_s: float) -> None:
        if self.late_until and now_s >= self.late_until[0]:
            self.late_until.pop(0)
            self.nodes.standin.store.execute_delayed()

    def _wait_for_jobs(self, clients: list[Client]) -> None:
        """Wait until accepted jobs have ended; record those that don't in time.

        The store's rates don't hold for this: reading thousands of states at the rates
        of a load would outlast it.
        """
        self.nodes.standin.store.execute_delayed()
        self.nodes.standin.store_rates.limit(inf, inf)
        open_jobs = {
            job: self._get_key(client.stream.name)
            for client in clients
            for job in client.accepted
        }
        until = time.monotonic() + self.description.finish_s
        while open_jobs:
            for job, key in list(open_jobs.items()):
                if time.monotonic() >= until:
                    self.record.unasked = len(open_jobs.keys() - self.record.unfinished)
                    return
                state = self.nodes.read_state(job, key)
                self.record.unfinished[job] = state
                is_gone = state == GONE and job in self.started_jobs
                if state in FINAL_STATES or is_gone:
                    del open_jobs[job], self.record.unfinished[job]
            time.sleep(SAMPLE_S)


def play(description: LoadDescription, folder: Path) -> Record:
    """Play a load against new processes; their settings and logs go to ``folder``.

    Raises ``TimeoutError`` if a node is not ready in time.
    """
    nodes = Nodes(description, folder)
    try:
        nodes.start()
        return Play(description, nodes).run()
    finally:
        nodes.stop()
