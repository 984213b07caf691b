"""Canonical JSON, and a strict reader that refuses duplicate keys."""

import json
from collections import Counter
from typing import Any

from sesameladder.tickets._problems import Problem, TicketInvalid, shorten_value


def encode_json(value: Any) -> bytes:
    """Return canonical JSON: sorted keys, no spaces, UTF-8."""
    text = json.dumps(
        value,
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
        allow_nan=False,
    )
    return text.encode()


def check_json(raw: bytes) -> None:
    """Raise ``TicketInvalid`` when bytes are not JSON or repeat a key."""
    repeated: list[str] = []

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        counts = Counter(key for key, _ in pairs)
        repeated.extend(key for key, count in counts.items() if count > 1)
        return dict(pairs)

    try:
        json.loads(raw.decode(), object_pairs_hook=build_object)
    except (ValueError, RecursionError) as error:
        problem = Problem("ticket", f"bytes that are no JSON ({error})", "UTF-8 JSON")
        raise TicketInvalid((problem,)) from error
    if repeated:
        raise TicketInvalid(tuple(_describe_repeat(key) for key in repeated))


def _describe_repeat(key: str) -> Problem:
    return Problem(
        shorten_value(key),
        "the key more than once in one object",
        "each key, and so each pool, VM, budget, team and wave, named once",
    )
