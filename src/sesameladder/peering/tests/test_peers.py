"""Tests of requests between instances over loopback sockets."""

import socket
import struct
from collections.abc import Iterator

import pytest

from sesameladder.peering import (
    Acknowledgement,
    Message,
    PeerAddress,
    PeerIdentity,
    PeerOutcomeUnknown,
    Peers,
    PeerUnreachable,
    PullConfiguration,
    PullPlan,
    SendReply,
    split_address,
)

CALL_TIMEOUT_S = 30.0


def reserve_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    return f"{host}:{port}"


def reply_to_pull(_sender: PeerIdentity, message: Message, reply: SendReply) -> None:
    if isinstance(message, PullConfiguration):
        reply(Acknowledgement(message.after == 5))


@pytest.fixture
def pair() -> Iterator[tuple[Peers, Peers]]:
    addresses = [
        PeerAddress("a", "zone-a", reserve_address()),
        PeerAddress("b", "zone-b", reserve_address()),
    ]
    members = [
        Peers("d", PeerIdentity(name, 1), addresses, reply_to_pull)
        for name in ("a", "b")
    ]
    for member in members:
        member.start()
    yield members[0], members[1]
    for member in members:
        member.stop()


@pytest.mark.parametrize("target", ["a", "b"])
def test_call_returns_its_reply(pair: tuple[Peers, Peers], target: str) -> None:
    """Guards against replies that are lost or assigned to another request."""
    for after in (5, 6):
        reply = pair[0].call(target, PullConfiguration(after), CALL_TIMEOUT_S)
        assert reply == Acknowledgement(after == 5)


def test_blocked_zone_is_unreachable_until_unblocked(pair: tuple[Peers, Peers]) -> None:
    """Guards against messages to a blocked zone, and a block that outlives its end."""
    pair[0].blocked_zones = frozenset({"zone-b"})
    with pytest.raises(PeerUnreachable):
        pair[0].call("b", PullConfiguration(5), CALL_TIMEOUT_S)
    pair[0].blocked_zones = frozenset()
    reply = pair[0].call("b", PullConfiguration(5), CALL_TIMEOUT_S)
    assert reply == Acknowledgement(True)


def test_missing_reply_means_outcome_unknown(pair: tuple[Peers, Peers]) -> None:
    """Guards against a request without reply that is reported as not sent."""
    with pytest.raises(PeerOutcomeUnknown):
        pair[0].call("b", PullPlan("r", 1), 0.01)


def test_server_survives_bad_frames(pair: tuple[Peers, Peers]) -> None:
    """Guards against malformed frames that stop the server for other connections."""
    address = split_address(pair[1].server.address)
    for data in (struct.pack(">I", 2**31), struct.pack(">I", 8) + b"\xff" * 8):
        with socket.create_connection(address) as connection:
            connection.sendall(data)
            assert connection.recv(1) == b""
    reply = pair[0].call("b", PullConfiguration(5), CALL_TIMEOUT_S)
    assert reply == Acknowledgement(True)
