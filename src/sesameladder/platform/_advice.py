"""Client of the advice service, which decides which workers may run a step."""

from dataclasses import dataclass

from sesameladder.jobs import MAX_WORKERS_PER_REQUEST
from sesameladder.platform._errors import CallRejected, decoding_response
from sesameladder.platform._fields import check_name, read_list, read_number
from sesameladder.platform._http import HttpClient


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets that let workers run a step."""

    tickets: dict[str, str]
    """Ticket to send with a start, by worker; other workers may not run the step."""

    valid_ms: int
    """Validity of the tickets from the time of the response."""


class AdviceClient:
    """Requests the workers that a queue's policy allows."""

    __slots__ = ("http",)

    def __init__(self, address: str) -> None:
        self.http = HttpClient(address)

    def advise(
        self, step: tuple[str, int, int], workers: list[str], timeout_s: float
    ) -> Advice:
        """Return tickets for a step; raises ``PlatformCallError``.

        ``timeout_s`` is the time after which the call is given up. Raises
        ``ValueError`` for more than ``MAX_WORKERS_PER_REQUEST`` workers.
        """
        if len(workers) > MAX_WORKERS_PER_REQUEST:
            raise ValueError(
                f"advice on {len(workers)} workers was requested at once, "
                f"the limit is {MAX_WORKERS_PER_REQUEST}"
            )
        body = {"step": ".".join(map(str, step)), "workers": workers}
        response = self.http.call("POST", "/v1/advise", body, timeout_s=timeout_s)
        if response.status != 200:
            raise CallRejected(
                f"the advice service returned HTTP status {response.status}"
            )
        with decoding_response("the advice service"):
            tickets = {
                check_name("id", row[0]): check_name("ticket", row[1])
                for row in read_list(response.body, "good", MAX_WORKERS_PER_REQUEST)
            }
            return Advice(tickets, read_number(response.body, "validMs"))
