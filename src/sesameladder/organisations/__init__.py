"""Organisations that send jobs: their keys, caps and shares.

The package decides only: it opens no sockets and reads no clocks.
"""

from sesameladder.organisations._model import (
    Amounts,
    KeyDigester,
    Organisation,
    Organisations,
)

__all__ = ["Amounts", "KeyDigester", "Organisation", "Organisations"]
