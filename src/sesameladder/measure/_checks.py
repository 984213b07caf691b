"""Checks of the guarantees against the counters of the upstream stand-ins."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from sesameladder.measure._load_generator import NO_OUTCOME, RequestRecord
from sesameladder.standins.upstream import UpstreamStandin

WORKER_SLOTS = 8
WORKER_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class Check:
    """Result of the check of one guarantee."""

    promise: str
    """Name of the guarantee in docs/design.md."""

    text: str
    """What was checked."""

    violations: int
    """Number of violations."""

    detail: str = ""
    """First violations, if they are known one by one."""


@dataclass(frozen=True, slots=True)
class UpstreamTotals:
    """Counters of all upstream stand-ins, added up."""

    runs_by_key: Counter[str]
    """Starts per idempotency key or token."""

    runs_by_request: Counter[str]
    """Starts per request id."""

    peak_slots: int
    """Maximum number of concurrent tasks on a worker."""

    peak_connections: int
    """Maximum number of concurrent connections to a worker."""

    late_attempts: int
    """Work offered more than 3 s after the worker began to leave."""

    interrupted_tasks: int
    """Tasks interrupted by a reboot."""

    @classmethod
    def from_upstreams(cls, upstreams: Iterable[UpstreamStandin]) -> "UpstreamTotals":
        """Add up the counters of upstream stand-ins."""
        standins = list(upstreams)
        by_key: Counter[str] = Counter()
        by_request: Counter[str] = Counter()
        for standin in standins:
            by_key += standin.worker.counters.runs_by_key
            by_request += standin.worker.counters.runs_by_request
        counters = [standin.worker.counters for standin in standins]
        return cls(
            by_key,
            by_request,
            max(c.peak_slots for c in counters),
            max(standin.server.connections.peak for standin in standins),
            sum(c.late_attempts for c in counters),
            sum(c.ends["cut"] for c in counters),
        )

    @classmethod
    def from_counters(cls, counters: list[dict[str, Any]]) -> "UpstreamTotals":
        """Add up what ``GET /-/counters`` of upstream stand-ins returned."""
        by_key: Counter[str] = Counter()
        by_request: Counter[str] = Counter()
        for row in counters:
            by_key.update(row["runs_by_key"])
            by_request.update(row["runs_by_request"])
        return cls(
            by_key,
            by_request,
            max(row["peak_slots"] for row in counters),
            max(row["peak_connections"] for row in counters),
            sum(row["late_attempts"] for row in counters),
            sum(row["cut_requests"] for row in counters),
        )


def check_requests(
    records: list[RequestRecord], totals: UpstreamTotals, killed_entries: set[str]
) -> list[Check]:
    """Return the checks of requests; connections to killed entries may break."""
    attempts = [attempt for record in records for attempt in record.attempts]
    broken_connections = [
        f"{attempt.entry}: {attempt.reason[:80]}"
        for attempt in attempts
        if attempt.outcome == NO_OUTCOME and attempt.entry not in killed_entries
    ]
    corrupt = [attempt.request_id for attempt in attempts if not attempt.is_intact]
    false_refusals = _find_false_refusals(records, totals)
    over_slots = int(totals.peak_slots > WORKER_SLOTS)
    over_connections = int(totals.peak_connections > WORKER_CONNECTIONS)
    return [
        _build_check("P3", "answers that are not whole or of another request", corrupt),
        _build_check("P4", "refused as not run, but ran", false_refusals),
        _build_check(
            "P5", "single-run requests that ran twice", _find_repeated_runs(totals)
        ),
        Check("P6", "work offered 3 s after leaving", totals.late_attempts),
        _build_check("P7", "requests cut by a planned stop", broken_connections),
        Check("P7", "tasks cut by a reboot", totals.interrupted_tasks),
        Check("slots", "workers with more tasks than slots", over_slots),
        Check("connections", "workers with too many connections", over_connections),
    ]


def _build_check(promise: str, text: str, cases: list[str]) -> Check:
    return Check(promise, text, len(cases), "; ".join(cases[:3]))


def _find_repeated_runs(totals: UpstreamTotals) -> list[str]:
    return [key for key, runs in totals.runs_by_key.items() if runs > 1]


def _find_false_refusals(
    records: list[RequestRecord], totals: UpstreamTotals
) -> list[str]:
    """Return ids and keys of requests that ran although "not run" was answered.

    With an idempotency key, "not run" covers all attempts so far. A key whose last
    attempt was answered so must not have run at all.
    """
    false_refusals = [
        attempt.request_id
        for record in records
        for attempt in record.attempts
        if attempt.outcome == "not-run" and totals.runs_by_request[attempt.request_id]
    ]
    for record in records:
        last = record.attempts[-1] if record.attempts else None
        refused = last is not None and last.outcome == "not-run"
        if record.key and refused and totals.runs_by_key[record.key]:
            false_refusals.append(record.key)
    return false_refusals
