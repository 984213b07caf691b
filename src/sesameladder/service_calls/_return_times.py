"""Clients that were told when to come again, and those that do so."""

from collections import OrderedDict

MAX_CLIENTS = 2000  # about 300 KB; beyond it, the earliest promises are forgotten
EARLY_S = 0.02  # clocks of a client and its node run apart by less during a wait


class ReturnTimes:
    """Times at which refused clients may come again; not thread-safe.

    The load is a crowd that ignores its ``Retry-After`` beside clients that wait. If
    both had the same standing, those that wait would lose to those that ask all the
    time. So a client that comes when it was told to, and not before, goes first.
    """

    __slots__ = ("due_at",)

    def __init__(self) -> None:
        self.due_at: OrderedDict[str, float] = OrderedDict()
        """Steady time in seconds from which a client is expected, by client."""

    def record(self, client: str, due_at: float) -> None:
        """Record that a client was told to come again at a time."""
        self.due_at.pop(client, None)
        self.due_at[client] = due_at
        while len(self.due_at) > MAX_CLIENTS:
            self.due_at.popitem(last=False)

    def take(self, client: str, now: float) -> bool:
        """Return whether a client comes when it was told to; it is expected no more."""
        due_at = self.due_at.pop(client, None)
        return due_at is not None and now >= due_at - EARLY_S
