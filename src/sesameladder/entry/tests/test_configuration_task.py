"""Tests that configuration, plan and VM list are replaced only by newer ones."""

import json
from concurrent.futures import Future
from typing import Any

import pytest

from sesameladder.entry._configuration_messages import (
    PlanRead,
    RelayRoleChanged,
    TicketsRead,
    VmListRead,
)
from sesameladder.entry._configuration_task import ConfigurationTask
from sesameladder.entry._task_messages import PeerMessage
from sesameladder.entry._view import FleetView
from sesameladder.environment import VmState, VmStatus
from sesameladder.model import PeerIdentity
from sesameladder.observability import Metrics
from sesameladder.peering import (
    Heartbeat,
    Message,
    PeerAddress,
    PlanUpdate,
    PullConfiguration,
    PullPlan,
    TicketItem,
    Tickets,
    VmItem,
    VmListUpdate,
)
from sesameladder.planning import RegionPlan
from sesameladder.tickets import Ticket, parse_ticket

FAR_FUTURE_MS = 10**15
SENDER = PeerIdentity("entry-2", 9)


class FakePeers:
    """Records one-way messages and requests."""

    def __init__(self) -> None:
        self.identity = PeerIdentity("entry-1", 1)
        zones = {"entry-1": "a", "entry-2": "a", "entry-3": "b"}
        self.addresses = {
            name: PeerAddress(name, zone, "x") for name, zone in zones.items()
        }
        self.sent: list[tuple[str, Message]] = []
        self.requested: list[Message] = []

    def send(self, instance: str, message: Message) -> None:
        self.sent.append((instance, message))

    def request(self, instance: str, message: Message) -> "Future[Message]":
        self.requested.append(message)
        return Future()


class Harness:
    """A configuration task without a thread."""

    def __init__(self) -> None:
        self.peers = FakePeers()
        self.view = FleetView("north")
        peers: Any = self.peers
        self.task = ConfigurationTask(
            peers, self.view, "a", lambda: 100.0, Metrics(None)
        )

    def handle(self, message: Any) -> None:
        self.task._handle(message)
        self.task._pull_if_behind()

    def receive_from_peer(self, message: Message) -> list[Message]:
        replies: list[Message] = []
        self.handle(PeerMessage(SENDER, message, replies.append))
        return replies


@pytest.fixture
def harness() -> Harness:
    return Harness()


def make_ticket(number: int) -> Ticket:
    content = {
        "number": number,
        "author": "a",
        "reason": "r",
        "teams": {"t": {"weight": number}},
    }
    return parse_ticket(json.dumps(content).encode())


def build_tickets_message(ticket: Ticket) -> Tickets:
    return Tickets((TicketItem(ticket.number, ticket.digest, ticket.to_bytes()),))


def make_plan(version: int, region: str = "north") -> bytes:
    return RegionPlan(region, version).to_bytes()


def test_configuration_number_never_decreases(harness: Harness) -> None:
    """Guards against a configuration that reverts when an old ticket arrives late."""
    first, second = make_ticket(1), make_ticket(2)
    harness.handle(TicketsRead((first, second)))
    harness.receive_from_peer(build_tickets_message(first))
    assert harness.view.state.number == 2


@pytest.mark.parametrize(
    ("offers", "version"),
    [
        ([make_plan(3), make_plan(2)], 3),
        ([make_plan(2), make_plan(3)], 3),
        ([make_plan(2), b"garbage"], 2),
        ([make_plan(2), make_plan(9, "south")], 2),
    ],
)
def test_plan_version_never_decreases(
    harness: Harness, offers: list[bytes], version: int
) -> None:
    """Guards against a plan that is old, malformed or of another region."""
    for data in offers:
        harness.receive_from_peer(PlanUpdate("north", 0, data))
    assert harness.view.plan is not None
    assert harness.view.plan.version == version


def test_newer_configuration_and_plan_of_a_peer_are_pulled(harness: Harness) -> None:
    """Guards against an instance that keeps an old state after a lost push."""
    harness.receive_from_peer(Heartbeat("a", 5, 4, False, False, 0))
    assert PullConfiguration(0) in harness.peers.requested
    assert PullPlan("north", 0) in harness.peers.requested


def test_pull_is_answered_with_the_missing_tickets(harness: Harness) -> None:
    """Guards against a restarted instance that gets no state from its peers."""
    harness.handle(TicketsRead((make_ticket(1), make_ticket(2))))
    harness.handle(PlanRead(make_plan(3)))
    (answer,) = harness.receive_from_peer(PullConfiguration(1))
    assert isinstance(answer, Tickets)
    assert [item.number for item in answer.items] == [2]
    assert harness.receive_from_peer(PullPlan("north", 3)) == [
        PlanUpdate("north", 3, b"")
    ]


@pytest.mark.parametrize(("relay", "receivers"), [(False, []), (True, ["entry-2"])])
def test_only_the_relay_pushes(
    harness: Harness, relay: bool, receivers: list[str]
) -> None:
    """Guards against each instance sending each plan to all others."""
    harness.handle(RelayRoleChanged(relay))
    harness.handle(PlanRead(make_plan(1)))
    pushed = [
        receiver
        for receiver, message in harness.peers.sent
        if isinstance(message, PlanUpdate)
    ]
    assert pushed == receivers


def test_vm_list_of_a_relay_with_a_slow_clock_is_applied(harness: Harness) -> None:
    """Guards against a VM list that is ignored after a change of relay.

    The sequence comes from the relay's clock, which may be behind the previous
    relay's clock.
    """
    item = VmItem("vm-1", "a", "leaving", 1.0)
    harness.receive_from_peer(VmListUpdate(FAR_FUTURE_MS, (item,)))
    rows = (VmStatus("vm-1", "a", VmState.GONE, 2.0),)
    harness.handle(VmListRead(rows))
    assert harness.view.vm_states == {"vm-1": VmState.GONE}


def test_malformed_vm_list_changes_nothing(harness: Harness) -> None:
    """Guards against an unknown VM state from a peer that stops the task."""
    harness.receive_from_peer(VmListUpdate(5, (VmItem("vm-1", "a", "melted", 1.0),)))
    assert harness.view.vm_states == {}
