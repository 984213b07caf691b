"""Tests of the encoding of messages and of the refusal of malformed frames."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameladder.peering import (
    CellReport,
    CellReports,
    Envelope,
    ForwardedAnswer,
    FrameInvalid,
    GrantAnswer,
    Header,
    Heartbeat,
    Message,
    TicketItem,
    Tickets,
    VmGrants,
    WitnessAnswer,
    decode_envelope,
    encode_envelope,
)

ANSWER = ForwardedAnswer("done", 200, (Header("A", "b"),), b"\x00x", "", 0.5, "r-1")
MESSAGES: list[Message] = [
    Heartbeat("zone-a", 7, 9, False, True, 3),
    Tickets((TicketItem(1, "d", b"{}"), TicketItem(2, "e", b""))),
    CellReports(
        True,
        (CellReport("p", "z", 1, 2, 3.5, True, (VmGrants("vm", 1, True, False),)),),
    ),
    GrantAnswer("granted", "d-1", "g-1", "vm", "rack", "127.0.0.1:1"),
    WitnessAnswer("finished", ANSWER),
]


def wrap(message: Message) -> Envelope:
    return Envelope("entry-1", 2**62 + 5, 41, True, message)


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_round_trip(message: Message) -> None:
    """Guards against fields that are lost or swapped by encoding and decoding."""
    envelope = wrap(message)
    assert decode_envelope("d", encode_envelope("d", envelope)) == envelope


def test_other_deployment_is_refused() -> None:
    """Guards against messages accepted from an instance of another deployment."""
    data = encode_envelope("coral-strand", wrap(MESSAGES[0]))
    with pytest.raises(FrameInvalid, match="coral-strand"):
        decode_envelope("pfennigblatt", data)


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=256), st.integers(min_value=0, max_value=200))
def test_corrupt_frames_are_refused_or_decoded(noise: bytes, offset: int) -> None:
    """Guards against malformed frames that raise an error besides ``FrameInvalid``.

    The reader of a connection handles no other error of decoding.
    """
    data = bytearray(encode_envelope("d", wrap(MESSAGES[4])))
    data[offset : offset + len(noise)] = noise
    try:
        decode_envelope("d", bytes(data))
    except FrameInvalid:
        return
