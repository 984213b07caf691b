"""Client of the service that knows which workers may run a step."""

from dataclasses import dataclass

from sesameladder.platform._errors import CallRejected
from sesameladder.platform._http import HttpCaller

MAX_WORKERS = 100  # published limit of one call
ADVICE_SLACK_S = 1.0  # calls of one VM wait for each other


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets by worker, valid for a time from the answer on."""

    tickets: dict[str, str]
    valid_ms: int


class AdviceClient:
    """Asks for the workers that a queue's policy allows."""

    __slots__ = ("caller",)

    def __init__(self, address: str) -> None:
        self.caller = HttpCaller(address)

    def advise(
        self, step: tuple[str, int, int], workers: list[str], expected_s: float
    ) -> Advice:
        """Return tickets for a step; raises ``PlatformCallError``."""
        body = {"step": ".".join(map(str, step)), "workers": workers[:MAX_WORKERS]}
        timeout_s = expected_s + ADVICE_SLACK_S
        reply = self.caller.call("POST", "/v1/advise", body, timeout_s=timeout_s)
        if reply.status != 200:
            raise CallRejected(f"the advice service answered {reply.status}")
        tickets = {row[0]: row[1] for row in reply.body.get("good") or ()}
        return Advice(tickets, int(reply.body.get("validMs") or 0))
