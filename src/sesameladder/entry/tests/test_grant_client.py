"""Tests of the order of zones, polls and refusals when acquiring a slot."""

from collections.abc import Callable
from typing import Any

import pytest

from sesameladder.dispatch import OutcomeKind
from sesameladder.entry._grant_client import AttemptHistory, GrantClient, NoGrant
from sesameladder.entry._held_grants import HeldGrant, HeldGrants
from sesameladder.entry._request import CallerRequest, build_request
from sesameladder.entry._view import FleetView
from sesameladder.observability import Metrics
from sesameladder.peering import (
    DemandCancel,
    GrantAnswer,
    GrantPoll,
    GrantRelease,
    Message,
    PeerOutcomeUnknown,
    PeerUnreachable,
)
from sesameladder.planning import DispatcherRow, RegionPlan

GRANTED = GrantAnswer("granted", "d", "g-1", "vm-1", "r", "10.0.0.1:80")
WAITING = GrantAnswer("waiting", "d")
QUEUE_FULL = GrantAnswer("refused", "d", reason="queue_full", retry_after_s=2.0)
NEVER_RUNS = GrantAnswer("refused", "d", reason="never_runs", retry_after_s=9.0)
DEADLINE_S = 10.0

Script = dict[str, list[Message | Exception]]


class FakePeers:
    """Answers polls from a script; each call takes ``call_s`` seconds."""

    def __init__(self, script: Script, call_s: float) -> None:
        self.script = script
        self.call_s = call_s
        self.now = 0.0
        self.polled: list[str] = []
        self.sent: list[Message] = []

    def call(self, instance: str, message: Message, timeout: float) -> Message:
        assert isinstance(message, GrantPoll)
        self.now += self.call_s
        self.polled.append(instance)
        answer = self.script[instance].pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def send(self, instance: str, message: Message) -> None:
        self.sent.append(message)


def make_client(
    script: Script, call_s: float = 0.1
) -> tuple[GrantClient, FakePeers, Callable[[], HeldGrant | NoGrant]]:
    peers = FakePeers(script, call_s)
    view = FleetView("north")
    rows = {
        f"p/{zone}": DispatcherRow("p", zone, f"entry-{zone}") for zone in ("a", "b")
    }
    view.plan = RegionPlan("north", 1, dispatchers=rows)
    untyped_peers: Any = peers
    client = GrantClient(
        untyped_peers, view, HeldGrants(), ["a", "b"], lambda: peers.now, Metrics(None)
    )
    return (
        client,
        peers,
        lambda: client.acquire(make_request(), AttemptHistory(), DEADLINE_S),
    )


def make_request() -> CallerRequest:
    return build_request("r", "GET", "/pools/p/", [], b"", 1_000.0)


@pytest.mark.parametrize(
    ("script", "polled", "granted"),
    [
        ({"entry-a": [GRANTED]}, ["entry-a"], True),
        ({"entry-a": [WAITING, GRANTED]}, ["entry-a", "entry-a"], True),
        ({"entry-a": [QUEUE_FULL], "entry-b": [GRANTED]}, ["entry-a", "entry-b"], True),
        (
            {"entry-a": [PeerUnreachable("a")], "entry-b": [GRANTED]},
            ["entry-a", "entry-b"],
            True,
        ),
        (
            {"entry-a": [QUEUE_FULL], "entry-b": [QUEUE_FULL]},
            ["entry-a", "entry-b"],
            False,
        ),
        ({"entry-a": [NEVER_RUNS]}, ["entry-a"], False),
    ],
)
def test_own_zone_is_asked_before_other_zones(
    script: Script, polled: list[str], granted: bool
) -> None:
    """Guards against a request that is refused while another zone has a free slot."""
    _, peers, acquire = make_client(script)
    assert isinstance(acquire(), HeldGrant) is granted
    assert peers.polled == polled


@pytest.mark.parametrize("error", [PeerUnreachable("a"), PeerOutcomeUnknown("a")])
def test_unanswered_poll_is_cancelled_and_its_zone_is_tried_last(
    error: Exception,
) -> None:
    """Guards against an unused grant and a second wait for the same dispatcher.

    The dispatcher may have granted a slot although its answer was lost.
    """
    script: Script = {"entry-a": [error], "entry-b": [GRANTED, GRANTED]}
    client, peers, acquire = make_client(script)
    acquire()
    assert [type(message) for message in peers.sent] == [DemandCancel]
    acquire()
    assert peers.polled == ["entry-a", "entry-b", "entry-b"]
    assert client.held_grants.waiting_demands == {}


def test_late_grant_is_returned_unused() -> None:
    """Guards against work on a slot that may already be granted again."""
    _, peers, acquire = make_client(
        {"entry-a": [GRANTED], "entry-b": [QUEUE_FULL]}, 1.5
    )
    assert isinstance(acquire(), NoGrant)
    (release,) = peers.sent
    assert isinstance(release, GrantRelease)
    assert release.outcome == OutcomeKind.UNUSED.value


def test_deadline_ends_the_wait() -> None:
    """Guards against requests that wait beyond their deadline."""
    _, peers, acquire = make_client({"entry-a": [WAITING] * 30}, 0.5)
    assert isinstance(acquire(), NoGrant)
    assert peers.now <= DEADLINE_S
    assert isinstance(peers.sent[-1], DemandCancel)


def test_resumed_work_keeps_its_demand_id() -> None:
    """Guards against resumed work that the dispatcher queues as new work."""
    client, _, _ = make_client({"entry-a": [GRANTED]})
    history = AttemptHistory(resumed_demand="d-old")
    client.held_grants.start_waiting("other", "p", "a")
    assert isinstance(client.acquire(make_request(), history, DEADLINE_S), HeldGrant)
    assert set(client.held_grants.waiting_demands) == {"other"}
