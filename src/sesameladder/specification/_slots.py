"""Grants of one worker slot by the dispatchers of its cell.

Two dispatchers own the cell one after the other, and two forwarders use its
grants. Faults are restarts of a dispatcher, a change of the cell's owner, and
crashes of a forwarder, whose task runs on until its lease expires.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import minicheck

from sesameladder.specification._protocol import build_protocol

DISPATCHERS = (0, 1)
FORWARDERS = (0, 1)
NO_HOLDER = "nobody"
MAX_FAULTS = 3


@dataclass(frozen=True, slots=True)
class SlotRules:
    """The rules that a broken variant leaves out."""

    asks_forwarders: bool = True
    """A restarted dispatcher grants only after forwarders report their grants."""

    waits_for_unknown_tasks: bool = True
    """After a dispatcher's start, unknown tasks on the worker occupy its slot."""

    waits_for_lease: bool = True
    """The slot of a crashed forwarder is freed only after the task's lease expired."""

    frees_slots_of_gone_forwarders: bool = True
    """The slot of a crashed forwarder is freed at some point."""

    voids_expired_grants: bool = True
    """A forwarder does not use a grant that has expired."""

    stops_before_takeover: bool = True
    """A cell gets a new owner only after its previous owner stopped granting."""


class DispatcherState(NamedTuple):
    """Mode of a dispatcher and the holder of the slot that it knows of."""

    mode: str
    """off, asking, reading or granting.

    A dispatcher that starts first asks the forwarders for their grants, then reads
    the worker's report of running tasks, and grants the slot after that.
    """

    holder: str = NO_HOLDER
    """Number of the forwarder that holds the slot, or ``NO_HOLDER``."""


class SlotState(NamedTuple):
    """State of the slot, its dispatchers and its forwarders."""

    dispatchers: tuple[DispatcherState, DispatcherState] = (
        DispatcherState("granting"),
        DispatcherState("off"),
    )
    """The first owner of the cell and its successor."""

    grant_in_transit: tuple[int, int] | None = None
    """Forwarder and dispatcher of a grant that was sent but not used yet."""

    forwarders: tuple[str, str] = ("idle", "idle")
    """For each forwarder: idle, running, done (slot not released) or crashed."""

    orphaned_tasks: int = 0
    """Number of running tasks whose forwarder has crashed."""

    fault_count: int = 0
    """Number of restarts, changes of owner and crashes so far."""

    faults_stopped: bool = False
    """Whether faults have stopped."""

    def with_dispatcher(self, index: int, dispatcher: DispatcherState) -> "SlotState":
        """Return the state with one dispatcher replaced."""
        dispatchers = list(self.dispatchers)
        dispatchers[index] = dispatcher
        return self._replace(dispatchers=(dispatchers[0], dispatchers[1]))

    def with_forwarder(self, index: int, status: str) -> "SlotState":
        """Return the state with a new status of one forwarder."""
        forwarders = list(self.forwarders)
        forwarders[index] = status
        return self._replace(forwarders=(forwarders[0], forwarders[1]))

    @property
    def running_tasks(self) -> int:
        """Number of tasks that run on the worker."""
        return self.forwarders.count("running") + self.orphaned_tasks


