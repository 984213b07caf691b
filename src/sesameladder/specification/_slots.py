"""Ownership of one worker slot by the dispatcher of its cell.

Two instances may dispatch the cell, one after the other, and two forwarders
use its grants. A dispatcher restarts or the cell changes hands; a forwarder dies
with a task that runs on until its lease has ended.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import minicheck

from sesameladder.specification._protocol import build_protocol

DISPATCHERS = (0, 1)
FORWARDERS = (0, 1)
NOBODY = "nobody"
MAX_CRASHES = 3


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules that a broken variant leaves out."""

    asks_forwarders: bool = True
    """A dispatcher grants only after forwarders have reported their grants."""

    reads_task_reports: bool = True
    """Unknown tasks on the worker occupy its slot after a start."""

    waits_for_lease: bool = True
    """The slot of a dead forwarder is freed only after one task lease."""

    frees_dead_forwarders: bool = True
    """The slot of a dead forwarder comes back."""

    voids_late_grants: bool = True
    """A grant that arrives later than start-by is not used."""

    stops_before_takeover: bool = True
    """A cell changes hands only when its old dispatcher grants no more."""


class Dispatcher(NamedTuple):
    """What a dispatcher does and knows."""

    mode: str
    """``off``, ``asking``, ``reading`` or ``granting``."""

    holder: str = NOBODY
    """Forwarder that holds the slot, as far as it knows."""


class Slot(NamedTuple):
    """A state of the slot, its dispatchers and its users."""

    dispatchers: tuple[Dispatcher, Dispatcher] = (
        Dispatcher("granting"),
        Dispatcher("off"),
    )
    """The owner and the next owner of the cell."""

    offered: tuple[int, int] | None = None
    """Grant on its way: forwarder and dispatcher."""

    forwarders: tuple[str, str] = ("idle", "idle")
    """For each forwarder: idle, running, done (not released) or dead."""

    orphans: int = 0
    """Tasks of dead forwarders whose lease has not ended."""

    crashes: int = 0
    """Restarts and deaths so far."""

    calm: bool = False
    """Whether faults have stopped."""

    def dispatcher(self, index: int, dispatcher: Dispatcher) -> "Slot":
        """Return the state with another dispatcher."""
        both = list(self.dispatchers)
        both[index] = dispatcher
        return self._replace(dispatchers=(both[0], both[1]))

    def forwarder(self, index: int, mode: str) -> "Slot":
        """Return the state with another forwarder."""
        both = list(self.forwarders)
        both[index] = mode
        return self._replace(forwarders=(both[0], both[1]))

    @property
    def tasks(self) -> int:
        """Tasks on the worker."""
        return self.forwarders.count("running") + self.orphans


