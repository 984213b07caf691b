"""Tests of live peers and of the choice of a witness."""

from typing import Any

import pytest

from sesameladder.entry._membership import Membership
from sesameladder.entry._view import FleetView
from sesameladder.model import PeerIdentity
from sesameladder.peering import Heartbeat

BEYOND_HEARTBEAT_TIMEOUT_S = 10.0


class FakePeers:
    """Peers of an instance that sends no messages."""

    def __init__(self, instance: str) -> None:
        self.identity = PeerIdentity(instance, 1)


class Harness:
    """A membership under a simulated clock."""

    def __init__(self, instance: str = "entry-0") -> None:
        self.now = 0.0
        self.restarted: list[PeerIdentity] = []
        untyped_peers: Any = FakePeers(instance)
        self.membership = Membership(
            untyped_peers, FleetView("r"), untyped_peers, "a", lambda: self.now,
            self.restarted.append,
        )  # fmt: skip

    def receive_heartbeat(
        self,
        instance: str,
        zone: str = "a",
        draining: bool = False,
        incarnation: int = 1,
    ) -> None:
        heartbeat = Heartbeat(zone, 1, 1, draining, False, 0)
        self.membership.record_heartbeat(PeerIdentity(instance, incarnation), heartbeat)


@pytest.mark.parametrize(
    ("zone", "draining", "age_s", "chosen"),
    [
        ("a", False, 0.0, True),
        ("b", False, 0.0, False),
        ("a", True, 0.0, False),
        ("a", False, BEYOND_HEARTBEAT_TIMEOUT_S, False),
    ],
)
def test_witness_is_a_live_peer_of_the_zone(
    zone: str, draining: bool, age_s: float, chosen: bool
) -> None:
    """Guards against tokens whose witness can't be reached.

    A witness in another zone is unreachable during a network partition.
    """
    harness = Harness()
    harness.receive_heartbeat("entry-1", zone, draining)
    harness.now += age_s
    assert (harness.membership.choose_zone_peer() is not None) is chosen


def test_witnesses_are_spread_over_the_zone() -> None:
    """Guards against one instance that is the witness for a whole zone."""
    names = [f"entry-{index}" for index in range(15)]
    chosen = set()
    for name in names:
        harness = Harness(name)
        for other in names:
            if other != name:
                harness.receive_heartbeat(other)
        peer = harness.membership.choose_zone_peer()
        assert peer is not None
        chosen.add(peer.instance)
    assert len(chosen) > len(names) // 3


def test_new_incarnation_is_reported_once_and_old_ones_are_ignored() -> None:
    """Guards against slots that a process holds after its instance restarted.

    Late heartbeats of the earlier incarnation must not count as a restart.
    """
    harness = Harness()
    for incarnation in (1, 1, 2, 2, 1):
        harness.receive_heartbeat("entry-1", incarnation=incarnation)
    assert harness.restarted == [PeerIdentity("entry-1", 2)]
    live = harness.membership.find_live_peer("entry-1")
    assert live is not None
    assert live.identity.incarnation == 2
