"""Decoding of the organisations in the operator's configuration."""

import json
from typing import Any

import pytest

from sesameladder.organisations import Amounts, KeyRefusal, OrganisationRefusal
from sesameladder.platform import RecordInvalid, decode_configuration

SECRET = "sk-4711"  # every refused value of these tests; no error may show it
SOUND = {"name": "sound", "apiKeys": ["k-sound"], "weight": 2.5, "cap": {"cpu": 4000}}


def decode(tenants: object) -> Any:
    fields = {"version": 3, "routes": [], "services": [], "tenants": tenants}
    configuration = decode_configuration(json.dumps(fields).encode())
    assert configuration.version == 3
    return configuration.organisations


def find_name(table: Any, key: str) -> str | None:
    organisation = table.find_by_key(key)
    return organisation.name if organisation is not None else None


@pytest.mark.parametrize(
    "row",
    [
        SECRET,
        None,
        [SECRET],
        {"apiKeys": [SECRET]},
        {"name": "", "apiKeys": [SECRET]},
        {"name": 7, "apiKeys": [SECRET]},
        {"name": "n" * 201, "apiKeys": [SECRET]},
        {"name": "\ud800", "apiKeys": [SECRET]},
        {"name": "odd", "apiKeys": [SECRET, ""]},
        {"name": "odd", "apiKeys": [SECRET, 4711]},
        {"name": "odd", "apiKeys": [SECRET, None]},
        {"name": "odd", "apiKeys": [[SECRET]]},
        {"name": "odd", "apiKeys": SECRET},
        {"name": "odd", "apiKeys": {SECRET: 1}},
        {"name": "odd", "apiKeys": [SECRET], "weight": -1},
        {"name": "odd", "apiKeys": [SECRET], "weight": SECRET},
        {"name": "odd", "apiKeys": [SECRET], "weight": True},
        {"name": "odd", "apiKeys": [SECRET], "weight": float("nan")},
        {"name": "odd", "apiKeys": [SECRET], "weight": 10**400},
        {"name": "odd", "apiKeys": [SECRET], "cap": 0},
        {"name": "odd", "apiKeys": [SECRET], "cap": [SECRET]},
        {"name": "odd", "apiKeys": [SECRET], "cap": {"cpu": -1}},
        {"name": "odd", "apiKeys": [SECRET], "cap": {"gpu": SECRET}},
        {"name": "sound", "apiKeys": [SECRET]},
    ],
)
def test_invalid_row_costs_that_row_alone(row: Any) -> None:
    """Guards against one row that puts a configuration, or another row, out of force.

    The last row has the name of an earlier one.
    """
    table = decode([SOUND, row, {"name": "odd", "apiKeys": ["k-later"]}])
    assert sorted(table.by_name) == ["odd", "sound"]
    assert find_name(table, "k-sound") == "sound"
    assert find_name(table, "k-later") == "odd"
    assert find_name(table, SECRET) is None
    assert [type(refusal) for refusal in table.refusals] == [OrganisationRefusal]
    assert table.refusals[0].position == 1
    assert SECRET not in repr(table.refusals)
    assert "4711" not in repr(table.refusals)


def test_sound_row_is_read_whole() -> None:
    table = decode([SOUND, {"name": "plain"}])
    row = table.by_name["sound"]
    assert (row.weight, row.cap) == (2.5, Amounts(cpu_millis=4000))
    plain = table.by_name["plain"]
    assert (plain.weight, plain.cap, plain.key_digests) == (1, Amounts(), frozenset())
    assert table.refusals == ()


def test_key_of_two_rows_is_refused_for_both() -> None:
    """Guards against work that is charged to the wrong organisation."""
    rows = [
        {"name": "a", "apiKeys": [SECRET, "k-a", "k-a"]},
        {"name": "b", "apiKeys": ["k-b", SECRET]},
        {"name": "refused", "apiKeys": ["k-a"], "weight": -1},
    ]
    table = decode(rows)
    assert find_name(table, SECRET) is None
    assert (find_name(table, "k-a"), find_name(table, "k-b")) == ("a", "b")
    assert sorted(table.by_name) == ["a", "b"]
    kinds = {type(refusal): refusal for refusal in table.refusals}
    assert kinds[KeyRefusal].positions == (0, 1)
    assert SECRET not in repr(table.refusals)


def test_key_that_is_too_long_costs_only_itself() -> None:
    long_key = "k" * 201
    table = decode([{"name": "a", "apiKeys": [long_key, "k-a"]}])
    assert (find_name(table, long_key), find_name(table, "k-a")) == (None, "a")
    assert [type(refusal) for refusal in table.refusals] == [KeyRefusal]
    assert long_key not in repr(table.refusals)


@pytest.mark.parametrize("tenants", [None, {}, SECRET, 7, {SECRET: []}])
def test_no_list_of_organisations_leaves_none(tenants: object) -> None:
    """Guards against a malformed list that lets everyone call."""
    table = decode(tenants)
    assert table is not None
    assert table.by_name == {}
    assert table.refusals[0].position is None
    assert SECRET not in repr(table.refusals)


def test_configuration_without_the_list_has_no_organisations() -> None:
    configuration = decode_configuration(b'{"version":3,"routes":[],"services":[]}')
    assert configuration.organisations is None


@pytest.mark.parametrize(
    "value",
    [
        b'{"tenants":[{"apiKeys":["' + SECRET.encode() + b'\xff"]}]}',
        json.dumps([SECRET]).encode(),
        json.dumps(SECRET).encode(),
        b'{"tenants":[{"apiKeys":["' + SECRET.encode() + b'"',
        b'{"version":3,"tenants":[{"apiKeys":["' + SECRET.encode() + b'"]}]}',
    ],
    ids=["bytes", "list", "text", "cut", "incomplete"],
)
def test_error_of_a_configuration_shows_no_key(value: bytes) -> None:
    """Guards against keys in the log line of a refused configuration."""
    with pytest.raises(RecordInvalid) as raised:
        decode_configuration(value)
    assert SECRET not in str(raised.value)
