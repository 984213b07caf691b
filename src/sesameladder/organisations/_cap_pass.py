"""What one pass of a pool's owner may start under the caps of organisations."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from sesameladder.organisations._amounts import (
    NOTHING,
    add,
    exceeds_cap,
    highest,
    keep_limited,
    multiply,
    subtract,
)
from sesameladder.organisations._model import Amounts


class Needs(Protocol):
    """Resources that a subtask requests."""

    @property
    def cpu_millis(self) -> int:
        """Return the processor share in thousandths of a core."""

    @property
    def memory_mb(self) -> int:
        """Return the memory in MB."""

    @property
    def gpus(self) -> int:
        """Return the number of GPUs."""


@dataclass(slots=True)
class Room:
    """What an organisation may start in one pass, in the resources that it limits."""

    cap: Amounts
    free: Amounts = NOTHING
    """Part of the row that may be used in this pass and is unused so far."""

    allows_oversized: bool = False
    """Whether one subtask that alone exceeds the cap may start within ``free``."""

    is_open: bool = False
    """Whether the view of the store allows starts, and all rows fit in the cap."""

    is_over: bool = False
    """Whether all rows together exceed the cap."""

    headroom: Amounts = NOTHING
    """What the organisation could run more in the pool if its row were raised."""


@dataclass(slots=True)
class Want:
    """Work of an organisation that a pass has not started because of the cap."""

    first: Amounts = NOTHING
    """Needs of the first such subtask that could run beside others."""

    largest: Amounts = NOTHING
    total: Amounts = NOTHING
    """Needs of all that the pool's workers have cores for."""

    oversized: Amounts | None = None
    """Needs of the first subtask that alone exceeds the cap."""

    covered: Needs | None = None
    """Needs of subtasks of which no more fit on the workers."""

    waiting: int = 0
    """Number of subtasks that wait."""


@dataclass(slots=True)
class CapPass:
    """Room of each capped organisation in one pass of a pool's owner.

    A question costs one look-up and three comparisons: passes ask for up to 2,000
    waiting subtasks.
    """

    rooms: Mapping[str, Room]
    caps: Mapping[str, Amounts] = field(default_factory=dict)
    """Cap by organisation; nothing starts of one with a cap and without room."""

    free_cpu_millis: int = 0
    """Unused millicores of the workers that accept work; bounds what is asked for."""

    started: dict[str, Amounts] = field(default_factory=dict)
    wants: dict[str, Want] = field(default_factory=dict)

    def may_start(self, organisation: str, needs: Needs, count: int = 1) -> bool:
        """Return whether ``count`` subtasks may start together."""
        room = self.rooms.get(organisation)
        if room is None:
            return organisation not in self.caps
        free, cap = room.free, room.cap
        if cap.cpu_millis and needs.cpu_millis * count > free.cpu_millis:
            return False
        if cap.memory_mb and needs.memory_mb * count > free.memory_mb:
            return False
        if cap.gpus and needs.gpus * count > free.gpus:
            return False
        # Only a single subtask may exceed the cap, so no gang that a lowered cap left.
        return (room.allows_oversized and count == 1) or not exceeds_cap(
            multiply(to_amounts(needs), count), cap
        )

    def may_repeat(self, organisation: str) -> bool:
        """Return whether a start without an answer, which counts already, may be sent.

        It may be the one that begins the run.
        """
        room = self.rooms.get(organisation)
        return organisation not in self.caps or (room is not None and room.is_open)

    def must_block(self, organisation: str) -> bool:
        """Return whether a start without an answer must not begin any more.

        That of a subtask which alone exceeds the cap is blocked too: it isn't repeated,
        and until its outcome is known nothing else of the organisation starts.
        """
        room = self.rooms.get(organisation)
        return room is not None and room.is_over

    def record_start(self, organisation: str, needs: Needs) -> None:
        """Count a subtask that is started in this pass."""
        room = self.rooms.get(organisation)
        if room is None:
            return
        limited = keep_limited(to_amounts(needs), room.cap)
        # Beside the one oversized subtask nothing else starts.
        room.free = NOTHING if room.allows_oversized else subtract(room.free, limited)
        self.started[organisation] = add(
            self.started.get(organisation, NOTHING), limited
        )

    def record_refusal(
        self, organisation: str, needs: Needs, count: int, group: int = 1
    ) -> None:
        """Count ``count`` subtasks that the cap makes wait.

        ``group`` of them can only start together. Work that no worker has cores for is
        not asked for: its part of the cap would be missing in other pools.
        """
        room = self.rooms.get(organisation)
        if room is None or count <= 0:
            return
        want = self.wants.get(organisation)
        if want is None:
            want = self.wants[organisation] = Want()
        want.waiting += count
        if group == 1 and want.covered is not None and needs == want.covered:
            return
        unit = keep_limited(multiply(to_amounts(needs), group), room.cap)
        if exceeds_cap(unit, room.cap):
            if group == 1:
                want.oversized = want.oversized or unit
            return
        if want.first == NOTHING:
            want.first = unit
        want.largest = highest(want.largest, unit)
        units = count // group
        if unit.cpu_millis:
            left = self.free_cpu_millis - want.total.cpu_millis
            fitting = max(0, left // unit.cpu_millis)
            if group == 1 and fitting < units:
                want.covered = needs
            units = min(units, fitting)
        if want.total == NOTHING:
            units = max(1, units)
        want.total = add(want.total, multiply(unit, units))


def to_amounts(needs: Needs) -> Amounts:
    """Return the amounts that a subtask counts with."""
    return Amounts(needs.cpu_millis, needs.memory_mb, needs.gpus)


class DemandLimit:
    """Part of the waiting work that the caps let a pool start."""

    __slots__ = ("headrooms", "rooms")

    def __init__(self, rooms: Mapping[str, Room]) -> None:
        self.rooms = rooms
        self.headrooms = {name: room.headroom for name, room in rooms.items()}

    def take(self, organisation: str, needs: Needs, cpu_millis: float) -> float:
        """Return how many millicores of waiting work count, up to ``cpu_millis``.

        What is returned is no longer there for other work of the organisation.
        """
        room = self.rooms.get(organisation)
        if room is None:
            return cpu_millis
        headroom = self.headrooms[organisation]
        subtasks = cpu_millis / needs.cpu_millis if needs.cpu_millis else 0.0
        for left, need, cap in (
            (headroom.cpu_millis, needs.cpu_millis, room.cap.cpu_millis),
            (headroom.memory_mb, needs.memory_mb, room.cap.memory_mb),
            (headroom.gpus, needs.gpus, room.cap.gpus),
        ):
            if cap and need:
                subtasks = min(subtasks, left / need)
        self.headrooms[organisation] = subtract(
            headroom,
            Amounts(
                round(subtasks * needs.cpu_millis),
                round(subtasks * needs.memory_mb),
                round(subtasks * needs.gpus),
            ),
        )
        return subtasks * needs.cpu_millis
