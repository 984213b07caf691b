"""Decoder of the organisations in the operator's configuration."""

from sesameladder.organisations import Amounts, KeyDigester, Organisation, Organisations
from sesameladder.platform._fields import (
    Fields,
    check_name,
    check_object,
    read_factor,
    read_list,
    read_name,
    read_number,
)
from sesameladder.platform._limits import MAX_COUNTER, MAX_ROWS


def decode_organisations(value: object) -> Organisations:
    """Decode the organisations of a configuration."""
    rows = read_list({"tenants": value}, "tenants", MAX_ROWS)
    table = Organisations()
    organisations = [_decode_organisation(row, table.digester) for row in rows]
    return Organisations(organisations, table.digester)


def _decode_organisation(value: object, digester: KeyDigester) -> Organisation:
    row = check_object("an organisation", value)
    keys = [check_name("a key", k) for k in read_list(row, "apiKeys", MAX_ROWS)]
    return Organisation(
        read_name(row, "name"),
        frozenset(map(digester.digest, keys)),
        read_factor(row, "weight", default=1.0),
        _decode_cap(check_object("cap", row.get("cap") or {})),
    )


def _decode_cap(fields: Fields) -> Amounts:
    return Amounts(
        read_number(fields, "cpu", MAX_COUNTER),
        read_number(fields, "memMb", MAX_COUNTER),
        read_number(fields, "gpu", MAX_COUNTER),
    )
