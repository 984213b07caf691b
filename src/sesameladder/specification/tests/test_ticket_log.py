"""The ticket log does what the protocol of tickets allows, step by step."""

import json

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sesameladder.environment import FakeStore, StoreOutcomeUnknown
from sesameladder.specification._tickets import NUMBERS, Acceptance, Filing, Rules
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
WORDS = {
    Accepted: "accepted",
    AlreadyAccepted: "accepted",
    LostRace: "lost-race",
    NotFiled: "not-filed",
}


class RacedStore(FakeStore):
    """Runs an action before the next write of the head, then faults it."""

    def __init__(self) -> None:
        super().__init__(now=lambda: 0.0)
        self.before = None
        self.fault = "none"
        self.late: list[tuple] = []

    def compare_and_swap(self, key, expected_revision, value, lease=None):
        if key != HEAD_KEY:
            return super().compare_and_swap(key, expected_revision, value, lease)
        before, fault = self.before, self.fault
        self.before, self.fault = None, "none"
        if before is not None:
            before()
        if fault == "late":
            self.late.append((key, expected_revision, value, lease))
            raise StoreOutcomeUnknown("scripted")
        outcome = super().compare_and_swap(key, expected_revision, value, lease)
        if fault == "lost":
            raise StoreOutcomeUnknown("scripted")
        return outcome


def build_ticket(filer: int, number: int) -> Ticket:
    """Return a ticket that names its filer as the author."""
    return parse_ticket(
        f'{{"number": {number}, "author": "{filer}", "reason": "r",'
        f' "teams": {{"t": {{"weight": 1}}}}}}'.encode()
    )


class TicketLogMachine(RuleBasedStateMachine):
    """Files tickets in the real log and in the protocol at the same time."""

    def __init__(self) -> None:
        super().__init__()
        self.store = RacedStore()
        self.log = TicketLog(self.store, pause=lambda seconds: None)
        self.protocol = Acceptance(Rules())
        self.state = Filing()
        self.outcomes: dict[int, FilingOutcome] = {}

    def take(self, label: str) -> None:
        """Take the protocol's step with a label; it has to be possible."""
        enabled = [
            *self.protocol.steps(self.state),
            *self.protocol.faults(self.state),
        ]
        self.state = dict(enabled)[label]

    def file(self, filer: int, fault: str, before=None) -> None:
        """File a ticket; ``before`` happens between its read and its write."""
        ticket = build_ticket(filer, len(self.state.accepted) + 1)
        self.take(f"filer {filer} reads the head")

        def write() -> None:
            if before is not None:
                before()
            if fault == "none":
                self.take(f"filer {filer} writes")
            else:
                word = "answer lost" if fault == "lost" else "write late"
                self.take(f"filer {filer} writes, {word}")

        self.store.before, self.store.fault = write, fault
        self.outcomes[filer] = self.log.file_ticket(ticket)
        if self.state.doing[filer] == "unsure":
            self.take(f"filer {filer} settles")

    @precondition(lambda self: "idle" in self.state.doing)
    @rule(
        faults=st.tuples(*[st.sampled_from(["none", "lost", "late"])] * 2),
        races=st.booleans(),
        data=st.data(),
    )
    def file_tickets(self, faults, races, data) -> None:
        idle = [f for f in (0, 1) if self.state.doing[f] == "idle"]
        filer = data.draw(st.sampled_from(idle))
        if len(self.state.accepted) == NUMBERS:
            return
        if races and len(idle) == 2:
            other = 1 - filer
            self.file(filer, faults[0], lambda: self.file(other, faults[1]))
        else:
            self.file(filer, faults[0])

    @precondition(lambda self: self.store.late)
    @rule()
    def late_write_arrives(self) -> None:
        key, revision, value, lease = self.store.late.pop(0)
        filer = json.loads(value)["ticket"]["author"]
        self.take(f"a late write of filer {filer} arrives")
        FakeStore.compare_and_swap(self.store, key, revision, value, lease)

    @rule()
    def read_head(self) -> None:
        assert self.log.read_head().number == len(self.state.accepted)

    @invariant()
    def log_equals_protocol(self) -> None:
        """Guards against a ticket that is accepted or lost unlike in the model."""
        authors = [ticket.author for ticket in self.log.list_history(1, NUMBERS)]
        assert authors == [str(filer) for filer in self.state.accepted]

    @invariant()
    def outcomes_equal_protocol(self) -> None:
        """Guards against a filer that is told something else than in the model."""
        for filer, outcome in self.outcomes.items():
            assert WORDS[type(outcome)] == self.state.doing[filer]


TestTicketLog = TicketLogMachine.TestCase
TestTicketLog.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=8,
    phases=[Phase.generate],
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
