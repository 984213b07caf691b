"""Application of a ticket to a state."""

from typing import Any

from sesameladder.model import FleetState
from sesameladder.tickets._sections import SECTIONS
from sesameladder.tickets._ticket import Ticket


def apply_ticket(state: FleetState, ticket: Ticket) -> FleetState:
    """Return the state after a ticket, without changing the given state."""
    new_objects = {
        section.state_attribute: _replace_objects(
            getattr(state, section.state_attribute), getattr(ticket, section.name)
        )
        for section in SECTIONS
    }
    return FleetState(number=ticket.number, **new_objects)


def _replace_objects(
    objects: dict[str, Any], changes: dict[str, Any]
) -> dict[str, Any]:
    if not changes:
        return objects
    result = dict(objects)
    for name, item in changes.items():
        if item is None:
            result.pop(name, None)
        else:
            result[name] = item
    return result
