"""Whether a call of the store that a client's request needs is made again."""

from enum import StrEnum
from random import Random

PAUSE_S = 0.05  # the store responds in 4 ms unless it is overloaded
PAUSE_SPREAD = (0.5, 1.5)  # requests that are refused together don't come back together
MAX_REJECTED_ATTEMPTS = 3  # a store that rejects calls does so for seconds


class CallFailure(StrEnum):
    """Why a call brought no result."""

    REJECTED = "rejected"
    """It has not been executed."""

    UNANSWERED = "unanswered"
    """It may have been executed, or may be later."""

    SHARE_USED_UP = "share_used_up"
    """It was not made: the clients' share of the store's calls is used up."""

    NO_TIME_LEFT = "no_time_left"
    """It was not made: the process ends before a response could arrive."""


class Decision(StrEnum):
    """What follows a call that failed."""

    REPEAT = "repeat"
    REJECT = "reject"
    """The client is told that its request has not run."""

    ANSWER_UNKNOWN = "answer_unknown"
    """The client is told that its request may have run."""


class ClientRepeats:
    """Calls of one request and their failures; not thread-safe.

    The load is a store that loses answers, refuses calls for its rate, or is away. A
    client that is told "not run" goes elsewhere at once; "unknown" leaves it to find
    out, so after a call without an answer the request goes on until its deadline.

    Times are steady and in seconds.
    """

    __slots__ = (
        "deadline",
        "is_unsettled",
        "latest",
        "pause_s",
        "random",
        "rejections",
    )

    def __init__(self, deadline: float, random: Random) -> None:
        self.deadline = deadline
        self.random = random
        self.latest: CallFailure | None = None
        self.is_unsettled = False
        """Whether a call of the request may have been executed without an answer."""

        self.rejections = 0
        """Calls that were made and have not been executed."""

        self.pause_s = 0.0
        """Time to wait before the next call, if it is repeated."""

    def record_failure(self, failure: CallFailure) -> None:
        """Record a call that failed."""
        self.latest = failure
        if failure is CallFailure.UNANSWERED:
            self.is_unsettled = True
        elif failure is CallFailure.REJECTED:
            self.rejections += 1

    @property
    def needs_outcome(self) -> bool:
        """Return whether to find out if an earlier call was executed."""
        return self.is_unsettled and self.latest is not CallFailure.NO_TIME_LEFT

    def decide(self, now: float) -> Decision:
        """Return what follows the latest failure."""
        is_over = self.latest is CallFailure.NO_TIME_LEFT
        if not self.is_unsettled:
            # With the share used up, another call would only have others wait.
            is_over = is_over or self.latest is CallFailure.SHARE_USED_UP
            is_over = is_over or self.rejections >= MAX_REJECTED_ATTEMPTS
        self.pause_s = PAUSE_S * self.random.uniform(*PAUSE_SPREAD)
        if not is_over and now + self.pause_s < self.deadline:
            return Decision.REPEAT
        return Decision.ANSWER_UNKNOWN if self.is_unsettled else Decision.REJECT
