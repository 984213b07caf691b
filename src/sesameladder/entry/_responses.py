"""Conversion of outcomes to HTTP responses and peer messages."""

from dataclasses import dataclass
from functools import singledispatch

from sesameladder.entry._request import OUTCOME_HEADER, REQUEST_ID_HEADER
from sesameladder.idempotency import Done, NotRun, NotRunReason, Outcome, Unknown
from sesameladder.peering import ForwardedAnswer, Header

TOO_MANY_REQUESTS_REASONS = frozenset({NotRunReason.QUOTA, NotRunReason.QUEUE_LIMIT})
DEADLINE_REASON = "deadline"


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response to the caller."""

    status: int
    """HTTP status code."""

    headers: tuple[tuple[str, str], ...]
    """Names and values of the headers, without ``Content-Length``."""

    body: bytes
    """Complete body."""


def build_response(outcome: Outcome, request_id: str) -> HttpResponse:
    """Return the HTTP response for an outcome, with outcome and request id headers."""
    response = _to_http(outcome)
    name = get_outcome_name(outcome)
    headers = (
        *response.headers,
        (OUTCOME_HEADER, name),
        (REQUEST_ID_HEADER, request_id),
    )
    return HttpResponse(response.status, headers, response.body)


@singledispatch
def _to_http(outcome: object) -> HttpResponse:
    raise TypeError(f"expected Done, NotRun or Unknown, got {outcome!r}")


@_to_http.register
def _(outcome: Done) -> HttpResponse:
    headers = tuple(
        (name, value)
        for name, value in outcome.headers
        if name not in (OUTCOME_HEADER, REQUEST_ID_HEADER)
    )
    return HttpResponse(outcome.status, headers, outcome.body)


@_to_http.register
def _(outcome: NotRun) -> HttpResponse:
    status = 429 if outcome.reason in TOO_MANY_REQUESTS_REASONS else 503
    headers: tuple[tuple[str, str], ...] = (("Content-Type", "text/plain"),)
    if outcome.retry_after_s is not None:
        seconds = max(1, round(outcome.retry_after_s))
        headers = (*headers, ("Retry-After", str(seconds)))
    return HttpResponse(status, headers, f"not run: {outcome.reason}\n".encode())


@_to_http.register
def _(outcome: Unknown) -> HttpResponse:
    status = 504 if outcome.reason == DEADLINE_REASON else 502
    headers = (("Content-Type", "text/plain"),)
    return HttpResponse(
        status, headers, f"outcome unknown: {outcome.reason}\n".encode()
    )


def get_outcome_name(outcome: Outcome) -> str:
    """Return the outcome's name as used in headers and peer messages."""
    if isinstance(outcome, Done):
        return "done"
    return "not-run" if isinstance(outcome, NotRun) else "unknown"


def encode_outcome(outcome: Outcome, request_id: str) -> ForwardedAnswer:
    """Return an outcome as a peer message."""
    if isinstance(outcome, Done):
        headers = tuple(Header(name, value) for name, value in outcome.headers)
        return ForwardedAnswer(
            "done", outcome.status, headers, outcome.body, "", -1.0, request_id
        )
    retry_after_s = -1.0
    if isinstance(outcome, NotRun) and outcome.retry_after_s is not None:
        retry_after_s = outcome.retry_after_s
    name = get_outcome_name(outcome)
    return ForwardedAnswer(name, 0, (), b"", outcome.reason, retry_after_s, request_id)


def decode_outcome(answer: ForwardedAnswer) -> Outcome:
    """Return the outcome that a peer message contains."""
    if answer.outcome == "done":
        headers = tuple((header.name, header.value) for header in answer.headers)
        return Done(answer.status, headers, answer.body)
    if answer.outcome == "not-run":
        retry_after_s = answer.retry_after_s if answer.retry_after_s >= 0 else None
        return NotRun(answer.reason, retry_after_s)
    return Unknown(answer.reason)
