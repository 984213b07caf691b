"""HTTP client of a service that all processes share; records what became of calls."""

from collections.abc import Callable
from functools import singledispatch
from typing import Any

from sesameladder.platform._errors import (
    OutcomeUnknown,
    PlatformCallError,
    UnexpectedResponse,
)
from sesameladder.platform._http import HttpClient, HttpResponse
from sesameladder.service_calls import CallOutcome, CallRules

OUTCOMES_BY_STATUS = {
    429: CallOutcome.RATE_LIMITED,
    503: CallOutcome.REFUSED,
}
"""Outcomes of calls with a response; all other calls have been carried out."""


class ServiceHttp:
    """Makes calls under their rules and reports their outcomes; thread-safe."""

    __slots__ = ("http", "on_outcome")

    def __init__(self, http: HttpClient) -> None:
        self.http = http
        self.on_outcome: Callable[[CallRules, CallOutcome], None] = lambda *_: None
        """Told what became of each call."""

    def call(
        self,
        rules: CallRules,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> HttpResponse:
        """Make a call as ``HttpClient.call`` does, and raise as it does.

        ``timeout_s`` is that of the rules unless it is given.
        """
        limit_s = rules.timeout_s if timeout_s is None else timeout_s
        try:
            response = self.http.call(method, path, body, headers, limit_s)
        except PlatformCallError as error:
            self.on_outcome(rules, classify_failure(error))
            raise
        outcome = OUTCOMES_BY_STATUS.get(response.status, CallOutcome.ANSWERED)
        self.on_outcome(rules, outcome)
        return response


@singledispatch
def classify_failure(error: PlatformCallError) -> CallOutcome:
    """Return what became of a call that failed."""
    del error
    return CallOutcome.REFUSED


@classify_failure.register
def _(error: OutcomeUnknown) -> CallOutcome:
    del error
    return CallOutcome.GIVEN_UP


@classify_failure.register
def _(error: UnexpectedResponse) -> CallOutcome:
    # The service is done with a call whose response can't be read.
    del error
    return CallOutcome.ANSWERED
