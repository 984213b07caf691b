"""A load generator that sends mixed work and records the outcome of each attempt."""

import hashlib
import json
import time
from dataclasses import dataclass, field
from random import Random
from threading import Event, Lock, Thread
from typing import Protocol

from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

SHORT_WORK_RANGE_MS = (5, 30)
LONG_WORK_MS = 800
LONG_SHARE = 0.03
TOKEN_SHARE = 0.15
KEY_SHARE = 0.05
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.1
MAX_REQUEST_GAP_S = 0.02
READ_TIMEOUT_S = 120.0
NO_OUTCOME = "broken"


@dataclass(slots=True)
class Attempt:
    """An HTTP request to an entry instance and its response."""

    entry: str
    """Entry instance that the request was sent to."""

    outcome: str
    """``done``, ``not-run``, ``unknown``, or ``broken`` without a stated outcome."""

    request_id: str = ""
    """Request id that the entry instance assigned to the attempt."""

    status: int = 0
    """HTTP status; 0 without a response."""

    is_intact: bool = True
    """Whether the body of a ``done`` response is complete and matches the request."""

    duration_s: float = 0.0
    """Time until the response, in seconds; 0 without a response."""

    reason: str = ""
    """Body of a response that is not ``done``, or the connection error."""

    ended_at: float = 0.0
    """Monotonic time at which the attempt ended, in seconds."""


@dataclass(slots=True)
class RequestRecord:
    """A logical request and its attempts."""

    kind: str
    """``short``, ``long``, ``token`` or ``key``."""

    pool: str
    """Pool that the request was sent to."""

    key: str
    """Idempotency token or key; empty for requests without one."""

    attempts: list[Attempt] = field(default_factory=list)
    """Attempts in the order in which they were sent."""


@dataclass(frozen=True, slots=True)
class EntryEndpoint:
    """HTTP address of an entry instance."""

    instance: str
    """Id of the entry instance."""

    address: str
    """``ip:port`` of the instance's front end."""


class LoadBalancer(Protocol):
    """Load balancer that selects the entry instances for new requests."""

    def list_endpoints(self) -> list[EntryEndpoint]:
        """Return the entry instances that currently accept requests."""


class LoadGenerator:
    """Threads that send requests until ``stop`` is called."""

    __slots__ = (
        "balancer",
        "http",
        "lock",
        "pools",
        "records",
        "seed",
        "stopping",
        "teams",
        "threads",
    )

    def __init__(
        self,
        balancer: LoadBalancer,
        pools: tuple[str, ...],
        teams: tuple[str, ...],
        seed: int,
        threads: int,
    ) -> None:
        self.balancer = balancer
        self.pools = pools
        self.teams = teams
        self.seed = seed
        self.http = PoolManager(
            maxsize=threads,
            timeout=Timeout(connect=1.0, read=READ_TIMEOUT_S),
            retries=Retry(0, redirect=0),
        )
        self.records: list[RequestRecord] = []
        self.lock = Lock()
        self.stopping = Event()
        self.threads = [
            Thread(target=self._run, args=(Random(f"{seed}/{number}"),), daemon=True)
            for number in range(threads)
        ]

    def start(self) -> None:
        """Start all threads."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending requests and wait for those in flight."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def list_attempts(self) -> list[Attempt]:
        """Return all attempts that have ended so far."""
        with self.lock:
            return [attempt for record in self.records for attempt in record.attempts]

    def _run(self, random: Random) -> None:
        number = 0
        while not self.stopping.wait(MAX_REQUEST_GAP_S * random.random()):
            number += 1
            self._send_request(random, number)

    def _send_request(self, random: Random, number: int) -> None:
        kind = _choose_kind(random)
        record = RequestRecord(kind, random.choice(self.pools), "")
        body = f"{self.seed}/{random.random()}/{number}".encode()
        if kind == "token":
            record.key = self._fetch_token(random)
        elif kind == "key":
            record.key = hashlib.sha256(body).hexdigest()
        if kind in ("token", "key") and not record.key:
            return
        with self.lock:
            self.records.append(record)
        headers = _build_headers(record, random, self.teams)
        for attempt_number in range(1, MAX_ATTEMPTS + 1):
            headers["Sesameladder-Attempt"] = str(attempt_number)
            attempt = self._send_attempt(random, record, headers, body)
            with self.lock:
                record.attempts.append(attempt)
            if attempt.outcome == "done" or self.stopping.wait(RETRY_PAUSE_S):
                return

    def _fetch_token(self, random: Random) -> str:
        entry = random.choice(self.balancer.list_endpoints())
        url = f"http://{entry.address}/-/tokens"
        try:
            response = self.http.request("POST", url)
        except HTTPError:
            return ""
        return response.data.decode() if response.status == 201 else ""

    def _send_attempt(
        self,
        random: Random,
        record: RequestRecord,
        headers: dict[str, str],
        body: bytes,
    ) -> Attempt:
        entry = random.choice(self.balancer.list_endpoints())
        name = entry.instance
        method = "POST" if record.key else "GET"
        url = f"http://{entry.address}/pools/{record.pool}/preview"
        started = time.monotonic()
        try:
            response = self.http.request(
                method, url, headers=headers, body=body if record.key else None
            )
        except HTTPError as error:
            now = time.monotonic()
            return Attempt(name, NO_OUTCOME, reason=str(error), ended_at=now)
        now = time.monotonic()
        outcome = response.headers.get("Sesameladder-Outcome", NO_OUTCOME)
        request_id = response.headers.get("Sesameladder-Request-Id", "")
        is_intact = outcome != "done" or _is_intact(
            record, response.data, body, request_id
        )
        reason = "" if outcome == "done" else response.data.decode("utf-8", "replace")
        return Attempt(
            name,
            outcome,
            request_id,
            response.status,
            is_intact,
            now - started,
            reason.strip(),
            now,
        )


def _choose_kind(random: Random) -> str:
    draw = random.random()
    for kind, share in (
        ("long", LONG_SHARE),
        ("token", TOKEN_SHARE),
        ("key", KEY_SHARE),
    ):
        if draw < share:
            return kind
        draw -= share
    return "short"


def _build_headers(
    record: RequestRecord, random: Random, teams: tuple[str, ...]
) -> dict[str, str]:
    work_ms = (
        LONG_WORK_MS if record.kind == "long" else random.randint(*SHORT_WORK_RANGE_MS)
    )
    headers = {
        "Sesameladder-Team": random.choice(teams),
        "Sesameladder-Kind": record.kind,
        "Sesameladder-Deadline-Ms": "8000",
        "Sesameladder-Checkpointable": "true" if record.kind == "long" else "false",
        "Work-Ms": str(work_ms),
    }
    if record.key:
        headers["Idempotency-Key"] = record.key
    return headers


def _is_intact(
    record: RequestRecord, data: bytes, body: bytes, request_id: str
) -> bool:
    """Return whether the response body is complete and matches the request."""
    try:
        content = json.loads(data)
    except ValueError:
        return False
    if record.key:
        digest = hashlib.sha256(body).hexdigest()
        has_same_digest = content["body_digest"] == digest
        return bool(has_same_digest and content["idempotency_key"] == record.key)
    return bool(content["request_id"] == request_id)
