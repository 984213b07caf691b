"""Tests of the dispatch task: ownership of cells, repeated polls, lost messages."""

from random import Random
from typing import Any

import pytest

from sesameladder.entry._dispatch_messages import GrantsReported, ViewChanged
from sesameladder.entry._dispatch_task import DispatchTask
from sesameladder.entry._task_messages import PeerMessage
from sesameladder.entry._view import FleetView
from sesameladder.entry.tests.fakes import InlineExecutor
from sesameladder.environment import TaskReport, VmState
from sesameladder.model import FleetState, PeerIdentity, Pool, VirtualMachine
from sesameladder.observability import Metrics
from sesameladder.peering import (
    CellQuery,
    CellReports,
    DemandCancel,
    GrantAnswer,
    GrantItem,
    GrantList,
    GrantPoll,
    GrantRelease,
    HandOverAnswer,
    HandOverRequest,
    Message,
    PeerUnreachable,
)
from sesameladder.planning import DispatcherRow, Phase, RegionPlan, VmRow

OWN = "entry-1"
FORWARDER = PeerIdentity("entry-2", 5)
LEASE_S = 3.0


class FakePeers:
    """Answers calls from a table; other instances are unreachable."""

    def __init__(self) -> None:
        self.identity = PeerIdentity(OWN, 1)
        self.addresses: dict[str, object] = {}
        self.answers: dict[str, Message] = {}
        self.sent: list[tuple[str, Message]] = []

    def send(self, instance: str, message: Message) -> None:
        self.sent.append((instance, message))

    def call(self, instance: str, message: Message, timeout: float) -> Message:
        if instance not in self.answers:
            raise PeerUnreachable(instance)
        return self.answers[instance]


class FakeTasks:
    """Reports no running tasks."""

    def list_tasks(self, address: str) -> list[TaskReport]:
        return []


class Harness:
    """A dispatch task without a thread, under a simulated clock."""

    def __init__(self, row: DispatcherRow) -> None:
        self.now = 0.0
        self.peers = FakePeers()
        self.view = FleetView("north")
        peers: Any = self.peers
        tasks: Any = FakeTasks()
        self.task = DispatchTask(
            peers, self.view, tasks, lambda: self.now, Random(1), Metrics(None)
        )
        executor: Any = InlineExecutor()
        self.task.executor = executor
        self.set_plan(row)

    def set_plan(self, row: DispatcherRow, phase: Phase = Phase.SERVING) -> None:
        vm = VirtualMachine("vm-1", "p", "z", "r", "10.0.0.1:80", slots=1)
        self.view.state = FleetState(1, {"p": Pool("p", "p")}, {"vm-1": vm})
        rows = {"vm-1": VmRow("vm-1", "p", phase, 0.0)}
        version = (self.view.plan.version if self.view.plan else 0) + 1
        self.view.plan = RegionPlan("north", version, 1, 1, rows, {"p/z": row})
        self.task.post(ViewChanged())
        self.step()

    def step(self, until: float | None = None) -> None:
        self.now = until if until is not None else self.now
        for _ in range(3):
            while not self.task.inbox.empty():
                self.task._handle(self.task.inbox.get())
            self.task._advance()

    def ask(self, message: Message) -> list[Message]:
        replies: list[Message] = []
        self.task.post(PeerMessage(FORWARDER, message, replies.append))
        self.step()
        return replies

    def poll(self, demand_id: str, epoch: int = 1) -> list[Message]:
        return self.ask(
            GrantPoll(
                "p", "z", epoch, demand_id, "", "k", False, True, 1, 0.0, False,
                60_000.0, (), (), False,
            )
        )  # fmt: skip

    def recover(self) -> None:
        for _ in range(40):
            self.step(self.now + 0.1)

    def outstanding(self) -> int:
        return self.task.cells["p/z"].dispatcher.slots_in_use("vm-1")


@pytest.fixture
def owner() -> Harness:
    harness = Harness(DispatcherRow("p", "z", OWN))
    harness.recover()
    return harness


def test_nothing_is_granted_before_the_recovery() -> None:
    """Guards against a new dispatcher that grants slots which are still in use.

    Until its recovery has ended, it doesn't know the earlier grants.
    """
    harness = Harness(DispatcherRow("p", "z", OWN))
    assert harness.poll("d-1") == []
    harness.step(1.0)
    assert harness.outstanding() == 0


