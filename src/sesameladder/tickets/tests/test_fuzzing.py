"""Arbitrary bytes and store values are rejected or read back unchanged."""

import json
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameladder.model import FleetState
from sesameladder.tickets import (
    StateMalformed,
    Ticket,
    TicketInvalid,
    TicketLogCorrupt,
    apply_ticket,
    check_ticket,
    decode_state,
    encode_state,
    parse_ticket,
)
from sesameladder.tickets.tests.samples import (
    FIRST_TICKET,
    create_filled_log,
    create_log,
    create_store,
    parse_ticket_document,
)

FIXED_SETTINGS = settings(max_examples=300, derandomize=True, deadline=None)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELD_PATHS = [
    ("pools", "caps", "service"),
    ("pools", "caps"),
    ("vms", "w1", "zone"),
    ("vms", "w1", "slots"),
    ("vms", "w1", "address"),
    ("budgets", "caps", "min_available"),
    ("teams", "fitters", "share_cap"),
    ("teams",),
    ("reason",),
    ("number",),
]


@FIXED_SETTINGS
@given(st.binary(max_size=200))
def test_any_bytes(raw) -> None:
    """Guards against bytes that raise anything but ``TicketInvalid``."""
    assert_round_trip(raw)


@FIXED_SETTINGS
@given(st.sampled_from(FIELD_PATHS), JSON_VALUES)
def test_any_value_in_a_field(path, value) -> None:
    """Guards against values that are accepted but change when stored."""
    document = json.loads(json.dumps(FIRST_TICKET))
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    assert_round_trip(json.dumps(document).encode())


@FIXED_SETTINGS
@given(st.integers(0, 10**6), st.binary(min_size=1, max_size=4))
def test_damaged_ticket(position, noise) -> None:
    """Guards against damaged tickets that raise anything but ``TicketInvalid``."""
    raw = bytearray(parse_ticket_document(FIRST_TICKET).to_bytes())
    start = position % len(raw)
    raw[start : start + len(noise)] = noise
    assert_round_trip(bytes(raw))


@FIXED_SETTINGS
@given(st.integers(0, 10**6), st.binary(min_size=1, max_size=4))
def test_damaged_state(position, noise) -> None:
    """Guards against a damaged snapshot that decodes to another state."""
    state = apply_ticket(FleetState(), parse_ticket_document(FIRST_TICKET))
    raw = bytearray(encode_state(state))
    start = position % len(raw)
    raw[start : start + len(noise)] = noise
    with suppress(StateMalformed):
        assert decode_state(bytes(raw)) == state


@FIXED_SETTINGS
@given(
    st.sampled_from(["config/head", "config/tickets/1", "config/compacted"]),
    st.binary(max_size=60) | JSON_VALUES.map(lambda value: json.dumps(value).encode()),
)
def test_malformed_store_values(key, value) -> None:
    """Guards against store values that raise anything but ``TicketLogCorrupt``."""
    store = create_store()
    create_filled_log(2, store)
    entry = store.entries.get(key)
    store.compare_and_swap(key, entry.revision if entry else 0, value)
    log = create_log(store)
    with suppress(TicketLogCorrupt):
        assert log.load_state().number == 2
        log.compact()


def assert_round_trip(raw: bytes) -> None:
    try:
        ticket = parse_ticket(raw)
    except TicketInvalid as error:
        assert error.problems
        return
    assert Ticket.from_bytes(ticket.to_bytes()) == ticket
    problems = check_ticket(FleetState(), ticket)
    state = apply_ticket(FleetState(), ticket)
    assert problems or decode_state(encode_state(state)) == state
