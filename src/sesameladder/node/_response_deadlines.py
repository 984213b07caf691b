"""Times by which callers' requests are answered, in a process that may shut down."""

from math import inf

RESPONSE_DEADLINE_SHARE = 0.6  # of the caller's time limit; sending takes the rest
# Of the time that is left. A call takes its timeout twice if the connection is new, and
# a write without a response is followed by a read that settles it.
CALL_TIMEOUT_SHARE = 0.25
MIN_CALL_TIMEOUT_S = 0.02  # the store responds in 4 ms


class ResponseDeadlines:
    """Computes the deadline of each response and the timeout of each store call.

    Answers requests on connections that stay open while the process shuts down and
    the store fails. A request that is still waiting for the store when the process
    ends is cut: its caller learns neither the result nor whether it has run. A
    response that says "unknown" or "not run" before that is cheap, and the caller
    goes on at another process.

    Times are steady and in seconds.
    """

    __slots__ = ("last_response_at",)

    def __init__(self) -> None:
        self.last_response_at = inf
        """Time by which the last response has to be sent; infinite while serving."""

    def compute_deadline(self, time_limit_ms: float, now: float) -> float:
        """Return the time by which to respond to a request with this time limit."""
        deadline = now + RESPONSE_DEADLINE_SHARE * time_limit_ms / 1000
        return min(deadline, self.last_response_at)

    def limit_call_timeout(self, timeout_s: float, now: float) -> float:
        """Return the timeout of a store call that usually has the given one.

        It is 0 once no call may be made.
        """
        limit_s = CALL_TIMEOUT_SHARE * (self.last_response_at - now)
        return min(timeout_s, limit_s) if limit_s >= MIN_CALL_TIMEOUT_S else 0.0