class Ownership:
    """The steps of the protocol under given rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def steps(self, slot: Slot) -> Iterator[tuple[str, Slot]]:
        """Return grants, releases, recovery and the end of leases."""
        for index in DISPATCHERS:
            yield from self._grant(slot, index)
            yield from self._recover(slot, index)
        for index in FORWARDERS:
            yield from self._use(slot, index)
        if slot.orphans:
            yield "a lease ends", slot._replace(orphans=slot.orphans - 1)
        if slot.offered is not None:
            yield "start-by passes", self._expire(slot)

    def faults(self, slot: Slot) -> Iterator[tuple[str, Slot]]:
        """Return a restart of the dispatcher, a handover and forwarder deaths."""
        if slot.crashes == MAX_CRASHES:
            return
        counted = slot._replace(crashes=slot.crashes + 1)
        for index in DISPATCHERS:
            if slot.dispatchers[index].mode != "off":
                restarted = Dispatcher(
                    "asking" if self.rules.asks_forwarders else "reading"
                )
                yield (
                    f"dispatcher {index} restarts",
                    counted.dispatcher(index, restarted),
                )
        if slot.dispatchers[1].mode == "off":
            yield "the cell changes hands", self._take_over(counted)
        for index in FORWARDERS:
            if slot.forwarders[index] != "dead":
                yield f"forwarder {index} dies", self._die(counted, index)

    def _grant(self, slot: Slot, index: int) -> Iterator[tuple[str, Slot]]:
        dispatcher = slot.dispatchers[index]
        if dispatcher.mode != "granting" or dispatcher.holder != NOBODY:
            return
        for forwarder in FORWARDERS:
            if slot.forwarders[forwarder] == "idle" and slot.offered is None:
                granted = Dispatcher("granting", str(forwarder))
                after = slot.dispatcher(index, granted)
                label = f"dispatcher {index} grants to forwarder {forwarder}"
                yield label, after._replace(offered=(forwarder, index))

    def _expire(self, slot: Slot) -> Slot:
        """Release a grant that came too late, unused."""
        assert slot.offered is not None
        forwarder, _ = slot.offered
        after = slot._replace(offered=None)
        return _release(after, forwarder)

    def _use(self, slot: Slot, index: int) -> Iterator[tuple[str, Slot]]:
        mode = slot.forwarders[index]
        if slot.offered is not None and slot.offered[0] == index and mode == "idle":
            started = slot._replace(offered=None).forwarder(index, "running")
            yield f"forwarder {index} starts its task", started
        if mode == "running":
            yield f"forwarder {index}'s task ends", slot.forwarder(index, "done")
        if mode == "done":
            released = _release(slot.forwarder(index, "idle"), index)
            yield f"forwarder {index} releases", released
        if mode == "dead":
            yield f"forwarder {index} is known to be gone", self._forget(slot, index)

    def _forget(self, slot: Slot, index: int) -> Slot:
        is_leased = self.rules.waits_for_lease and slot.orphans > 0
        if is_leased or not self.rules.frees_dead_forwarders:
            return slot
        return _release(slot.forwarder(index, "idle"), index)

    def _recover(self, slot: Slot, index: int) -> Iterator[tuple[str, Slot]]:
        dispatcher = slot.dispatchers[index]
        if dispatcher.mode == "asking":
            # The wait is longer than start-by: no grant given before is usable.
            if slot.offered is None or not self.rules.voids_late_grants:
                holder = _reported_holder(slot) or dispatcher.holder
                asked = slot.dispatcher(index, Dispatcher("reading", holder))
                yield f"forwarders have reported to dispatcher {index}", asked
        elif dispatcher.mode == "reading":
            yield from self._read_report(slot, index, dispatcher)

    def _read_report(
        self, slot: Slot, index: int, dispatcher: Dispatcher
    ) -> Iterator[tuple[str, Slot]]:
        unknown = dispatcher.holder == NOBODY and slot.tasks > 0
        if unknown and self.rules.reads_task_reports:
            return
        granting = slot.dispatcher(index, Dispatcher("granting", dispatcher.holder))
        yield f"dispatcher {index} has read the worker's report", granting

    def _take_over(self, slot: Slot) -> Slot:
        """Pass the cell on by a handover, or after the old owner's VM is gone."""
        asking = slot.dispatcher(1, Dispatcher("asking"))
        if not self.rules.stops_before_takeover:
            return asking
        return asking.dispatcher(0, Dispatcher("off"))

    def _die(self, slot: Slot, index: int) -> Slot:
        orphans = slot.orphans + (slot.forwarders[index] == "running")
        offered = slot.offered
        if offered is not None and offered[0] == index:
            offered = None
        return slot.forwarder(index, "dead")._replace(orphans=orphans, offered=offered)


def _reported_holder(slot: Slot) -> str | None:
    """Return the living forwarder that holds a grant."""
    for index in FORWARDERS:
        if slot.forwarders[index] in ("running", "done"):
            return str(index)
    return None


def _release(slot: Slot, forwarder: int) -> Slot:
    for index in DISPATCHERS:
        if slot.dispatchers[index].holder == str(forwarder):
            dispatcher = slot.dispatchers[index]._replace(holder=NOBODY)
            slot = slot.dispatcher(index, dispatcher)
    return slot


def _idle_means_idle(slot: Slot) -> bool:
    """Tell whether a dispatcher that reports no outstanding grant is right."""
    return all(
        dispatcher.mode != "granting" or dispatcher.holder != NOBODY or slot.tasks == 0
        for dispatcher in slot.dispatchers
    )


def _has_ended(slot: Slot) -> bool:
    granting = any(
        dispatcher == Dispatcher("granting") for dispatcher in slot.dispatchers
    )
    return granting and slot.forwarders == ("idle", "idle") and not slot.orphans


def build_slots(rules: Rules | None = None) -> minicheck.Protocol:
    """Return the protocol under the dispatcher's rules or a broken variant."""
    ownership = Ownership(rules or Rules())
    return build_protocol(
        "slots",
        Slot(),
        ownership.steps,
        ownership.faults,
        {
            "P7_slot_is_used_once": lambda slot: slot.tasks <= 1,
            "P7_drained_means_idle": _idle_means_idle,
        },
        _has_ended,
    )
