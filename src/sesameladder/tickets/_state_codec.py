"""Encoding of a state as zlib-compressed canonical JSON."""

import zlib

from pydantic import TypeAdapter, ValidationError

from sesameladder.model import FleetState
from sesameladder.tickets._json import encode_json
from sesameladder.tickets._rows import StateRow
from sesameladder.tickets._sections import SECTIONS

# 12,000 VMs take about 2 MB; bounds the memory that a malicious value can take.
MAX_DECOMPRESSED_STATE_BYTES = 32_000_000
STATE_ADAPTER = TypeAdapter(StateRow)


class StateMalformed(Exception):
    """The bytes are not an encoded state."""


def encode_state(state: FleetState) -> bytes:
    """Return the encoded state."""
    document: dict[str, object] = {
        section.name: section.encode_objects(getattr(state, section.state_attribute))
        for section in SECTIONS
    }
    return zlib.compress(encode_json({"number": state.number, **document}))


def decode_state(raw: bytes) -> FleetState:
    """Return the state of encoded bytes; raises ``StateMalformed``."""
    try:
        row = STATE_ADAPTER.validate_json(decompress(raw, MAX_DECOMPRESSED_STATE_BYTES))
    except (zlib.error, ValidationError, ValueError) as error:
        raise StateMalformed(str(error)) from error
    objects = {
        section.state_attribute: section.build_objects(getattr(row, section.name))
        for section in SECTIONS
    }
    return FleetState(number=row.number, **objects)


def decompress(raw: bytes, limit: int) -> bytes:
    """Return the decompressed bytes.

    Raises ValueError when they exceed ``limit`` bytes, and when the input is
    truncated or has trailing bytes; zlib.error for other malformed input.
    """
    decoder = zlib.decompressobj()
    plain = decoder.decompress(raw, limit)
    if not decoder.eof or decoder.unused_data:
        raise ValueError(
            f"compressed data is truncated, exceeds {limit} bytes or has trailing bytes"
        )
    return plain
