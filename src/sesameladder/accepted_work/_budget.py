"""Memory of one process for the accepted work of all pools that it owns."""

from threading import Lock

# The rest is for the interpreter and the links to workers (33 MB and more), for 16 MiB
# of requests, for bodies and answers while they are decoded, and for the log.
MEMORY_SHARE = 0.25
DEFAULT_MEMORY_MB = 200  # of the smallest VM of a deployment, where none is stated
# Memory for subtasks that are built beyond the first ones of waiting steps.
BUILT_SHARE = 0.15
# With so little held, any one job is taken up: nothing that ends would make much room.
CALM_SHARE = 0.25
# Room that one pool leaves to others: a single pool may hold 4/5 of the budget, two
# that ask for more 4/9 each.
POOL_FACTOR = 4.0


class WorkBudget:
    """Bound of the memory that the jobs of all owned pools need; thread-safe.

    The load is a crowd whose jobs fill one pool while the process owns, or has just
    taken over, others. What a pool may hold follows the room that is left (dynamic
    thresholds), so no pool takes all of it and none has to be told of the others.
    """

    __slots__ = ("built_bytes", "held_by_owner", "limit_bytes", "lock")

    def __init__(self, limit_bytes: int, built_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        """Bytes for the jobs of all pools together."""

        self.built_bytes = built_bytes
        """Bytes for the subtasks that one pool's owner has built at a time."""

        self.held_by_owner: dict[str, int] = {}
        """Estimated bytes of the jobs that each owner in this process holds.

        An owner is named by its pool and its fence: a process may own a pool again
        before the work of the earlier holding has ended.
        """

        self.lock = Lock()

    @classmethod
    def from_memory(cls, memory_mb: int) -> "WorkBudget":
        """Return the budget of a process with so much memory; 0 if it isn't stated."""
        memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * 1_000_000
        return cls(int(memory_bytes * MEMORY_SHARE), int(memory_bytes * BUILT_SHARE))

    def add(self, owner: str) -> None:
        """Add an owner that holds nothing yet."""
        with self.lock:
            self.held_by_owner[owner] = 0

    def update(self, owner: str, held_bytes: int) -> None:
        """Record the estimated bytes of the jobs that an owner holds."""
        with self.lock:
            if owner in self.held_by_owner:
                self.held_by_owner[owner] = held_bytes

    def remove(self, owner: str) -> None:
        """Forget an owner whose role is lost."""
        with self.lock:
            self.held_by_owner.pop(owner, None)

    def try_take(self, owner: str, job_bytes: int) -> bool:
        """Take room for a job; returns False if there is none.

        An owner that holds little gets room for any one job: it has been accepted, and
        nothing that ends would make much more room.
        """
        with self.lock:
            held_bytes = self.held_by_owner.get(owner, 0)
            limit_bytes = self._compute_limit(owner)
            is_calm = held_bytes <= CALM_SHARE * limit_bytes
            if held_bytes + job_bytes > limit_bytes and not is_calm:
                return False
            if owner in self.held_by_owner:
                self.held_by_owner[owner] = held_bytes + job_bytes
            return True

    def compute_limit(self, owner: str) -> int:
        """Return the bytes that an owner may hold at present."""
        with self.lock:
            return self._compute_limit(owner)

    def _compute_limit(self, owner: str) -> int:
        others = sum(self.held_by_owner.values()) - self.held_by_owner.get(owner, 0)
        # An owner holds at most POOL_FACTOR times what is then left for others.
        share = POOL_FACTOR / (1 + POOL_FACTOR)
        return max(0, int((self.limit_bytes - others) * share))