class SlotProtocol:
    """The steps and faults of the protocol under given rules."""

    def __init__(self, rules: SlotRules) -> None:
        self.rules = rules

    def steps(self, state: SlotState) -> Iterator[tuple[str, SlotState]]:
        """Return the steps of grants, releases and recovery, and the ends of leases."""
        for index in DISPATCHERS:
            yield from self._list_grant_steps(state, index)
            yield from self._list_recovery_steps(state, index)
        for index in FORWARDERS:
            yield from self._list_forwarder_steps(state, index)
        if state.orphaned_tasks:
            yield (
                "a lease ends",
                state._replace(orphaned_tasks=state.orphaned_tasks - 1),
            )
        if state.grant_in_transit is not None:
            yield "the grant expires", self._expire_grant(state)

    def faults(self, state: SlotState) -> Iterator[tuple[str, SlotState]]:
        """Return restarts of dispatchers, a change of owner and forwarder crashes."""
        if state.fault_count == MAX_FAULTS:
            return
        after_fault = state._replace(fault_count=state.fault_count + 1)
        for index in DISPATCHERS:
            if state.dispatchers[index].mode != "off":
                restarted = DispatcherState(
                    "asking" if self.rules.asks_forwarders else "reading"
                )
                yield (
                    f"dispatcher {index} restarts",
                    after_fault.with_dispatcher(index, restarted),
                )
        if state.dispatchers[1].mode == "off":
            yield "the cell gets a new owner", self._change_owner(after_fault)
        for index in FORWARDERS:
            if state.forwarders[index] != "crashed":
                yield (
                    f"forwarder {index} crashes",
                    self._crash_forwarder(after_fault, index),
                )

    def _list_grant_steps(
        self, state: SlotState, index: int
    ) -> Iterator[tuple[str, SlotState]]:
        dispatcher = state.dispatchers[index]
        if dispatcher.mode != "granting" or dispatcher.holder != NO_HOLDER:
            return
        for forwarder in FORWARDERS:
            if state.forwarders[forwarder] == "idle" and state.grant_in_transit is None:
                granted = DispatcherState("granting", str(forwarder))
                after = state.with_dispatcher(index, granted)
                label = f"dispatcher {index} grants to forwarder {forwarder}"
                yield label, after._replace(grant_in_transit=(forwarder, index))

    def _expire_grant(self, state: SlotState) -> SlotState:
        """Release the slot of a grant that expired unused."""
        assert state.grant_in_transit is not None
        forwarder, _ = state.grant_in_transit
        after = state._replace(grant_in_transit=None)
        return _release_slot(after, forwarder)

    def _list_forwarder_steps(
        self, state: SlotState, index: int
    ) -> Iterator[tuple[str, SlotState]]:
        status = state.forwarders[index]
        if (
            state.grant_in_transit is not None
            and state.grant_in_transit[0] == index
            and status == "idle"
        ):
            started = state._replace(grant_in_transit=None).with_forwarder(
                index, "running"
            )
            yield f"forwarder {index} starts its task", started
        if status == "running":
            yield f"forwarder {index}'s task ends", state.with_forwarder(index, "done")
        if status == "done":
            released = _release_slot(state.with_forwarder(index, "idle"), index)
            yield f"forwarder {index} releases", released
        if status == "crashed":
            yield (
                f"forwarder {index} is known to be gone",
                self._mark_forwarder_gone(state, index),
            )

    def _mark_forwarder_gone(self, state: SlotState, index: int) -> SlotState:
        has_lease = self.rules.waits_for_lease and state.orphaned_tasks > 0
        if has_lease or not self.rules.frees_slots_of_gone_forwarders:
            return state
        return _release_slot(state.with_forwarder(index, "idle"), index)

    def _list_recovery_steps(
        self, state: SlotState, index: int
    ) -> Iterator[tuple[str, SlotState]]:
        dispatcher = state.dispatchers[index]
        if dispatcher.mode == "asking":
            # Forwarders are asked for longer than a grant stays usable, so every
            # earlier grant is in use or has expired.
            if state.grant_in_transit is None or not self.rules.voids_expired_grants:
                holder = _find_reported_holder(state) or dispatcher.holder
                reading = state.with_dispatcher(
                    index, DispatcherState("reading", holder)
                )
                yield f"forwarders have reported to dispatcher {index}", reading
        elif dispatcher.mode == "reading":
            yield from self._list_report_steps(state, index, dispatcher)

    def _list_report_steps(
        self, state: SlotState, index: int, dispatcher: DispatcherState
    ) -> Iterator[tuple[str, SlotState]]:
        has_unknown_tasks = dispatcher.holder == NO_HOLDER and state.running_tasks > 0
        if has_unknown_tasks and self.rules.waits_for_unknown_tasks:
            return
        granting = state.with_dispatcher(
            index, DispatcherState("granting", dispatcher.holder)
        )
        yield f"dispatcher {index} has read the worker's report", granting

    def _change_owner(self, state: SlotState) -> SlotState:
        """Change the owner by a handover, or after the previous owner's VM is gone."""
        taken_over = state.with_dispatcher(1, DispatcherState("asking"))
        if not self.rules.stops_before_takeover:
            return taken_over
        return taken_over.with_dispatcher(0, DispatcherState("off"))

    def _crash_forwarder(self, state: SlotState, index: int) -> SlotState:
        orphaned_tasks = state.orphaned_tasks + (state.forwarders[index] == "running")
        grant_in_transit = state.grant_in_transit
        if grant_in_transit is not None and grant_in_transit[0] == index:
            grant_in_transit = None
        return state.with_forwarder(index, "crashed")._replace(
            orphaned_tasks=orphaned_tasks, grant_in_transit=grant_in_transit
        )


def _find_reported_holder(state: SlotState) -> str | None:
    """Return the forwarder that reports a grant as in use; None if none does."""
    for index in FORWARDERS:
        if state.forwarders[index] in ("running", "done"):
            return str(index)
    return None


def _release_slot(state: SlotState, forwarder: int) -> SlotState:
    for index in DISPATCHERS:
        if state.dispatchers[index].holder == str(forwarder):
            dispatcher = state.dispatchers[index]._replace(holder=NO_HOLDER)
            state = state.with_dispatcher(index, dispatcher)
    return state


def _drained_means_idle(state: SlotState) -> bool:
    """Return whether no task runs while a granting dispatcher knows of no holder.

    Such a dispatcher reports the VM as drained, and the planner may stop it.
    """
    return all(
        dispatcher.mode != "granting"
        or dispatcher.holder != NO_HOLDER
        or state.running_tasks == 0
        for dispatcher in state.dispatchers
    )


def _is_goal(state: SlotState) -> bool:
    """Return whether the slot is free and a dispatcher can grant it."""
    granting = any(
        dispatcher == DispatcherState("granting") for dispatcher in state.dispatchers
    )
    return (
        granting and state.forwarders == ("idle", "idle") and not state.orphaned_tasks
    )


def build_slots(rules: SlotRules | None = None) -> minicheck.Protocol:
    """Return the protocol with all rules or a broken variant."""
    protocol = SlotProtocol(rules or SlotRules())
    return build_protocol(
        "slots",
        SlotState(),
        protocol.steps,
        protocol.faults,
        {
            "P7_slot_is_used_once": lambda state: state.running_tasks <= 1,
            "P7_drained_means_idle": _drained_means_idle,
        },
        _is_goal,
    )
