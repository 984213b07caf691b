"""Invalid tickets are rejected with path, value and what is accepted."""

import json

import pytest

from sesameladder.tickets import (
    MAX_TICKET_BYTES,
    Accepted,
    Rejected,
    TicketInvalid,
    parse_ticket,
)
from sesameladder.tickets.tests.samples import (
    build_ticket_document,
    create_filled_log,
    create_store,
    parse_ticket_document,
)

NEW_VM = {"pool": "caps", "zone": "b", "rack": "b1", "address": "10.0.1.1:8080"}
WAVE = {"pools": ["caps"], "start_s": 1000, "deadline_s": 90000}
BUDGET = {"min_available": 4, "max_unavailable": 2}


def remove_key(document: dict, key: str) -> dict:
    return {name: value for name, value in document.items() if name != key}


# Each row: sections of ticket 2, path of the problem, part of its value, part of its
# accepted text.
INVALID_DOCUMENTS = [
    ({"pool": {}}, "pool", "unknown key", "'pools' may be meant"),
    ({"vms": {"x": {**NEW_VM, "size": 3}}}, "vms.x.size", "unknown key", "slots"),
    ({"vms": {"x": remove_key(NEW_VM, "zone")}}, "vms.x.zone", "nothing", "zone"),
    ({"vms": {"x": remove_key(NEW_VM, "rack")}}, "vms.x.rack", "nothing", "rack"),
    ({"vms": {"x": {**NEW_VM, "zone": ""}}}, "vms.x.zone", '""', "zone"),
    ({"vms": {"x": {**NEW_VM, "slots": "8"}}}, "vms.x.slots", '"8"', "whole number"),
    ({"vms": {"x": {**NEW_VM, "slots": 8.0}}}, "vms.x.slots", "8.0", "whole number"),
    ({"vms": {"x": {**NEW_VM, "slots": True}}}, "vms.x.slots", "true", "whole"),
    ({"vms": {"x": {**NEW_VM, "slots": 0}}}, "vms.x.slots", "0", "from 1"),
    (
        {"vms": {"x": {**NEW_VM, "address": "worker-1:80"}}},
        "vms.x.address",
        "worker-1",
        "IP number",
    ),
    (
        {"vms": {"x": {**NEW_VM, "address": "10.0.1.1"}}},
        "vms.x.address",
        "10.0.1.1",
        "port",
    ),
    (
        {"vms": {"x": {**NEW_VM, "address": "10.0.1.1:99999"}}},
        "vms.x.address",
        "99999",
        "port",
    ),
    ({"vms": {"a b": NEW_VM}}, "vms.a b", '"a b"', "letters"),
    ({"vms": [NEW_VM]}, "vms", "[{", "an object of VMs"),
    ({"vms": {"x": 5}}, "vms.x", "5", "or null to remove"),
    (
        {"pools": {"p": {"service": "p", "wait_limit": "10s"}}},
        "pools.p.wait_limit",
        "unknown key",
        "'wait_limit_ms' may be meant",
    ),
    (
        {"pools": {"p": {"service": "p", "wait_limit_ms": 10}}},
        "pools.p.wait_limit_ms",
        "10",
        "milliseconds",
    ),
    ({"pools": {"p": {}}}, "pools.p.service", "nothing", "service"),
    (
        {"budgets": {"caps": {**BUDGET, "min_available": "80%"}}},
        "budgets.caps.min_available",
        '"80%"',
        "not a share",
    ),
    (
        {"budgets": {"caps": {**BUDGET, "max_unavailable": 0.2}}},
        "budgets.caps.max_unavailable",
        "0.2",
        "not a share",
    ),
    (
        {"budgets": {"caps": {**BUDGET, "survive": "row"}}},
        "budgets.caps.survive",
        '"row"',
        '"rack" or "zone"',
    ),
    ({"teams": {"t": {}}}, "teams.t.weight", "nothing", "quota weight"),
    (
        {"teams": {"t": {"weight": 1, "share_cap": 50}}},
        "teams.t.share_cap",
        "50",
        "not a percentage",
    ),
    (
        {"maintenance": {"m": {**WAVE, "start_s": 1764840000000}}},
        "maintenance.m.start_s",
        "1764840000000",
        "not milliseconds",
    ),
    (
        {"maintenance": {"m": {**WAVE, "deadline_s": "2026-12-05"}}},
        "maintenance.m.deadline_s",
        "2026-12-05",
        "seconds since",
    ),
    ({"maintenance": {"m": {**WAVE, "pools": []}}}, "maintenance.m.pools", "[]", "at"),
    ({"author": ""}, "author", '""', "1 to 200"),
    ({"number": "2"}, "number", '"2"', "next number"),
    ({"number": 0}, "number", "0", "from 1"),
]


@pytest.mark.parametrize(("sections", "path", "value", "accepted"), INVALID_DOCUMENTS)
def test_invalid_document_is_rejected(sections, path, value, accepted) -> None:
    """Guards against accepting wrong types, unknown keys and wrong units."""
    document = {"number": 2, "author": "mara", "reason": "change", **sections}
    with pytest.raises(TicketInvalid) as caught:
        parse_ticket_document(document)
    problems = {problem.path: problem for problem in caught.value.problems}
    assert value in problems[path].value
    assert accepted in problems[path].accepted


