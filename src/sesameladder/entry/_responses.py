"""Turns outcomes into HTTP answers and peer messages."""

from dataclasses import dataclass
from functools import singledispatch

from sesameladder.entry._request import OUTCOME_HEADER, REQUEST_ID_HEADER
from sesameladder.idempotency import Done, NotRun, NotRunReason, Outcome, Unknown
from sesameladder.peering import ForwardedAnswer, Header

QUOTA_REASONS = frozenset({NotRunReason.QUOTA, NotRunReason.QUEUE_LIMIT})
DEADLINE_REASON = "deadline"


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status, headers and body for the caller."""

    status: int
    """HTTP status."""

    headers: tuple[tuple[str, str], ...]
    """Header names and values."""

    body: bytes
    """Whole body."""


def build_answer(outcome: Outcome, request_id: str) -> HttpAnswer:
    """Return the HTTP answer of an outcome."""
    answer = _to_http(outcome)
    name = name_outcome(outcome)
    headers = (
        *answer.headers,
        (OUTCOME_HEADER, name),
        (REQUEST_ID_HEADER, request_id),
    )
    return HttpAnswer(answer.status, headers, answer.body)


@singledispatch
def _to_http(outcome: object) -> HttpAnswer:
    raise TypeError(f"not an outcome: {outcome!r}")


@_to_http.register
def _(outcome: Done) -> HttpAnswer:
    headers = tuple(
        (name, value)
        for name, value in outcome.headers
        if name not in (OUTCOME_HEADER, REQUEST_ID_HEADER)
    )
    return HttpAnswer(outcome.status, headers, outcome.body)


@_to_http.register
def _(outcome: NotRun) -> HttpAnswer:
    status = 429 if outcome.reason in QUOTA_REASONS else 503
    headers: tuple[tuple[str, str], ...] = (("Content-Type", "text/plain"),)
    if outcome.retry_after_s is not None:
        seconds = max(1, round(outcome.retry_after_s))
        headers = (*headers, ("Retry-After", str(seconds)))
    return HttpAnswer(status, headers, f"not run: {outcome.reason}\n".encode())


@_to_http.register
def _(outcome: Unknown) -> HttpAnswer:
    status = 504 if outcome.reason == DEADLINE_REASON else 502
    headers = (("Content-Type", "text/plain"),)
    return HttpAnswer(status, headers, f"outcome unknown: {outcome.reason}\n".encode())


def name_outcome(outcome: Outcome) -> str:
    """Return the outcome's name in headers and messages."""
    if isinstance(outcome, Done):
        return "done"
    return "not-run" if isinstance(outcome, NotRun) else "unknown"


def encode_outcome(outcome: Outcome, request_id: str) -> ForwardedAnswer:
    """Return an outcome as a message."""
    if isinstance(outcome, Done):
        headers = tuple(Header(name, value) for name, value in outcome.headers)
        return ForwardedAnswer(
            "done", outcome.status, headers, outcome.body, "", -1.0, request_id
        )
    retry_after = -1.0
    if isinstance(outcome, NotRun) and outcome.retry_after_s is not None:
        retry_after = outcome.retry_after_s
    name = name_outcome(outcome)
    return ForwardedAnswer(name, 0, (), b"", outcome.reason, retry_after, request_id)


def decode_outcome(answer: ForwardedAnswer) -> Outcome:
    """Return the outcome in a message."""
    if answer.outcome == "done":
        headers = tuple((header.name, header.value) for header in answer.headers)
        return Done(answer.status, headers, answer.body)
    if answer.outcome == "not-run":
        retry_after = answer.retry_after_s if answer.retry_after_s >= 0 else None
        return NotRun(answer.reason, retry_after)
    return Unknown(answer.reason)
