"""Client of the service that knows which workers may run a step."""

from dataclasses import dataclass

from sesameladder.platform._errors import CallRejected
from sesameladder.platform._http import HttpClient

MAX_WORKERS_PER_CALL = 100  # published limit of one call
RESPONSE_SLACK_S = 1.0  # calls of one VM wait for each other


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets by worker, valid for a time from the answer on."""

    tickets: dict[str, str]
    valid_ms: int


class AdviceClient:
    """Asks for the workers that a queue's policy allows."""

    __slots__ = ("http",)

    def __init__(self, address: str) -> None:
        self.http = HttpClient(address)

    def advise(
        self, step: tuple[str, int, int], workers: list[str], expected_s: float
    ) -> Advice:
        """Return tickets for a step; raises ``PlatformCallError``."""
        body = {
            "step": ".".join(map(str, step)),
            "workers": workers[:MAX_WORKERS_PER_CALL],
        }
        timeout_s = expected_s + RESPONSE_SLACK_S
        response = self.http.call("POST", "/v1/advise", body, timeout_s=timeout_s)
        if response.status != 200:
            raise CallRejected(f"the advice service answered {response.status}")
        tickets = {row[0]: row[1] for row in response.body.get("good") or ()}
        return Advice(tickets, int(response.body.get("validMs") or 0))
