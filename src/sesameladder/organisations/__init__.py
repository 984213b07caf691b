"""Organisations that send jobs: their keys, caps and shares.

The package decides only: it opens no sockets and reads no clocks.
"""

from sesameladder.organisations._model import (
    Amounts,
    KeyDigester,
    Organisation,
    Organisations,
)
from sesameladder.organisations._shares import (
    MAX_LOGGED_SHARES,
    ShareRow,
    Shares,
)

__all__ = [
    "MAX_LOGGED_SHARES",
    "Amounts",
    "KeyDigester",
    "Organisation",
    "Organisations",
    "ShareRow",
    "Shares",
]
