"""Organisations that send jobs: their keys, caps and shares.

The package decides only: it opens no sockets and reads no clocks.
"""

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

__all__ = [
    "MAX_KEY_BYTES",
    "Amounts",
    "KeyCheck",
    "KeyDigester",
    "KeyOutcome",
    "KeyRefusal",
    "Organisation",
    "OrganisationRefusal",
    "Organisations",
    "check_key",
]
