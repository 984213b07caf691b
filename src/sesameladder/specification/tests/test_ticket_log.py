"""Files tickets in the ticket log along random steps of the protocol of ``_tickets``.

Guards against a log whose accepted tickets or outcomes differ from the protocol
when filers compete and responses of the store are lost or writes are delayed.
"""

import json

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sesameladder.environment import FakeStore, StoreOutcomeUnknown
from sesameladder.specification._tickets import (
    MAX_TICKETS,
    LogState,
    TicketProtocol,
    TicketRules,
)
from sesameladder.tickets import (
    Accepted,
    AlreadyAccepted,
    FilingOutcome,
    LostRace,
    NotFiled,
    Ticket,
    TicketLog,
    parse_ticket,
)

HEAD_KEY = "config/head"
STATUS_BY_OUTCOME = {
    Accepted: "accepted",
    AlreadyAccepted: "accepted",
    LostRace: "lost-race",
    NotFiled: "not-filed",
}


class RacingStore(FakeStore):
    """A store that calls a function before the next write of the head and fails it.

    ``fault`` is none, lost (the response is lost) or late (the write is delayed).
    """

    def __init__(self) -> None:
        super().__init__(clock=lambda: 0.0)
        self.before_write = None
        self.fault = "none"
        self.late_writes: list[tuple] = []

    def compare_and_swap(self, key, expected_revision, value, lease=None):
        if key != HEAD_KEY:
            return super().compare_and_swap(key, expected_revision, value, lease)
        before_write, fault = self.before_write, self.fault
        self.before_write, self.fault = None, "none"
        if before_write is not None:
            before_write()
        if fault == "late":
            self.late_writes.append((key, expected_revision, value, lease))
            raise StoreOutcomeUnknown("the script delays this write")
        outcome = super().compare_and_swap(key, expected_revision, value, lease)
        if fault == "lost":
            raise StoreOutcomeUnknown("the script drops the response")
        return outcome


def build_ticket(filer: int, number: int) -> Ticket:
    """Return a ticket that names its filer as the author."""
    return parse_ticket(
        f'{{"number": {number}, "author": "{filer}", "reason": "r",'
        f' "teams": {{"t": {{"weight": 1}}}}}}'.encode()
    )


class TicketLogMachine(RuleBasedStateMachine):
    """Files tickets in the log and takes the same steps in the protocol."""

    def __init__(self) -> None:
        super().__init__()
        self.store = RacingStore()
        self.log = TicketLog(self.store, pause=lambda seconds: None)
        self.protocol = TicketProtocol(TicketRules())
        self.state = LogState()
        self.outcomes: dict[int, FilingOutcome] = {}

    def take_step(self, label: str) -> None:
        """Take the protocol's step with a label; fails if it is not possible."""
        enabled = [
            *self.protocol.steps(self.state),
            *self.protocol.faults(self.state),
        ]
        self.state = dict(enabled)[label]

    def file_ticket(self, filer: int, fault: str, before_write=None) -> None:
        """File a ticket; ``before_write`` is called between its read and its write."""
        ticket = build_ticket(filer, len(self.state.accepted) + 1)
        self.take_step(f"filer {filer} reads the head")

        def write_head() -> None:
            if before_write is not None:
                before_write()
            if fault == "none":
                self.take_step(f"filer {filer} writes")
            else:
                effect = "response lost" if fault == "lost" else "write late"
                self.take_step(f"filer {filer} writes, {effect}")

        self.store.before_write, self.store.fault = write_head, fault
        self.outcomes[filer] = self.log.file_ticket(ticket)
        if self.state.statuses[filer] == "unsettled":
            self.take_step(f"filer {filer} settles")

    @precondition(lambda self: "idle" in self.state.statuses)
    @rule(
        faults=st.tuples(*[st.sampled_from(["none", "lost", "late"])] * 2),
        races=st.booleans(),
        data=st.data(),
    )
    def file_tickets(self, faults, races, data) -> None:
        idle = [
            candidate
            for candidate in (0, 1)
            if self.state.statuses[candidate] == "idle"
        ]
        filer = data.draw(st.sampled_from(idle))
        if len(self.state.accepted) == MAX_TICKETS:
            return
        if races and len(idle) == 2:
            other = 1 - filer
            self.file_ticket(
                filer, faults[0], lambda: self.file_ticket(other, faults[1])
            )
        else:
            self.file_ticket(filer, faults[0])

    @precondition(lambda self: self.store.late_writes)
    @rule()
    def late_write_arrives(self) -> None:
        key, revision, value, lease = self.store.late_writes.pop(0)
        filer = json.loads(value)["ticket"]["author"]
        self.take_step(f"a late write of filer {filer} arrives")
        FakeStore.compare_and_swap(self.store, key, revision, value, lease)

    @rule()
    def read_head(self) -> None:
        assert self.log.read_head().number == len(self.state.accepted)

    @invariant()
    def log_equals_protocol(self) -> None:
        """Guards against accepted tickets that differ from those of the protocol."""
        authors = [ticket.author for ticket in self.log.list_history(1, MAX_TICKETS)]
        assert authors == [str(filer) for filer in self.state.accepted]

    @invariant()
    def outcomes_equal_protocol(self) -> None:
        """Guards against an outcome that differs from that of the protocol."""
        for filer, outcome in self.outcomes.items():
            assert STATUS_BY_OUTCOME[type(outcome)] == self.state.statuses[filer]


TestTicketLog = TicketLogMachine.TestCase
TestTicketLog.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=8,
    phases=[Phase.generate],
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
