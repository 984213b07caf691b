"""Order, number and time limits of one VM's calls to a service.

The load is more calls than the service can carry out, from several flows (the queues of
jobs). The service takes one call of a VM at a time and the others in the order of their
arrival. It refuses calls while too many wait, and carries out a call whose caller has
given it up. So calls wait here, where they can be put in order and withdrawn, and
only as many are sent as keep the service busy.

For callers, a call that is given up and repeated is the worst: the service does the
work twice, and the calls behind it are given up as well. A time limit therefore covers
the calls ahead, those without an answer too, and grows while answers fail to come.
"""

from collections import deque
from collections.abc import Callable
from enum import StrEnum
from random import Random

from sesameladder.fairness import VirtualTimes

MAX_UNDER_WAY = 2  # one that the service handles and the next one
TIME_FACTOR = 2.0  # a service that takes up to twice the expected time is waited for
SLACK_S = 1.0
LEAD_S = 0.05  # a few round trips, by which the next call is sent ahead of its turn
# Single answers may be lost; after more, the service may be slower than expected.
GIVE_UPS_BEFORE_DOUBLING = 2
MAX_SLACK_DOUBLINGS = 3
FIRST_PAUSE_S = 0.1  # after a refusal; doubles with each further one
MAX_PAUSE_S = 1.0
PAUSE_SPREAD = (0.5, 1.5)  # VMs that are refused together come back apart
# A call of which nothing was heard for so long is not carried out any more.
FORGET_S = 60.0
MAX_IDLE_FLOWS = 1000


class CallOutcome(StrEnum):
    """What became of a call that was sent."""

    ANSWERED = "answered"
    """The service has carried it out."""

    REFUSED = "refused"
    """The service was not reached, or has answered without carrying it out."""

    RATE_LIMITED = "rate_limited"
    """The service has refused it, since too many calls are made."""

    GIVEN_UP = "given_up"
    """There was no answer in time; the service may carry it out later."""


class Call:
    """A call that waits to be sent."""

    __slots__ = ("expected_s", "flow")

    def __init__(self, flow: str, expected_s: float) -> None:
        self.flow = flow
        """Whose turn it uses; flows take turns by the service's time."""

        self.expected_s = expected_s
        """Time that the service takes for it, in seconds."""


class SentCall:
    """A call that was sent."""

    __slots__ = ("call", "sent_at", "timeout_s")

    def __init__(self, call: Call, sent_at: float, timeout_s: float) -> None:
        self.call = call
        self.sent_at = sent_at
        self.timeout_s = timeout_s
        """Time after which to give it up, in seconds."""


class CallLine:
    """Calls that wait, are under way, or were given up; not thread-safe.

    Steady times are in seconds.
    """

    __slots__ = (
        "give_ups",
        "given_up",
        "paused_until",
        "random",
        "refusals",
        "times",
        "under_way",
        "waiting",
    )

    def __init__(self, random: Random) -> None:
        self.random = random
        self.waiting: dict[str, deque[Call]] = {}
        """Calls to send, by flow; flows without any are left out."""

        self.under_way: list[SentCall] = []
        self.given_up: list[SentCall] = []
        """Calls that the service may still carry out."""

        self.times = VirtualTimes()
        self.give_ups = 0
        """Calls given up since the latest answer."""

        self.refusals = 0
        """Calls refused since the latest answer."""

        self.paused_until = 0.0

    def add(self, call: Call) -> None:
        """Add a call to those that wait."""
        if call.flow not in self.waiting:
            self.waiting[call.flow] = deque()
            self.times.activate(call.flow)
        self.waiting[call.flow].append(call)

    def withdraw(self, is_withdrawn: Callable[[Call], bool]) -> None:
        """Remove calls that wait and that nobody wants any more."""
        for flow, calls in list(self.waiting.items()):
            kept = deque(call for call in calls if not is_withdrawn(call))
            if kept:
                self.waiting[flow] = kept
            else:
                del self.waiting[flow]

    def count_waiting(self) -> int:
        """Return the number of calls that wait."""
        return sum(map(len, self.waiting.values()))

    def take(self, now: float) -> SentCall | None:
        """Return the next call, which has to be sent now, or None for no call."""
        due_at = self._find_due_time()
        if due_at is None or now < due_at:
            return None
        flow = min(self.waiting, key=self.times.get)
        call = self.waiting[flow].popleft()
        if not self.waiting[flow]:
            del self.waiting[flow]
        self.times.charge(flow, call.expected_s, 1.0)
        if len(self.times.by_flow) > MAX_IDLE_FLOWS:
            self.times.forget(self.waiting)
        sent = SentCall(call, now, self._compute_timeout(call, now))
        self.under_way.append(sent)
        return sent

    def _compute_timeout(self, call: Call, now: float) -> float:
        self.given_up = [row for row in self.given_up if now - row.sent_at < FORGET_S]
        ahead = [*self.given_up, *self.under_way]
        expected_s = call.expected_s + sum(row.call.expected_s for row in ahead)
        doublings = max(0, self.give_ups - GIVE_UPS_BEFORE_DOUBLING)
        slack_s = SLACK_S * (1 << min(doublings, MAX_SLACK_DOUBLINGS))
        return TIME_FACTOR * expected_s + slack_s

    def finish(self, sent: SentCall, outcome: CallOutcome, now: float) -> None:
        """Record what became of a call."""
        self.under_way.remove(sent)
        if outcome is CallOutcome.ANSWERED:
            self.give_ups = self.refusals = 0
            # The service takes calls in turn, so all earlier ones are over.
            self.given_up = [row for row in self.given_up if row.sent_at > sent.sent_at]
        elif outcome is CallOutcome.GIVEN_UP:
            self.give_ups += 1
            self.given_up.append(sent)
        else:
            pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * (1 << min(self.refusals, 10)))
            self.refusals += 1
            self.paused_until = now + pause_s * self.random.uniform(*PAUSE_SPREAD)

    def compute_wait(self, now: float) -> float | None:
        """Return the seconds until ``take`` may return a call; None if unknown.

        Unknown means until a call is added or finished.
        """
        due_at = self._find_due_time()
        return None if due_at is None else max(0.0, due_at - now)

    def _find_due_time(self) -> float | None:
        """Return the time at which to send the next call; None if it isn't known.

        The service is kept busy, but a call is sent as late as that allows: until then
        one of another flow may come before it.
        """
        # A service that refuses calls or is late with answers gets one at a time.
        limit = 1 if self.give_ups or self.refusals else MAX_UNDER_WAY
        if not self.waiting or len(self.under_way) >= limit:
            return None
        if not self.under_way:
            return self.paused_until
        expected_s = sum(row.call.expected_s for row in self.under_way)
        return max(self.paused_until, self.under_way[0].sent_at + expected_s - LEAD_S)
