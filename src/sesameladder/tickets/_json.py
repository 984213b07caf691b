"""Canonical JSON encoding and a parser that rejects duplicate keys."""

import json
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from sesameladder.tickets._problems import Problem, TicketInvalid, shorten_value

UNIQUE_KEYS_RULE = "each key, and so each pool, VM, budget, team and wave, named once"


class JsonInvalid(Exception):
    """The bytes are not JSON in UTF-8."""


class JsonObject(dict[str, Any]):
    """A JSON object with the list of keys that occurred more than once."""

    __slots__ = ("duplicate_keys",)

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        counts = Counter(key for key, _ in pairs) if len(pairs) > len(self) else {}
        self.duplicate_keys = [key for key, count in counts.items() if count > 1]


def encode_json(value: Any) -> bytes:
    """Return canonical JSON in UTF-8: sorted keys, no white space."""
    text = json.dumps(
        value,
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
        allow_nan=False,
    )
    return text.encode()


def parse_json(raw: bytes, load: Callable[..., Any] = json.loads) -> Any:
    """Return the value of JSON bytes.

    ``load`` parses the text and may accept an extended syntax. Raises
    ``JsonInvalid`` when the bytes can't be decoded or parsed, and
    ``TicketInvalid`` when an object has a key more than once.
    """
    try:
        value = load(raw.decode(), object_pairs_hook=JsonObject)
        duplicate_keys = list(_find_duplicate_keys(value, ""))
    except (ValueError, RecursionError) as error:
        raise JsonInvalid(str(error)) from error
    if duplicate_keys:
        raise TicketInvalid(
            tuple(_describe_duplicate_key(path) for path in duplicate_keys)
        )
    return value


def _describe_duplicate_key(path: str) -> Problem:
    found = "the key more than once in one object"
    return Problem(shorten_value(path), found, UNIQUE_KEYS_RULE)


def _find_duplicate_keys(value: Any, path: str) -> Iterator[str]:
    if isinstance(value, JsonObject):
        yield from (path + key for key in value.duplicate_keys)
        for key, item in value.items():
            yield from _find_duplicate_keys(item, f"{path}{key}.")
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _find_duplicate_keys(item, f"{path}{index}.")
