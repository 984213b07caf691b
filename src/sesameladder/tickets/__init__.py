"""Change tickets: parsing, validation, filing, history and compaction.

A ticket is a numbered change of the configuration. Accepted tickets form a
log in the platform's store; applying them in order gives the configuration.
"""

from sesameladder.tickets._apply import apply_ticket
from sesameladder.tickets._check import check_ticket
from sesameladder.tickets._json import JsonInvalid, parse_json
from sesameladder.tickets._log import TicketLog
from sesameladder.tickets._outcomes import (
    Accepted,
    AlreadyAccepted,
    FilingOutcome,
    LostRace,
    NotFiled,
    Rejected,
    Unsettled,
)
from sesameladder.tickets._parse import MAX_TICKET_BYTES
from sesameladder.tickets._problems import Problem, TicketInvalid
from sesameladder.tickets._records import (
    HEAD_KEY,
    SNAPSHOT_INTERVAL_TICKETS,
    Head,
    TicketLogCorrupt,
    TicketLogError,
    TicketLogRejected,
    TicketLogUnavailable,
)
from sesameladder.tickets._state_codec import (
    StateMalformed,
    decode_state,
    encode_state,
)
from sesameladder.tickets._ticket import Ticket, parse_ticket

__all__ = [
    "HEAD_KEY",
    "MAX_TICKET_BYTES",
    "SNAPSHOT_INTERVAL_TICKETS",
    "Accepted",
    "AlreadyAccepted",
    "FilingOutcome",
    "Head",
    "JsonInvalid",
    "LostRace",
    "NotFiled",
    "Problem",
    "Rejected",
    "StateMalformed",
    "Ticket",
    "TicketInvalid",
    "TicketLog",
    "TicketLogCorrupt",
    "TicketLogError",
    "TicketLogRejected",
    "TicketLogUnavailable",
    "Unsettled",
    "apply_ticket",
    "check_ticket",
    "decode_state",
    "encode_state",
    "parse_json",
    "parse_ticket",
]
