"""Organisations that send jobs: their keys, caps and shares.

The package decides only: it opens no sockets and reads no clocks.
"""

from sesameladder.organisations._amounts import NOTHING, add, exceeds_cap, multiply
from sesameladder.organisations._cap_pass import CapPass, DemandLimit, to_amounts
from sesameladder.organisations._caps import (
    CapLedger,
    CapRecord,
    CapRow,
    RecordWrite,
)
from sesameladder.organisations._model import (
    Amounts,
    KeyDigester,
    Organisation,
    Organisations,
)

__all__ = [
    "NOTHING",
    "Amounts",
    "CapLedger",
    "CapPass",
    "CapRecord",
    "CapRow",
    "DemandLimit",
    "KeyDigester",
    "Organisation",
    "Organisations",
    "RecordWrite",
    "add",
    "exceeds_cap",
    "multiply",
    "to_amounts",
]