def test_repeated_poll_gets_the_same_grant(owner: Harness) -> None:
    """Guards against a second slot for one demand.

    A forwarder polls again if the answer with its grant was lost.
    """
    first = owner.poll("d-1")
    assert isinstance(first[0], GrantAnswer)
    assert first[0].status == "granted"
    assert owner.poll("d-1") == first
    assert owner.outstanding() == 1


def test_waiting_demand_is_answered_and_then_cancelled(owner: Harness) -> None:
    """Guards against demands that wait after their forwarder stopped polling."""
    owner.poll("d-1")
    waiting = owner.poll("d-2")
    assert waiting == []
    owner.step(owner.now + 0.6)
    assert waiting == [GrantAnswer("waiting", "d-2")]
    owner.step(owner.now + 2.5)
    assert "d-2" not in owner.task.cells["p/z"].polls


def test_released_slot_goes_to_the_next_demand(owner: Harness) -> None:
    """Guards against a slot that is not granted again after its release.

    A repeated release must not free the slot of the next demand.
    """
    (granted,) = owner.poll("d-1")
    assert isinstance(granted, GrantAnswer)
    answers = owner.poll("d-2")
    owner.ask(GrantRelease("p", "z", granted.grant_id, "succeeded", 5.0))
    assert [a.status for a in answers if isinstance(a, GrantAnswer)] == ["granted"]
    owner.ask(GrantRelease("p", "z", granted.grant_id, "succeeded", 5.0))
    assert owner.outstanding() == 1


def test_cancel_returns_a_granted_slot(owner: Harness) -> None:
    """Guards against a slot that stays occupied after its demand was cancelled."""
    owner.poll("d-1")
    owner.ask(DemandCancel("p", "z", "d-1"))
    assert owner.outstanding() == 0


@pytest.mark.parametrize(
    ("held", "demands", "outstanding"),
    [(True, (), 1), (False, ("d-1",), 1), (False, (), 0)],
)
def test_slot_is_freed_after_a_lost_release(
    owner: Harness, held: bool, demands: tuple[str, ...], outstanding: int
) -> None:
    """Guards against a slot that stays occupied because its release was lost.

    A slot whose grant the forwarder holds, or whose demand still waits, is kept.
    """
    (granted,) = owner.poll("d-1")
    assert isinstance(granted, GrantAnswer)
    item = GrantItem(granted.grant_id, "vm-1", "k", "", "d-1", False, False, 10.0)
    report = GrantsReported(
        "p/z",
        1,
        FORWARDER,
        (item,) if held else (),
        demands,
        frozenset({granted.grant_id}),
    )
    owner.task.post(report)
    owner.step()
    assert owner.outstanding() == outstanding


def test_slot_of_a_restarted_forwarder_is_freed_after_one_lease(owner: Harness) -> None:
    """Guards against a second task on a slot whose old task may still run.

    The task of the earlier incarnation runs until its lease expires.
    """
    (granted,) = owner.poll("d-1")
    assert isinstance(granted, GrantAnswer)
    new_incarnation = PeerIdentity(FORWARDER.instance, FORWARDER.incarnation + 1)
    asked = frozenset({granted.grant_id})
    owner.task.post(GrantsReported("p/z", 1, new_incarnation, (), (), asked))
    owner.step()
    assert owner.outstanding() == 1
    owner.step(owner.now + LEASE_S)
    assert owner.outstanding() == 0
    assert owner.task.cells["p/z"].grant_holders == {}


@pytest.mark.parametrize(("epoch", "is_owner"), [(1, True), (2, False)])
def test_poll_of_a_newer_epoch_ends_ownership(
    owner: Harness, epoch: int, is_owner: bool
) -> None:
    """Guards against two owners that grant the slots of one cell.

    A poll with a newer epoch shows the previous owner that its plan is old.
    """
    (answer,) = owner.poll("d-1", epoch)
    assert isinstance(answer, GrantAnswer)
    assert (answer.status == "granted") is is_owner
    assert ("p/z" in owner.task.cells) is is_owner


def test_poll_of_an_older_epoch_is_refused() -> None:
    """Guards against a grant to a forwarder that has an old plan."""
    harness = Harness(DispatcherRow("p", "z", OWN, epoch=3))
    harness.recover()
    (answer,) = harness.poll("d-1", 2)
    assert isinstance(answer, GrantAnswer)
    assert answer.status == "refused"


