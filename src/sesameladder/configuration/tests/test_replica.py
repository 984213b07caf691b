"""The replica's number never decreases, whatever it is offered."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameladder.configuration import (
    Applied,
    ConfigurationReplica,
    Conflicting,
    Gap,
    Malformed,
    Stale,
)
from sesameladder.model import FleetState
from sesameladder.tickets import apply_ticket, encode_state
from sesameladder.tickets.tests.samples import (
    FIRST_TICKET,
    build_small_ticket,
    parse_ticket_document,
)

TICKET_COUNT = 12
TICKETS = [parse_ticket_document(FIRST_TICKET)] + [
    build_small_ticket(n) for n in range(2, TICKET_COUNT + 1)
]
STATES = [FleetState()]
for _ticket in TICKETS:
    STATES.append(apply_ticket(STATES[-1], _ticket))
SNAPSHOTS = [encode_state(state) for state in STATES]
CONFLICTING_TICKET = build_small_ticket(3, author="ines")


def create_replica(number: int) -> ConfigurationReplica:
    replica = ConfigurationReplica()
    for ticket in TICKETS[:number]:
        assert isinstance(
            replica.offer_ticket(ticket.number, ticket, ticket.digest), Applied
        )
    return replica


OFFERS = [
    ("next", lambda r: r.offer_ticket(5, TICKETS[4], TICKETS[4].digest), Applied(5)),
    ("old", lambda r: r.offer_ticket(2, TICKETS[1], TICKETS[1].digest), Stale(4)),
    ("ahead", lambda r: r.offer_ticket(7, TICKETS[6], TICKETS[6].digest), Gap(5)),
    (
        "other old",
        lambda r: r.offer_ticket(3, CONFLICTING_TICKET, CONFLICTING_TICKET.digest),
        Conflicting,
    ),
    (
        "wrong digest",
        lambda r: r.offer_ticket(5, TICKETS[4], CONFLICTING_TICKET.digest),
        Conflicting,
    ),
    (
        "wrong number",
        lambda r: r.offer_ticket(5, TICKETS[5], TICKETS[5].digest),
        Conflicting,
    ),
    ("bad bytes", lambda r: r.offer_bytes(5, b"{", "x"), Malformed),
    ("old snapshot", lambda r: r.offer_snapshot(4, SNAPSHOTS[4]), Stale(4)),
    ("snapshot", lambda r: r.offer_snapshot(9, SNAPSHOTS[9]), Applied(9)),
    ("mislabelled", lambda r: r.offer_snapshot(10, SNAPSHOTS[9]), Conflicting),
    ("cut snapshot", lambda r: r.offer_snapshot(9, SNAPSHOTS[9][:-3]), Malformed),
    ("no snapshot", lambda r: r.offer_snapshot(9, b""), Malformed),
]


@pytest.mark.parametrize(("name", "offer", "expected"), OFFERS)
def test_offer(name, offer, expected) -> None:
    """Guards against applying old, malformed or contradictory offers."""
    replica = create_replica(4)
    before = replica.dump()
    outcome = offer(replica)
    if isinstance(expected, type):
        assert isinstance(outcome, expected)
    else:
        assert outcome == expected
    if not isinstance(outcome, Applied):
        assert replica.dump() == before
        assert replica.state == STATES[4]


OFFER_STEPS = st.tuples(
    st.sampled_from(["ticket", "snapshot", "bytes", "damaged", "mixed"]),
    st.integers(1, TICKET_COUNT),
    st.integers(0, 2**16),
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(OFFER_STEPS, max_size=40))
def test_number_never_decreases(steps) -> None:
    """Guards against sequences of offers that lower the number or damage the state."""
    replica = ConfigurationReplica()
    for kind, number, noise in steps:
        before = replica.number
        make_offer(replica, kind, number, random.Random(noise))
        assert replica.number >= before
        assert replica.state == STATES[replica.number]
        kept = replica.tickets_after(max(0, replica.number - 3))
        assert (
            kept is None
            or [t.number for t in kept][-1:] == [replica.number][: len(kept)]
        )


def make_offer(replica, kind, number, noise) -> None:
    ticket = TICKETS[number - 1]
    if kind == "ticket":
        replica.offer_ticket(number, ticket, ticket.digest)
    elif kind == "snapshot":
        replica.offer_snapshot(number, SNAPSHOTS[number])
    elif kind == "bytes":
        replica.offer_bytes(number, ticket.to_bytes(), ticket.digest)
    elif kind == "damaged":
        raw = bytearray(ticket.to_bytes())
        raw[noise.randrange(len(raw))] = noise.randrange(256)
        replica.offer_bytes(number, bytes(raw), ticket.digest)
        state = bytearray(SNAPSHOTS[number])
        state[noise.randrange(len(state))] ^= noise.randrange(1, 256)
        replica.offer_snapshot(number, bytes(state))
    else:
        other = TICKETS[noise.randrange(TICKET_COUNT)]
        replica.offer_ticket(number, other, ticket.digest)
        replica.offer_snapshot(number, SNAPSHOTS[other.number])
