"""Room for further jobs at a pool's owner, as it publishes it."""

from collections.abc import Mapping
from math import exp

ROUNDING_STEPS = 32  # of the budget; finer figures would be written every second
RELEASE_MEMORY_S = 10.0  # some times the length of a usual job
MAX_ORGANISATIONS = 16  # with the most work; about 1 KB of the summary
NAMED_SHARE = 1 / 16  # of the limit, from which on an organisation is named


class PoolRoom:
    """What a pool's owner may hold and what is left of it, in coarse steps."""

    __slots__ = (
        "free_bytes",
        "held_by_organisation",
        "limit_bytes",
        "release_bytes_per_s",
    )

    def __init__(
        self,
        limit_bytes: int,
        free_bytes: int,
        release_bytes_per_s: int = 0,
        held_by_organisation: Mapping[str, int] | None = None,
    ) -> None:
        self.limit_bytes = limit_bytes
        """Bytes of memory for the pool's jobs, as estimated for each job."""

        self.free_bytes = free_bytes
        """What the jobs accepted so far leave of it; below 0 if they need more."""

        self.release_bytes_per_s = release_bytes_per_s
        """Bytes that ending jobs free in a second; 0 if hardly any end."""

        self.held_by_organisation = dict(held_by_organisation or {})
        """Bytes by organisation, of those that hold much."""

    @classmethod
    def from_counts(
        cls,
        budget_bytes: int,
        limit_bytes: int,
        held_bytes: int,
        release_bytes_per_s: float,
        held_by_organisation: Mapping[str, int],
    ) -> "PoolRoom":
        """Return the room for publication, in steps that seldom change.

        ``budget_bytes`` is for all pools of the process, ``limit_bytes`` for this one.
        ``held_bytes`` includes the jobs that wait in the store.
        """
        step = max(1, budget_bytes // ROUNDING_STEPS)
        is_half_full = held_bytes > limit_bytes / 2
        named = sorted(
            (name for name in held_by_organisation if name),
            key=lambda name: -held_by_organisation[name],
        )[:MAX_ORGANISATIONS]
        limit_bytes = limit_bytes // step * step
        return cls(
            limit_bytes,
            limit_bytes - held_bytes // step * step,
            round(release_bytes_per_s) // step * step if is_half_full else 0,
            {
                name: held_by_organisation[name] // step * step
                for name in named
                if held_by_organisation[name] > NAMED_SHARE * limit_bytes
            },
        )

    def __eq__(self, other: object) -> bool:
        """Return whether both say the same."""
        return isinstance(other, PoolRoom) and self.describe() == other.describe()

    def __hash__(self) -> int:
        return hash((self.limit_bytes, self.free_bytes, self.release_bytes_per_s))

    def describe(self) -> dict[str, object]:
        """Return the fields by name, for records."""
        return {name: getattr(self, name) for name in sorted(self.__slots__)}


class ReleaseMeter:
    """Rate at which ending jobs free memory, as a moving average.

    Steady times are in seconds.
    """

    __slots__ = ("bytes_per_s", "updated_at")

    def __init__(self, now: float) -> None:
        self.bytes_per_s = 0.0
        self.updated_at = now

    def record(self, freed_bytes: int, now: float) -> None:
        """Count the memory that was freed since the last call."""
        passed_s = now - self.updated_at
        if passed_s <= 0:
            return
        self.updated_at = now
        kept = exp(-passed_s / RELEASE_MEMORY_S)
        rate = max(0, freed_bytes) / passed_s
        self.bytes_per_s = kept * self.bytes_per_s + (1 - kept) * rate
