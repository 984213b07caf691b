"""The relay rules bound messages and bytes, the poll schedule bounds store reads."""

import random

import pytest

from sesameladder.configuration import (
    ConfigurationReplica,
    PollSchedule,
    Pull,
    RateLimited,
    RelayRules,
    SendSnapshot,
    SendTickets,
)
from sesameladder.configuration._poll import MAX_BACKOFF_S
from sesameladder.configuration._recent import MAX_RECENT_TICKETS
from sesameladder.tickets.tests.samples import (
    FIRST_TICKET,
    build_small_ticket,
    parse_ticket_document,
)

ZONES = [f"z{n:02}" for n in range(12)]
ZONE_BY_INSTANCE = {f"{zone}-{n}": zone for zone in ZONES for n in range(15)}


class Clock:
    def __init__(self) -> None:
        self.seconds = 100.0

    def __call__(self) -> float:
        return self.seconds


def create_rules(clock: Clock, relay: bool = False) -> RelayRules:
    rules = RelayRules("z00-0", "z00", ZONE_BY_INSTANCE, clock)
    rules.is_relay = relay
    return rules


def create_replica(count: int) -> ConfigurationReplica:
    replica = ConfigurationReplica()
    for number in range(1, count + 1):
        ticket = (
            parse_ticket_document(FIRST_TICKET)
            if number == 1
            else build_small_ticket(number)
        )
        replica.offer_ticket(number, ticket, ticket.digest)
    return replica


@pytest.mark.parametrize(
    ("relay", "zone_peers", "remote_peers"), [(False, 12, 4), (True, 14, 1)]
)
def test_heartbeats_are_bounded(relay, zone_peers, remote_peers) -> None:
    """Guards against sending too many heartbeats, or any to the own instance."""
    peers = create_rules(Clock(), relay).choose_heartbeat_peers()
    assert len(peers) == len(set(peers)) == zone_peers + remote_peers
    assert sum(ZONE_BY_INSTANCE[peer] == "z00" for peer in peers) == zone_peers
    assert "z00-0" not in peers


def test_relay_reaches_every_instance() -> None:
    """Guards against relays of two zones that never learn of each other.

    A relay that is not known is found by heartbeats to all instances in turn.
    """
    clock = Clock()
    rules = create_rules(clock, relay=True)
    reached = set()
    for _ in range(400):
        reached.update(rules.choose_heartbeat_peers())
        clock.seconds += 1.0
    assert reached == set(ZONE_BY_INSTANCE) - {"z00-0"}


def test_known_relay_is_preferred_until_timeout() -> None:
    """Guards against announcements to a relay whose heartbeats have stopped."""
    clock = Clock()
    rules = create_rules(clock, relay=True)
    rules.record_heartbeat("z04-3", "z04", 4, True)
    assert "z04-3" in rules.choose_announce_peers(5)
    assert "z04-3" not in rules.choose_announce_peers(4)
    clock.seconds += 31.0
    assert rules.find_relay("z04") is None
    assert len(rules.choose_announce_peers(5)) == 4 * 2


@pytest.mark.parametrize(
    "lost_zones", [{}, {"z01", "z02", "z08"}, {"z04", "z05", "z06"}]
)
def test_announcements_reach_all_zones(lost_zones) -> None:
    """Guards against zones that get no announcement while three are unreachable."""
    informed_zones, pending_zones = {"z00"}, ["z00"]
    while pending_zones:
        zone = pending_zones.pop()
        rules = RelayRules(f"{zone}-0", zone, ZONE_BY_INSTANCE, Clock())
        rules.is_relay = True
        for peer in rules.choose_announce_peers(5):
            if ZONE_BY_INSTANCE[peer] not in informed_zones | set(lost_zones):
                informed_zones.add(ZONE_BY_INSTANCE[peer])
                pending_zones.append(ZONE_BY_INSTANCE[peer])
    assert informed_zones == set(ZONES) - set(lost_zones)


def test_push_reaches_the_zone_in_two_steps() -> None:
    """Guards against instances to which neither the relay nor a peer sends."""
    clock = Clock()
    replica = create_replica(3)
    members = [f"z00-{n}" for n in range(15)]
    pushed = create_rules(clock, relay=True).choose_pushes(replica)
    reached = [peer for peer, _ in pushed]
    assert len(reached) == 7
    for member in list(reached):
        rules = RelayRules(member, "z00", ZONE_BY_INSTANCE, clock)
        rules.record_heartbeat("z00-0", "z00", 2, True)
        reached += [peer for peer, _ in rules.choose_pushes(replica)]
    assert sorted(reached) == sorted(members[1:])


