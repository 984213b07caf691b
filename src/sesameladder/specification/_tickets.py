"""Acceptance of numbered tickets with lost responses and competing filers.

Two filers each file a ticket under the next number by a conditional write of the
head. ``sesameladder.tickets`` follows these rules; a state machine in the tests
compares the two step by step.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import minicheck

from sesameladder.specification._protocol import build_protocol

FILERS = (0, 1)
MAX_TICKETS = 2


@dataclass(frozen=True, slots=True)
class TicketRules:
    """The rules that a broken variant leaves out."""

    compares_revision: bool = True
    """The head is written only if it has not changed since the filer read it."""

    settles_lost_responses: bool = True
    """A write without a response is repeated until the head shows its outcome."""


class LogState(NamedTuple):
    """State of the ticket log and the filers."""

    accepted: tuple[int, ...] = ()
    """Filers of the accepted tickets, in the order of their numbers."""

    statuses: tuple[str, str] = ("idle", "idle")
    """For each filer: idle, ready, unsettled, accepted, lost-race or not-filed."""

    numbers_read: tuple[int, int] = (0, 0)
    """Number of accepted tickets when each filer read the head."""

    late_writes: frozenset[tuple[int, int]] = frozenset()
    """Filer and number of writes without response that may still take effect."""

    faults_stopped: bool = False
    """Whether faults have stopped."""

    def with_filer(
        self, filer: int, status: str, number: int | None = None
    ) -> "LogState":
        """Return the state with a new status of a filer; None keeps its number."""
        statuses, numbers = list(self.statuses), list(self.numbers_read)
        statuses[filer] = status
        numbers[filer] = numbers[filer] if number is None else number
        return self._replace(
            statuses=(statuses[0], statuses[1]), numbers_read=(numbers[0], numbers[1])
        )


class TicketProtocol:
    """The steps and faults of the protocol under given rules."""

    def __init__(self, rules: TicketRules) -> None:
        self.rules = rules

    def steps(self, state: LogState) -> Iterator[tuple[str, LogState]]:
        """Return reads and writes of the head, settled outcomes and late writes."""
        for filer in FILERS:
            status, number = state.statuses[filer], state.numbers_read[filer]
            if status == "idle" and len(state.accepted) < MAX_TICKETS:
                read = state.with_filer(filer, "ready", len(state.accepted))
                yield f"filer {filer} reads the head", read
            if status == "ready":
                written = self._apply_write(state, filer, number)
                yield f"filer {filer} writes", _record_outcome(written, filer)
            if status == "unsettled":
                yield f"filer {filer} settles", self._settle_write(state, filer)
        for filer, number in sorted(state.late_writes):
            arrived = state._replace(late_writes=state.late_writes - {(filer, number)})
            arrived = self._apply_write(arrived, filer, number)
            yield f"a late write of filer {filer} arrives", arrived

    def faults(self, state: LogState) -> Iterator[tuple[str, LogState]]:
        """Return writes whose response is lost, with or without immediate effect."""
        for filer in FILERS:
            if state.statuses[filer] == "ready":
                number = state.numbers_read[filer]
                unsettled = state.with_filer(filer, "unsettled")
                without_response = self._apply_write(unsettled, filer, number)
                yield f"filer {filer} writes, response lost", without_response
                late = unsettled._replace(
                    late_writes=state.late_writes | {(filer, number)}
                )
                yield f"filer {filer} writes, write late", late

    def _apply_write(self, state: LogState, filer: int, number: int) -> LogState:
        if len(state.accepted) == number:
            return state._replace(accepted=(*state.accepted, filer))
        if self.rules.compares_revision:
            return state
        return state._replace(accepted=(*state.accepted[:number], filer))

    def _settle_write(self, state: LogState, filer: int) -> LogState:
        if len(state.accepted) > state.numbers_read[filer]:
            return _record_outcome(state, filer)
        if not self.rules.settles_lost_responses:
            return state.with_filer(filer, "not-filed")
        return _record_outcome(
            self._apply_write(state, filer, state.numbers_read[filer]), filer
        )


def _record_outcome(state: LogState, filer: int) -> LogState:
    winner = state.accepted[state.numbers_read[filer]]
    return state.with_filer(filer, "accepted" if winner == filer else "lost-race")


def _accepted_tickets_stay(state: LogState) -> bool:
    return all(
        state.accepted[state.numbers_read[filer] :][:1] == (filer,)
        for filer in FILERS
        if state.statuses[filer] == "accepted"
    )


def _refused_tickets_never_count(state: LogState) -> bool:
    return all(
        filer not in state.accepted
        for filer in FILERS
        if state.statuses[filer] in ("lost-race", "not-filed")
    )


def build_tickets(rules: TicketRules | None = None) -> minicheck.Protocol:
    """Return the protocol with all rules or a broken variant."""
    protocol = TicketProtocol(rules or TicketRules())
    ended = {"accepted", "lost-race", "not-filed"}
    return build_protocol(
        "tickets",
        LogState(),
        protocol.steps,
        protocol.faults,
        {
            "P8_accepted_ticket_stays": _accepted_tickets_stay,
            "P8_refused_ticket_never_counts": _refused_tickets_never_count,
        },
        lambda state: set(state.statuses) <= ended,
    )