INVALID_ON_STATE = [
    ({"number": 4}, "number", "4", "the next number, 2"),
    ({}, "ticket", "no change", "at least one object"),
    ({"vms": {"x": {**NEW_VM, "pool": "nix"}}}, "vms.x.pool", "nix", "caps, desk"),
    ({"budgets": {"nix": BUDGET}}, "budgets.nix", "nix", "caps, desk"),
    (
        {"maintenance": {"m": {**WAVE, "pools": ["caps", "nix"]}}},
        "maintenance.m.pools.1",
        "nix",
        "caps, desk",
    ),
    ({"vms": {"w99": None}}, "vms.w99", "null", "what exists"),
    ({"pools": {"caps": None}}, "pools.caps", "in use", "moves or removes"),
    (
        {"vms": {"x": {**NEW_VM, "address": "10.0.0.1:8080"}}},
        "vms.x.address",
        "VM w0",
        "no other VM",
    ),
    (
        {"vms": {"x": {**NEW_VM, "rack": "a1"}}},
        "vms.x.rack",
        "zone b",
        "zone a",
    ),
    (
        {"budgets": {"caps": {"min_available": 7, "max_unavailable": 2}}},
        "budgets.caps.min_available",
        "6 VMs",
        "at most 6",
    ),
    (
        {"budgets": {"caps": {"min_available": 4, "max_unavailable": 7}}},
        "budgets.caps.max_unavailable",
        "6 VMs",
        "at most 6",
    ),
    (
        {"vms": {"w0": None, "w1": None, "w2": None}},
        "budgets.caps.min_available",
        "3 VMs",
        "at least 4",
    ),
    (
        {"maintenance": {"m": {**WAVE, "deadline_s": 2799}}},
        "maintenance.m.deadline_s",
        "3 steps of reboot_limit_s 600 s, 1800 s",
        "2800",
    ),
    (
        {"maintenance": {"m": {**WAVE, "deadline_s": 4599, "concurrency": 1}}},
        "maintenance.m.deadline_s",
        "6 steps",
        "4600",
    ),
    (
        {"maintenance": {"m": {**WAVE, "deadline_s": 1000}}},
        "maintenance.m.deadline_s",
        "start_s 1000",
        "after start_s",
    ),
    (
        {"maintenance": {"m": {**WAVE, "pools": ["caps", "caps"]}}},
        "maintenance.m.pools",
        "caps, caps",
        "once",
    ),
    (
        {
            "budgets": {"caps": {"min_available": 6, "max_unavailable": 2}},
            "maintenance": {"m": WAVE},
        },
        "maintenance.m.pools",
        "lets no VM stop",
        "at least one VM",
    ),
    (
        {"budgets": {"caps": None}, "maintenance": {"m": WAVE}},
        "maintenance.m.pools",
        "without a budget",
        "budgets.caps",
    ),
]


@pytest.mark.parametrize(("sections", "path", "value", "accepted"), INVALID_ON_STATE)
def test_ticket_that_contradicts_state_is_rejected(
    sections, path, value, accepted
) -> None:
    """Guards against accepting tickets that contradict the state or a budget."""
    store = create_store()
    log = create_filled_log(1, store)
    before = dict(store.entries)
    document = {"number": 2, "author": "mara", "reason": "change", **sections}
    outcome = log.file_ticket(parse_ticket_document(document))
    assert isinstance(outcome, Rejected)
    problems = {problem.path: problem for problem in outcome.problems}
    assert value in problems[path].value
    assert accepted in problems[path].accepted
    assert store.entries == before


INVALID_BYTES = [
    (b"", "no JSON"),
    (b"{", "no JSON"),
    (b"[1]", "[1]"),
    (b"\xff\xfe", "no JSON"),
    (b"[" * 100_000, "no JSON"),
    (b"[" * 900 + b"]" * 900, "no JSON"),
    (b'{"reason": "\\ud800"}', "no JSON"),
    (b'{"number": 1e999}', "Infinity"),
    (b'{"vms": {"w1": null, "w1": null}}', "more than once"),
    (b'{"number": 1, "number": 1}', "more than once"),
    (b" " * 5_000_000, "5000000 bytes"),
]


@pytest.mark.parametrize(("raw", "value"), INVALID_BYTES)
def test_invalid_bytes_are_rejected(raw, value) -> None:
    """Guards against bytes that raise anything but ``TicketInvalid``."""
    with pytest.raises(TicketInvalid) as caught:
        parse_ticket(raw)
    assert value in caught.value.problems[0].value


@pytest.mark.parametrize("free_bytes", [1, 0, -1])
def test_size_near_the_limit(free_bytes) -> None:
    """Guards against accepting a ticket that exceeds the store's value size."""
    empty = len(parse_ticket_document(build_ticket_document(reason="x")).to_bytes()) - 1
    document = build_ticket_document(
        reason="x" * (MAX_TICKET_BYTES - empty - free_bytes)
    )
    if free_bytes < 0:
        with pytest.raises(TicketInvalid, match="at most 998976 bytes"):
            parse_ticket(json.dumps(document).encode())
        return
    store = create_store()
    log = create_filled_log(0, store)
    assert log.file_ticket(parse_ticket_document(document)) == Accepted(1)
