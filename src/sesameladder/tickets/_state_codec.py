"""The byte form of a folded state: zlib-compressed canonical JSON."""

import zlib

from pydantic import TypeAdapter, ValidationError

from sesameladder.model import FleetState
from sesameladder.tickets._json import encode_json
from sesameladder.tickets._rows import StateRow
from sesameladder.tickets._sections import SECTIONS

# 12,000 VMs take about 2 MB; the bound keeps a hostile value from filling memory.
MAX_DECOMPRESSED_STATE_BYTES = 32_000_000
STATE_ADAPTER = TypeAdapter(StateRow)


class StateMalformed(Exception):
    """Bytes that are no folded state."""


def encode_state(state: FleetState) -> bytes:
    """Return the byte form of a state."""
    document: dict[str, object] = {
        section.name: section.encode_objects(getattr(state, section.state_attribute))
        for section in SECTIONS
    }
    return zlib.compress(encode_json({"number": state.number, **document}))


def decode_state(raw: bytes) -> FleetState:
    """Return the state of a byte form; raises ``StateMalformed``."""
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
    """Return decompressed bytes; raises ValueError over the limit or if cut off."""
    decoder = zlib.decompressobj()
    plain = decoder.decompress(raw, limit)
    if not decoder.eof or decoder.unused_data:
        raise ValueError("cut off, over the size limit or followed by other bytes")
    return plain
