"""Tickets, which are numbered changes of the configuration."""

from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any

from sesameladder.model import (
    AvailabilityBudget,
    MaintenanceWave,
    Pool,
    Team,
    VirtualMachine,
)
from sesameladder.tickets._json import encode_json
from sesameladder.tickets._parse import MAX_TICKET_BYTES, read_ticket_row
from sesameladder.tickets._problems import Problem, TicketInvalid
from sesameladder.tickets._sections import SECTIONS


@dataclass(frozen=True, slots=True)
class Ticket:
    """A change of the configuration.

    Each object replaces the object of the same name completely; None removes it.
    """

    number: int
    """Position in the ticket log, from 1."""

    author: str
    """Name of who filed the ticket."""

    reason: str
    """Reason for the change."""

    pools: dict[str, Pool | None] = field(default_factory=dict)
    """Pools by name."""

    vms: dict[str, VirtualMachine | None] = field(default_factory=dict)
    """VMs by name."""

    budgets: dict[str, AvailabilityBudget | None] = field(default_factory=dict)
    """Availability budgets by pool name."""

    teams: dict[str, Team | None] = field(default_factory=dict)
    """Teams by name."""

    maintenance: dict[str, MaintenanceWave | None] = field(default_factory=dict)
    """Maintenance waves by id."""

    @classmethod
    def from_bytes(cls, raw: bytes) -> "Ticket":
        """Return the ticket of JSON bytes; raises ``TicketInvalid``."""
        row = read_ticket_row(raw)
        sections = {
            section.name: section.build_objects(getattr(row, section.name))
            for section in SECTIONS
        }
        return cls(row.number, row.author, row.reason, **sections)

    def to_bytes(self) -> bytes:
        """Return the canonical JSON, which includes default values."""
        return encode_json(self.to_json())

    def to_json(self) -> dict[str, Any]:
        """Return the JSON document; empty sections are left out."""
        document: dict[str, Any] = {
            "number": self.number,
            "author": self.author,
            "reason": self.reason,
        }
        for section in SECTIONS:
            objects = getattr(self, section.name)
            if objects:
                document[section.name] = section.encode_objects(objects)
        return document

    @property
    def digest(self) -> str:
        """SHA-256 of the canonical JSON, as 64 hexadecimal digits."""
        return sha256(self.to_bytes()).hexdigest()


def parse_ticket(raw: bytes) -> Ticket:
    """Return the ticket of JSON bytes.

    Raises ``TicketInvalid`` when it is malformed or its canonical JSON is larger
    than ``MAX_TICKET_BYTES``.
    """
    ticket = Ticket.from_bytes(raw)
    size = len(ticket.to_bytes())
    if size > MAX_TICKET_BYTES:
        accepted = f"at most {MAX_TICKET_BYTES} bytes with all defaults written out"
        problem = Problem("ticket", f"{size} bytes", accepted)
        raise TicketInvalid((problem,))
    return ticket
