"""Reader for tickets and instances of an example deployment."""

import json
from dataclasses import dataclass
from importlib.resources import files
from typing import Any

import json5

from sesameladder.tickets import Ticket, parse_ticket


@dataclass(frozen=True, slots=True)
class Example:
    """The parts of an example deployment that a session uses."""

    region: str
    """Name of the region."""

    entries: dict[str, tuple[str, ...]]
    """Entry instances by zone."""

    tickets: tuple[Ticket, ...]
    """First state, maintenance wave, VM move and quota change."""


def read_example(deployment: str) -> Example:
    """Read the files of an example deployment."""
    source = files("sesameladder.settings.examples") / deployment
    client = json5.loads((source / "client.jsonc").read_text("utf-8"))
    paths = sorted((source / "tickets").iterdir(), key=lambda path: path.name)
    tickets = [_read_ticket(path.read_text("utf-8")) for path in paths]
    return Example(
        client["region"], _group_by_zone(client["instances"]), tuple(tickets)
    )


def _read_ticket(text: str) -> Ticket:
    return parse_ticket(json.dumps(json5.loads(text)).encode())


def _group_by_zone(rows: list[dict[str, Any]]) -> dict[str, tuple[str, ...]]:
    zones = sorted({row["zone"] for row in rows})
    return {
        zone: tuple(row["instance"] for row in rows if row["zone"] == zone)
        for zone in zones
    }
