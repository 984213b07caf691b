"""Clients that make the calls of a stream."""

import http.client
import json
import time
from collections.abc import Iterable
from random import Random
from threading import Thread

from sesameladder.load._nodes import HOST, KEY_HEADER, PREFIX, TIME_LIMIT_MS
from sesameladder.load._samples import Answer, Record, Sample
from sesameladder.load._schedule import Arrival, CallKind
from sesameladder.settings import LoadStream
from sesameladder.standins.system import SimulatedWork

METHODS = {CallKind.SUBMIT: "POST", CallKind.READ: "GET", CallKind.CANCEL: "DELETE"}
CALL_TIMEOUT_S = 4.0
LEAVES_AFTER_S = 0.01


class Client:
    """Makes its calls one after the other over one connection."""

    __slots__ = (
        "accepted",
        "arrivals",
        "body",
        "cancelled",
        "connection",
        "headers",
        "jobs",
        "number",
        "port",
        "random",
        "record",
        "started_at",
        "stream",
        "thread",
    )

    def __init__(
        self,
        stream: LoadStream,
        number: int,
        port: int,
        arrivals: Iterable[Arrival],
        record: Record,
        started_at: float,
        first_job: int,
        key: str = "",
    ) -> None:
        self.stream = stream
        self.number = number
        self.port = port
        self.arrivals = list(arrivals)
        self.record = record
        self.started_at = started_at
        """Steady time of the start of the load, in seconds."""

        self.random = Random(f"{stream.name}/{number}")
        self.jobs: list[str] = [f"{first_job:016x}"]
        """Identifiers used so far; the first one is never submitted."""

        self.accepted: set[str] = set()
        self.cancelled: set[str] = set()
        """Jobs for which a cancel was sent."""

        work = SimulatedWork(duration_ms=stream.job_ms)
        step = {"count": stream.width, "cpu": work.cpu, "memMb": 64}
        body = {
            "spec": work.to_text(),
            "steps": [{**step, "estMs": stream.job_ms}],
        }
        self.body = json.dumps(body).encode()
        self.headers = {"Host": HOST, "X-Sesameladder-Deadline-Ms": str(TIME_LIMIT_MS)}
        if key:
            self.headers[KEY_HEADER] = key
        self.connection: http.client.HTTPConnection | None = None
        self.thread = Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        for arrival in self.arrivals:
            self._wait_until(arrival.at_s)
            job = self._choose_job(arrival.kind)
            answer, tries = self._call_with_retries(arrival, job)
            latency_s = self._read_time() - arrival.at_s
            if answer is Answer.SERVED and arrival.kind is CallKind.SUBMIT:
                self.accepted.add(job)
            self.record.add(
                Sample(
                    self.stream.name,
                    arrival.kind,
                    arrival.at_s,
                    latency_s,
                    answer,
                    tries,
                )
            )

    def _choose_job(self, kind: CallKind) -> str:
        if kind is CallKind.SUBMIT:
            self.jobs.append(f"{int(self.jobs[0], 16) + len(self.jobs):016x}")
            return self.jobs[-1]
        job = self.random.choice(self.jobs)
        if kind is CallKind.CANCEL:
            self.cancelled.add(job)
        return job

    def _call_with_retries(self, arrival: Arrival, job: str) -> tuple[Answer, int]:
        tries = 0
        while True:
            tries += 1
            answer, retry_after_s = self._call(arrival, job)
            may_retry = answer is Answer.REFUSED and retry_after_s is not None
            if not may_retry or tries > self.stream.retries:
                return answer, tries
            assert retry_after_s is not None
            time.sleep(retry_after_s)

    def _call(self, arrival: Arrival, job: str) -> tuple[Answer, float | None]:
        """Make one call; returns the answer and its ``Retry-After`` in seconds."""
        method = METHODS[arrival.kind]
        body = self.body if method == "POST" else None
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(
                    "127.0.0.1", self.port, timeout=CALL_TIMEOUT_S
                )
            self.connection.request(method, PREFIX + job, body, self.headers)
            if arrival.leaves:
                time.sleep(LEAVES_AFTER_S)
                self._close()
                return Answer.LEFT, None
            response = self.connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            self._close()
            return Answer.BROKEN, None
        if response.will_close:
            self._close()
        retry_after = response.headers.get("Retry-After")
        retry_after_s = float(retry_after) if retry_after else None
        return Answer.from_status(response.status), retry_after_s

    def _close(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def _read_time(self) -> float:
        return time.monotonic() - self.started_at

    def _wait_until(self, at_s: float) -> None:
        time.sleep(max(0.0, at_s - self._read_time()))
