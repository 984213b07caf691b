"""Who is live in a zone, and who is chosen as a witness."""

from typing import Any

import pytest

from sesameladder.entry._membership import Membership
from sesameladder.entry._view import FleetView
from sesameladder.model import PeerIdentity
from sesameladder.peering import Heartbeat

SILENT_S = 10.0


class FakePeers:
    """An instance that sends nothing."""

    def __init__(self, instance: str) -> None:
        self.identity = PeerIdentity(instance, 1)


class Harness:
    """A membership under a simulated clock."""

    def __init__(self, instance: str = "entry-0") -> None:
        self.now = 0.0
        self.restarted: list[PeerIdentity] = []
        anything: Any = FakePeers(instance)
        self.membership = Membership(
            anything, FleetView("r"), anything, "a", lambda: self.now,
            self.restarted.append,
        )  # fmt: skip

    def hear(
        self, instance: str, zone: str = "a", draining: bool = False, life: int = 1
    ) -> None:
        heartbeat = Heartbeat(zone, 1, 1, draining, False, 0)
        self.membership.note(PeerIdentity(instance, life), heartbeat)


@pytest.mark.parametrize(
    ("zone", "draining", "age_s", "chosen"),
    [
        ("a", False, 0.0, True),
        ("b", False, 0.0, False),
        ("a", True, 0.0, False),
        ("a", False, SILENT_S, False),
    ],
)
def test_witness_is_a_live_peer_of_the_zone(
    zone: str, draining: bool, age_s: float, chosen: bool
) -> None:
    """Guards against tokens whose witness can't be reached in a cut off zone."""
    harness = Harness()
    harness.hear("entry-1", zone, draining)
    harness.now += age_s
    assert (harness.membership.choose_zone_peer() is not None) is chosen


def test_witnesses_are_spread_over_the_zone() -> None:
    """Guards against one instance that is the witness of a whole zone."""
    names = [f"entry-{index}" for index in range(15)]
    chosen = set()
    for name in names:
        harness = Harness(name)
        for other in names:
            if other != name:
                harness.hear(other)
        peer = harness.membership.choose_zone_peer()
        assert peer is not None
        chosen.add(peer.instance)
    assert len(chosen) > len(names) // 3


def test_new_incarnation_is_reported_once_and_old_ones_are_ignored() -> None:
    """Guards against slots that stay held by a process that is gone."""
    harness = Harness()
    for life in (1, 1, 2, 2, 1):
        harness.hear("entry-1", life=life)
    assert harness.restarted == [PeerIdentity("entry-1", 2)]
    live = harness.membership.find_live("entry-1")
    assert live is not None
    assert live.identity.incarnation == 2
