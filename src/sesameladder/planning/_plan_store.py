"""Reads and writes a region's plan in the platform's store."""

from dataclasses import dataclass

from sesameladder.environment import (
    PlatformError,
    Store,
    StoreEntry,
    StoreOutcomeUnknown,
    SwapConflict,
)
from sesameladder.planning._plan import RegionPlan


class PlanStoreError(Exception):
    """The plan could not be read from the store."""


@dataclass(frozen=True, slots=True)
class StoredPlan:
    """A plan with its revision in the store."""

    plan: RegionPlan
    """The plan; empty when the region has none yet."""

    revision: int
    """Store revision of the plan; 0 when the region has none yet."""


@dataclass(frozen=True, slots=True)
class PlanWritten:
    """The plan was written to the store."""

    revision: int
    """Store revision of the write."""


@dataclass(frozen=True, slots=True)
class PlanSuperseded:
    """Another writer changed the plan first; nothing was written."""

    current: StoredPlan
    """The plan that the store holds."""


@dataclass(frozen=True, slots=True)
class PlanNotWritten:
    """The store was not reached or rejected the call; nothing was written."""

    detail: str
    """Message of the store's error."""


@dataclass(frozen=True, slots=True)
class PlanUnsettled:
    """The response was lost, and whether the write took effect is unknown.

    It may still take effect, so the caller has to read the plan before it writes
    again.
    """

    detail: str
    """Message of the store's error."""


WriteOutcome = PlanWritten | PlanSuperseded | PlanNotWritten | PlanUnsettled


class PlanStore:
    """Reads and writes the plan of one region at the key ``plan/<region>``."""

    __slots__ = ("key", "region", "store")

    def __init__(self, store: Store, region: str) -> None:
        self.store = store
        self.region = region
        self.key = f"plan/{region}"

    def read(self) -> StoredPlan:
        """Return the stored plan, or an empty one if the region has none.

        Raises ``PlanStoreError`` if the store fails and ``PlanMalformed`` if the
        value can't be decoded.
        """
        try:
            return self._decode(self.store.get(self.key))
        except PlatformError as error:
            raise PlanStoreError(f"{self.key} can't be read: {error}") from error

    def write(self, plan: RegionPlan, expected_revision: int) -> WriteOutcome:
        """Replace the plan if it has the expected revision; 0 means no plan yet."""
        data = plan.to_bytes()
        try:
            outcome = self.store.compare_and_swap(self.key, expected_revision, data)
        except StoreOutcomeUnknown:
            return self._read_back(data, expected_revision)
        except PlatformError as error:
            return PlanNotWritten(str(error))
        if isinstance(outcome, SwapConflict):
            return PlanSuperseded(self._decode(outcome.current))
        return PlanWritten(outcome.revision)

    def _read_back(self, data: bytes, expected_revision: int) -> WriteOutcome:
        """Read the plan to find out whether a write without a response took effect.

        The fence and the version make the written value unique.
        """
        try:
            entry = self.store.get(self.key)
        except PlatformError as error:
            return PlanUnsettled(str(error))
        if entry is not None and entry.value == data:
            return PlanWritten(entry.revision)
        if (entry.revision if entry else 0) == expected_revision:
            return PlanUnsettled("the write has not taken effect yet")
        return PlanSuperseded(self._decode(entry))

    def _decode(self, entry: StoreEntry | None) -> StoredPlan:
        if entry is None:
            return StoredPlan(RegionPlan.empty(self.region), 0)
        return StoredPlan(RegionPlan.from_bytes(entry.value), entry.revision)