def test_push_skips_peers_that_have_the_ticket() -> None:
    """Guards against sending a ticket to peers that already have it."""
    rules = create_rules(Clock(), relay=True)
    replica = create_replica(3)
    first = rules.choose_pushes(replica)[0][0]
    rules.record_heartbeat(first, "z00", 3, False)
    assert first not in [peer for peer, _ in rules.choose_pushes(replica)]


def test_instance_announces_number_to_its_relay() -> None:
    """Guards against a zone that misses a number because its relay missed it."""
    rules = create_rules(Clock())
    assert rules.choose_announce_peers(3) == []
    rules.record_heartbeat("z00-7", "z00", 2, True)
    assert rules.choose_announce_peers(3) == ["z00-7"]
    assert rules.choose_announce_peers(2) == []


def test_one_pull_at_a_time_prefers_the_zone() -> None:
    """Guards against a transfer for each heartbeat with a higher number."""
    clock = Clock()
    rules = create_rules(clock)
    assert rules.choose_pull(2) is None
    rules.record_heartbeat("z03-1", "z03", 3, True)
    rules.record_heartbeat("z00-4", "z00", 3, False)
    assert rules.choose_pull(2) == Pull("z00-4", 2)
    assert rules.choose_pull(2) is None
    clock.seconds += 0.6
    assert rules.choose_pull(2) == Pull("z00-4", 2)
    rules.end_pull()
    assert rules.choose_pull(3) is None


def test_late_heartbeat_does_not_lower_a_number() -> None:
    """Guards against repeated transfers when heartbeats arrive out of order."""
    rules = create_rules(Clock())
    rules.record_heartbeat("z00-1", "z00", 5, False)
    rules.record_heartbeat("z00-1", "z00", 4, False)
    assert rules.peers["z00-1"].number == 5
    rules.record_restart("z00-1")
    rules.record_heartbeat("z00-1", "z00", 0, False)
    assert rules.peers["z00-1"].number == 0


def test_pull_is_answered_within_the_rate_limit() -> None:
    """Guards against responses to pulls that exceed the byte rate limit."""
    clock = Clock()
    rules = create_rules(clock)
    replica = create_replica(MAX_RECENT_TICKETS + 5)
    answer = rules.answer_pull(replica.number - 2, replica)
    assert isinstance(answer, SendTickets)
    assert [item.number for item in answer.tickets] == [260, 261]
    assert rules.answer_pull(replica.number, replica) == SendTickets(())
    snapshot = rules.answer_pull(3, replica)
    assert isinstance(snapshot, SendSnapshot)
    lagging = create_replica(3)
    lagging.offer_snapshot(snapshot.number, snapshot.state_bytes, snapshot.digest)
    assert (lagging.number, lagging.digest) == (replica.number, replica.digest)
    assert lagging.state == replica.state
    rules.rate_limiter.available_bytes = 0.0
    assert isinstance(rules.answer_pull(3, replica), RateLimited)
    assert isinstance(rules.answer_pull(replica.number - 2, replica), RateLimited)
    clock.seconds += 60.0
    assert isinstance(rules.answer_pull(3, replica), SendSnapshot)


def test_polls_start_with_jitter_after_relay_timeout() -> None:
    """Guards against polls while a relay is alive, and against simultaneous polls."""
    due_times = set()
    for seed in range(20):
        clock = Clock()
        schedule = PollSchedule(clock, random.Random(seed))
        for _ in range(10):
            schedule.record_relay_seen()
            clock.seconds += 1.0
            assert not schedule.is_due()
        schedule.record_relay_seen()
        assert 1.25 <= schedule.due_at - clock.seconds <= 1.75
        due_times.add(round(schedule.due_at, 3))
    assert len(due_times) > 15


def test_backoff_while_the_store_is_down() -> None:
    """Guards against polls that overload a failed store, or that never resume."""
    clock = Clock()
    schedule = PollSchedule(clock, random.Random(1))
    pauses = []
    for _ in range(12):
        clock.seconds = schedule.due_at
        schedule.record_failure()
        pauses.append(schedule.due_at - clock.seconds)
    assert pauses[0] <= 1.5
    assert all(
        MAX_BACKOFF_S / 2 <= pause <= MAX_BACKOFF_S * 1.5 for pause in pauses[4:]
    )
    clock.seconds = schedule.due_at
    schedule.record_success()
    assert schedule.due_at - clock.seconds <= 0.75
