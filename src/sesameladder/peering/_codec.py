"""Encodes messages as Cap'n Proto envelopes; decodes and checks received frames."""

from dataclasses import dataclass, fields, is_dataclass
from functools import cache
from importlib.resources import as_file, files
from typing import Any, get_args, get_type_hints

import capnp

from sesameladder.peering._errors import FrameInvalid
from sesameladder.peering._messages import Message

FORMAT_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
WORD_BYTES = 8
# Cap'n Proto counts a word each time it is read. The limit allows each word of the
# longest frame to be read 4 times; it stops short frames that repeat their data.
TRAVERSAL_LIMIT_WORDS = 4 * MAX_FRAME_BYTES // WORD_BYTES


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its sender and the number of its request."""

    sender: str
    """Instance id of the sender."""

    incarnation: int
    """Number that identifies the sender's process, chosen when it started."""

    correlation: int
    """Number of the request, which its reply repeats; 0 for a one-way message."""

    is_reply: bool
    """Whether the message is the reply to the request with this number."""

    message: Message
    """The message itself."""


def encode_envelope(deployment: str, envelope: Envelope) -> bytes:
    """Return an envelope as Cap'n Proto data, without the frame's length prefix."""
    union_field = _to_camel_case(type(envelope.message).__name__)
    wire_envelope = _load_schema().Envelope.new_message(
        deployment=deployment,
        formatVersion=FORMAT_VERSION,
        sender=envelope.sender,
        incarnation=envelope.incarnation,
        correlation=envelope.correlation,
        isReply=envelope.is_reply,
        **{union_field: _to_wire(envelope.message)},
    )
    return bytes(wire_envelope.to_bytes())


def decode_envelope(deployment: str, data: bytes | bytearray) -> Envelope:
    """Return the envelope in a frame.

    Raises ``FrameInvalid`` if the frame is too long, malformed, or of another
    deployment or format version.
    """
    if len(data) > MAX_FRAME_BYTES or len(data) % WORD_BYTES:
        raise FrameInvalid(f"frame of {len(data)} bytes")
    try:
        with _load_schema().Envelope.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as reader:
            return _read_envelope(deployment, reader)
    except (capnp.KjException, ValueError, KeyError, TypeError) as error:
        summary = str(error).splitlines()[0]
        raise FrameInvalid(f"malformed frame: {summary}") from error


def _read_envelope(deployment: str, reader: Any) -> Envelope:
    if reader.formatVersion != FORMAT_VERSION:
        raise FrameInvalid(f"format version {reader.formatVersion}")
    if reader.deployment != deployment:
        raise FrameInvalid(f"deployment {reader.deployment!r}")
    union_field = str(reader.which())
    message_type = _get_message_types()[union_field]
    values = getattr(reader, union_field).to_dict()
    return Envelope(
        sender=reader.sender,
        incarnation=reader.incarnation,
        correlation=reader.correlation,
        is_reply=reader.isReply,
        message=_from_wire(message_type, values),
    )


@cache
def _load_schema() -> Any:
    capnp.remove_import_hook()
    resource = files("sesameladder.peering") / "peer.capnp"
    with as_file(resource) as path:
        return capnp.load(str(path))


@cache
def _get_message_types() -> dict[str, type[Message]]:
    return {
        _to_camel_case(message_type.__name__): message_type
        for message_type in get_args(Message)
    }


@cache
def _to_camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head[0].lower() + head[1:] + "".join(part.capitalize() for part in tail)


@cache
def _get_wire_fields(value_type: type) -> tuple[tuple[str, str, Any], ...]:
    hints = get_type_hints(value_type)
    return tuple(
        (field.name, _to_camel_case(field.name), hints[field.name])
        for field in fields(value_type)
    )


def _to_wire(value: Any) -> Any:
    if is_dataclass(value):
        value_type: Any = type(value)
        return {
            wire_name: _to_wire(getattr(value, name))
            for name, wire_name, _ in _get_wire_fields(value_type)
        }
    if isinstance(value, tuple):
        return [_to_wire(item) for item in value]
    return value


def _from_wire(value_type: Any, value: Any) -> Any:
    if is_dataclass(value_type):
        return _build_dataclass(value_type, value)
    if getattr(value_type, "__origin__", None) is tuple:
        item_type = get_args(value_type)[0]
        return tuple(_from_wire(item_type, item) for item in value)
    return value


def _build_dataclass(value_type: Any, value: Any) -> Any:
    field_values = {
        name: _from_wire(hint, value.get(wire_name, _make_default(hint)))
        for name, wire_name, hint in _get_wire_fields(value_type)
    }
    return value_type(**field_values)


def _make_default(hint: Any) -> Any:
    if is_dataclass(hint):
        return {}
    origin = getattr(hint, "__origin__", None)
    return () if origin is tuple else hint()