@pytest.mark.parametrize(
    ("previous_owner_gone", "answer", "grants"),
    [
        (True, None, True),
        (False, HandOverAnswer(True), True),
        (False, HandOverAnswer(False), False),
        (False, None, False),
    ],
)
def test_new_owner_waits_for_the_previous_one(
    previous_owner_gone: bool, answer: Message | None, grants: bool
) -> None:
    """Guards against two dispatchers of one cell while its owner changes.

    The new owner grants only after the previous one has confirmed or is gone.
    """
    row = DispatcherRow("p", "z", OWN, "entry-9", previous_owner_gone, 2)
    harness = Harness(DispatcherRow("p", "z", "entry-9"))
    if answer is not None:
        harness.peers.answers["entry-9"] = answer
    harness.set_plan(row)
    harness.recover()
    answers = harness.poll("d-1", 2)
    granted = [a for a in answers if isinstance(a, GrantAnswer) and a.grant_id]
    assert bool(granted) is grants


def test_new_owner_starts_when_the_plan_marks_the_previous_one_as_gone() -> None:
    """Guards against a cell without a dispatcher.

    This happens if the previous owner fails before it confirms the hand-over.
    """
    harness = Harness(DispatcherRow("p", "z", "entry-9"))
    harness.set_plan(DispatcherRow("p", "z", OWN, "entry-9", False, 2))
    harness.recover()
    assert harness.poll("d-1", 2) == []
    harness.set_plan(DispatcherRow("p", "z", OWN, "entry-9", True, 2))
    harness.recover()
    (answer,) = harness.poll("d-1", 2)
    assert isinstance(answer, GrantAnswer)
    assert answer.status == "granted"


def test_previous_owner_confirms_only_after_it_stopped(owner: Harness) -> None:
    """Guards against an owner that confirms a hand-over and still grants."""
    request = HandOverRequest("p", "z", 1, 1)
    assert owner.ask(request) == [HandOverAnswer(False)]
    assert owner.ask(HandOverRequest("p", "z", 2, 2)) == [HandOverAnswer(True)]
    assert "p/z" not in owner.task.cells
    owner.set_plan(DispatcherRow("p", "z", OWN))
    assert "p/z" not in owner.task.cells


@pytest.mark.parametrize(
    ("phase", "listed_state", "grants"),
    [
        (Phase.SERVING, None, True),
        (Phase.LEAVING, None, False),
        (Phase.SERVING, VmState.LEAVING, False),
        (Phase.SERVING, VmState.GONE, False),
    ],
)
def test_leaving_vm_gets_no_grant(
    owner: Harness, phase: Phase, listed_state: VmState | None, grants: bool
) -> None:
    """Guards against a grant on a VM that the plan or the VM list shows as leaving."""
    owner.view.vm_states = {"vm-1": listed_state} if listed_state else {}
    owner.set_plan(DispatcherRow("p", "z", OWN), phase)
    answers = owner.poll("d-1")
    granted = [a for a in answers if isinstance(a, GrantAnswer) and a.grant_id]
    assert bool(granted) is grants


def test_report_names_version_and_outstanding_grants(owner: Harness) -> None:
    """Guards against a reboot of a VM with outstanding grants.

    The planner decides this by the report's plan version and grant counts.
    """
    owner.poll("d-1")
    (reports,) = owner.ask(CellQuery(("z",)))
    assert isinstance(reports, CellReports)
    (report,) = reports.items
    assert report.plan_version == 1
    assert [(vm.vm, vm.outstanding) for vm in report.vms] == [("vm-1", 1)]


def test_ticket_changes_the_limits_of_a_running_cell(owner: Harness) -> None:
    """Guards against pool limits that take effect only after a restart."""
    owner.poll("d-1")
    assert owner.poll("d-2") == []
    vms = owner.view.state.vms
    pool = Pool("p", "p", queue_limit=1)
    owner.view.state = FleetState(2, {"p": pool}, vms)
    owner.task.post(ViewChanged())
    (answer,) = owner.poll("d-3")
    assert isinstance(answer, GrantAnswer)
    assert answer.reason == "queue_full"


def test_recovery_adopts_grants_of_forwarders() -> None:
    """Guards against a slot that a new dispatcher grants a second time.

    It learns the earlier grants from the forwarders during its recovery.
    """
    harness = Harness(DispatcherRow("p", "z", "entry-9"))
    item = GrantItem("g-old", "vm-1", "k", "", "d-old", False, False, 10.0)
    harness.peers.addresses = {"entry-2": object()}
    harness.peers.answers["entry-2"] = GrantList(True, 5, (item,), ())
    harness.set_plan(DispatcherRow("p", "z", OWN, epoch=2))
    harness.recover()
    assert harness.poll("d-1", 2) == []
    assert harness.outstanding() == 1
