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
from sesameladder.organisations._keys import KeyCheck, KeyOutcome, check_key
from sesameladder.organisations._model import (
    MAX_KEY_BYTES,
    Amounts,
    KeyDigester,
    KeyRefusal,
    Organisation,
    OrganisationRefusal,
    Organisations,
)
from sesameladder.organisations._shares import (
    MAX_LOGGED_SHARES,
    ShareRow,
    Shares,
)

__all__ = [
    "MAX_KEY_BYTES",
    "MAX_LOGGED_SHARES",
    "NOTHING",
    "Amounts",
    "CapLedger",
    "CapPass",
    "CapRecord",
    "CapRow",
    "DemandLimit",
    "KeyCheck",
    "KeyDigester",
    "KeyOutcome",
    "KeyRefusal",
    "Organisation",
    "OrganisationRefusal",
    "Organisations",
    "RecordWrite",
    "ShareRow",
    "Shares",
    "add",
    "check_key",
    "exceeds_cap",
    "multiply",
    "to_amounts",
]
