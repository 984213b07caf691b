"""Decoder of the organisations in the operator's configuration.

An invalid row costs that row alone. No error shows a value of a row: operators may
have written a key in the place of another field.
"""

from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

from sesameladder.organisations import (
    MAX_KEY_BYTES,
    Amounts,
    KeyDigester,
    KeyRefusal,
    Organisation,
    OrganisationRefusal,
    Organisations,
)
from sesameladder.platform._errors import FieldInvalid
from sesameladder.platform._fields import (
    Fields,
    check_object,
    check_text,
    read_factor,
    read_list,
    read_name,
    read_number,
)
from sesameladder.platform._limits import MAX_COUNTER, MAX_ROWS

MAX_KEY_TEXT_BYTES = 1_048_576  # a configuration is one value of at most 1 MiB


def decode_organisations(value: object) -> Organisations:
    """Decode the organisations of a configuration; the result names what is refused."""
    digester = Organisations().digester
    if not isinstance(value, list):
        refusal = OrganisationRefusal(None, "the organisations are not a list")
        return Organisations((), digester, (refusal,))
    refusals: list[OrganisationRefusal | KeyRefusal] = []
    organisations: dict[str, Organisation] = {}
    positions_by_digest: defaultdict[bytes, list[int]] = defaultdict(list)
    for position, row in enumerate(value):
        try:
            if position >= MAX_ROWS:
                raise FieldInvalid(f"there are more than {MAX_ROWS} rows")
            organisation = _decode_organisation(row, digester)
            if organisation.name in organisations:
                raise FieldInvalid("an earlier row has the same name")
        except FieldInvalid as error:
            refusals.append(OrganisationRefusal(position, str(error)))
            continue
        organisations[organisation.name] = organisation
        for digest in organisation.key_digests:
            positions_by_digest[digest].append(position)
        if _has_overlong_key(row):
            reason = f"it has more than {MAX_KEY_BYTES} bytes"
            refusals.append(KeyRefusal((position,), reason))
    shared = {d: p for d, p in positions_by_digest.items() if len(p) > 1}
    refusals += [
        KeyRefusal(tuple(positions), "several rows have it")
        for positions in shared.values()
    ]
    usable = [
        replace(row, key_digests=row.key_digests - shared.keys())
        for row in organisations.values()
    ]
    return Organisations(usable, digester, refusals)


def _decode_organisation(value: object, digester: KeyDigester) -> Organisation:
    with _hiding_values("the row is not an object"):
        row = check_object("the row", value)
    with _hiding_values("name is missing or malformed"):
        name = read_name(row, "name")
    with _hiding_values("weight is not a number of 0 or more"):
        weight = read_factor(row, "weight", default=1.0)
    # Only an absent cap stands for none: 0 or an empty text is no object.
    cap = row.get("cap")
    with _hiding_values("cap is not an object of numbers of 0 or more"):
        amounts = Amounts() if cap is None else _decode_cap(check_object("cap", cap))
    digests = frozenset(map(digester.digest, _read_keys(row)))
    return Organisation(name, digests, weight, amounts)


def _decode_cap(fields: Fields) -> Amounts:
    return Amounts(
        read_number(fields, "cpu", MAX_COUNTER),
        read_number(fields, "memMb", MAX_COUNTER),
        read_number(fields, "gpu", MAX_COUNTER),
    )


def _read_keys(row: Fields) -> list[str]:
    """Return the keys of a row; those that are too long are valid, but unknown."""
    with _hiding_values("apiKeys is not a list"):
        keys = read_list(row, "apiKeys", MAX_ROWS)
    with _hiding_values("a key is not a text or is empty"):
        if "" in keys:
            raise FieldInvalid("a key is empty")
        return [check_text("a key", key, MAX_KEY_TEXT_BYTES) for key in keys]


def _has_overlong_key(row: Fields) -> bool:
    return any(len(key.encode()) > MAX_KEY_BYTES for key in _read_keys(row))


@contextmanager
def _hiding_values(reason: str) -> Iterator[None]:
    """Replace the error of a field, whose text shows its value."""
    try:
        yield
    except FieldInvalid:
        raise FieldInvalid(reason) from None
