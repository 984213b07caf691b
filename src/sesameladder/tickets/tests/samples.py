"""Sample tickets for the tests of the ticket log and its users."""

import json
from copy import deepcopy

from sesameladder.environment import FakeStore
from sesameladder.tickets import (
    SNAPSHOT_INTERVAL_TICKETS,
    Ticket,
    TicketLog,
    parse_ticket,
)

FIRST_TICKET = {
    "number": 1,
    "author": "mara",
    "reason": "first fleet",
    "pools": {"caps": {"service": "caps"}, "desk": {"service": "desk", "spare": True}},
    "vms": {
        f"w{n}": {
            "pool": "caps" if n < 6 else "desk",
            "zone": "a",
            "rack": "a1" if n % 6 < 4 else "a2",
            "address": f"10.0.0.{n + 1}:8080",
        }
        for n in range(12)
    },
    "budgets": {
        "caps": {"min_available": 4, "max_unavailable": 2},
        "desk": {"min_available": 3, "max_unavailable": 1},
    },
    "teams": {"fitters": {"weight": 3, "share_cap": 0.5, "urgent_allowed": True}},
}


def build_ticket_document(**changes) -> dict:
    """Return the first ticket's JSON document with some keys replaced."""
    return {**deepcopy(FIRST_TICKET), **changes}


def build_small_ticket(number: int, author: str = "mara", **sections) -> Ticket:
    """Return a ticket that changes the team's weight, or the given sections."""
    document = {"number": number, "author": author, "reason": f"change {number}"}
    document |= sections or {"teams": {"fitters": {"weight": number}}}
    return parse_ticket_document(document)


def parse_ticket_document(document: dict) -> Ticket:
    """Return the ticket of a JSON document."""
    return parse_ticket(json.dumps(document).encode())


def create_log(store=None) -> TicketLog:
    """Return a ticket log whose pauses take no time."""
    return TicketLog(store or create_store(), pause=lambda seconds: None)


def create_store() -> FakeStore:
    """Return an empty store with a stopped clock."""
    return FakeStore(lambda: 0.0)


def create_filled_log(count: int = 1, store=None) -> TicketLog:
    """Return a log that has accepted ``count`` tickets, with due snapshots."""
    log = create_log(store)
    if count:
        log.file_ticket(parse_ticket_document(FIRST_TICKET))
    for number in range(2, count + 1):
        log.file_ticket(build_small_ticket(number))
        if number % SNAPSHOT_INTERVAL_TICKETS == 0:
            log.write_snapshot()
    return log
