"""Which clients have had more than their part of the calls lately."""

from math import exp

MEMORY_S = 2.0  # a crowd that ends leaves the others their turn after this
MAX_CLIENTS = 2000  # about 300 KB; beyond it, those with the fewest calls are forgotten
ACTIVE_CALLS = 0.05  # one call of 6 s ago
FIRST_CALLS = 0.5  # counted for who asks, so that refused clients take turns too
SCARCE_LEVEL = 0.5  # share of the saved calls; with more left nobody has too many
RESERVED_LEVEL = 0.2  # what is left below it is for clients that are new


class RecentCalls:
    """Calls of each client in the last seconds, fading; not thread-safe."""

    __slots__ = ("by_client", "newcomers", "total", "updated_at")

    def __init__(self, now: float, newcomers: int = 0) -> None:
        self.newcomers = newcomers
        """Clients to come that are counted beside those known."""

        self.by_client: dict[str, float] = {}
        self.total = 0.0
        self.updated_at = now

    def advance(self, now: float) -> None:
        """Let the counts fade."""
        if now - self.updated_at < MEMORY_S / 20:
            return
        factor = exp((self.updated_at - now) / MEMORY_S)
        self.updated_at = now
        self.by_client = {
            client: calls * factor
            for client, calls in self.by_client.items()
            if calls * factor > ACTIVE_CALLS
        }
        if len(self.by_client) > MAX_CLIENTS:
            kept = sorted(self.by_client.items(), key=lambda row: -row[1])
            self.by_client = dict(kept[:MAX_CLIENTS])
        self.total = sum(self.by_client.values())

    def register(self, client: str) -> bool:
        """Count a client among those that take turns; return whether it is new."""
        is_new = client not in self.by_client
        if is_new:
            self.by_client[client] = FIRST_CALLS
            self.total += FIRST_CALLS
        return is_new

    def record(self, client: str) -> None:
        """Count a call."""
        self.by_client[client] = self.by_client.get(client, 0.0) + 1.0
        self.total += 1.0

    def is_beyond_part(self, client: str, level: float) -> bool:
        """Return whether a client has had too many calls for the level that is left.

        At ``SCARCE_LEVEL`` a client may have had about as many as the mean of all
        clients, with fewer left accordingly less. So what is left last is for those
        that have had least, however fast the others ask. One that asks alone leaves
        it to those who come next, if newcomers are counted.
        """
        if self.newcomers and level < RESERVED_LEVEL:
            return True
        clients = len(self.by_client) + self.newcomers
        if level >= SCARCE_LEVEL or clients < 2:
            return False
        mean = self.total / clients
        return self.by_client.get(client, 0.0) > level / SCARCE_LEVEL * (mean + 1.0)
