"""Accepts connections from peers and passes their messages to a handler."""

import logging
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from queue import Full, Queue
from threading import Lock, Thread
from typing import Protocol

from sesameladder.model import PeerIdentity
from sesameladder.peering._codec import (
    MAX_FRAME_BYTES,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from sesameladder.peering._errors import FrameInvalid
from sesameladder.peering._framing import (
    FrameMemory,
    await_data,
    receive_frame,
    send_frame,
)
from sesameladder.peering._identity import split_address
from sesameladder.peering._messages import Message
from sesameladder.request_limits import Cause, ConnectionLimits, RefusalLog

ACCEPT_BACKLOG = 64
MAX_CONNECTIONS = 256  # each instance opens one to each other instance
# Two frames of the greatest size. An instance idles at 57 MB, a VM has 200 MB.
MAX_FRAMES_BYTES = 2 * MAX_FRAME_BYTES
FIRST_FRAME_TIMEOUT_S = 10.0  # peers connect when they have a message to send
FRAME_TIMEOUT_S = 60.0  # the greatest frame takes 27 s at 5 Mbit/s
SEND_TIMEOUT_S = 60.0
MAX_QUEUED_REPLIES = 1000  # of one connection, whose peer doesn't read them
NO_DESCRIPTOR_PAUSE_S = 0.05  # accepting fails at once until one is free
MAX_LOGGED_REFUSALS = 1000  # reasons quote what peers send

logger = logging.getLogger(__name__)

SendReply = Callable[[Message], None]


class MessageHandler(Protocol):
    """Receives a peer's message.

    The handler calls ``reply`` at most once, from any thread.
    """

    def __call__(
        self, sender: PeerIdentity, message: Message, reply: SendReply
    ) -> None: ...


class _Connection:
    """An accepted connection."""

    __slots__ = ("address", "has_identified", "last_used_at", "replies", "socket")

    def __init__(self, accepted: socket.socket, address: str) -> None:
        self.socket = accepted
        self.address = address
        self.has_identified = False
        """Whether a message of this deployment has arrived."""

        self.last_used_at = time.monotonic()
        self.replies: Queue[bytes | None] | None = None


class PeerServer:
    """Serves the instance's peer address, with up to two threads a connection.

    Beyond the limits of connections, the one is closed that has been silent longest;
    those that have sent no message of the deployment come first.
    """

    __slots__ = (
        "connections",
        "deployment",
        "frame_memory",
        "handler",
        "identity",
        "is_blocked",
        "limits",
        "listener",
        "lock",
        "logged_refusals",
        "refusals",
    )

    def __init__(
        self,
        deployment: str,
        identity: PeerIdentity,
        address: str,
        handler: MessageHandler,
        is_blocked: Callable[[str], bool],
        count_refusal: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Bind the address; ``count_refusal`` gets the cause of each refusal."""
        self.deployment = deployment
        self.identity = identity
        self.handler = handler
        self.is_blocked = is_blocked
        self.listener = socket.create_server(
            split_address(address), backlog=ACCEPT_BACKLOG
        )
        self.connections: set[_Connection] = set()
        self.limits = ConnectionLimits.for_process(MAX_CONNECTIONS)
        self.frame_memory = FrameMemory(MAX_FRAMES_BYTES)
        self.refusals = RefusalLog(count_refusal, _log_refused, time.monotonic)
        self.logged_refusals: set[str] = set()
        self.lock = Lock()

    @property
    def address(self) -> str:
        """The ``ip:port`` that the server listens on."""
        host, port = self.listener.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Start to accept connections."""
        Thread(target=self._accept_connections, name="peer-accept", daemon=True).start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        _close(self.listener)
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            _close(connection.socket)

    def _accept_connections(self) -> None:
        while True:
            try:
                accepted, address = self.listener.accept()
            except ConnectionError:
                continue  # the peer has gone
            except OSError:
                if self.listener.fileno() < 0:
                    return
                # No descriptor is free.
                with self.lock:
                    candidates = list(self.connections)
                if not candidates:
                    return
                self._evict(Cause.CONNECTIONS, candidates)
                time.sleep(NO_DESCRIPTOR_PAUSE_S)
                continue
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            accepted.settimeout(SEND_TIMEOUT_S)
            connection = _Connection(accepted, str(address[0]))
            self._make_room(connection.address)
            with self.lock:
                self.connections.add(connection)
            Thread(
                target=self._serve_connection,
                args=(connection,),
                name="peer-in",
                daemon=True,
            ).start()

    def _make_room(self, address: str) -> None:
        with self.lock:
            connections = list(self.connections)
        same = [c for c in connections if c.address == address]
        if len(same) >= self.limits.connections_per_address:
            self._evict(Cause.ADDRESS_CONNECTIONS, same)
        elif len(connections) >= self.limits.connections:
            self._evict(Cause.CONNECTIONS, connections)

    def _evict(self, cause: Cause, candidates: list[_Connection]) -> None:
        evicted = min(candidates, key=lambda c: (c.has_identified, c.last_used_at))
        self.refusals.record(cause, "closed for another connection", evicted.address)
        with self.lock:
            self.connections.discard(evicted)
        with suppress(OSError):
            # Its reading thread closes it.
            evicted.socket.shutdown(socket.SHUT_RDWR)

    def _serve_connection(self, connection: _Connection) -> None:
        try:
            self._read_messages(connection)
        except FrameInvalid as error:
            self._log_refusal_once(connection, str(error))
        except TimeoutError:
            self.refusals.record(
                Cause.BODY_TIMEOUT, "no whole frame in time", connection.address
            )
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            _close(connection.socket)
            if connection.replies is not None:
                with suppress(Full):  # the writer fails at the closed socket
                    connection.replies.put_nowait(None)

    def _read_messages(self, connection: _Connection) -> None:
        while (data := self._receive_frame(connection)) is not None:
            envelope = decode_envelope(self.deployment, data)
            if self.is_blocked(envelope.sender):
                return
            connection.has_identified = True
            connection.last_used_at = time.monotonic()
            sender = PeerIdentity(envelope.sender, envelope.incarnation)
            self.handler(
                sender,
                envelope.message,
                self._make_reply_callback(envelope, self._start_writer(connection)),
            )

    def _receive_frame(self, connection: _Connection) -> bytearray | None:
        """Return the next frame; a peer that has identified itself may be silent."""
        await_data(
            connection.socket,
            None if connection.has_identified else FIRST_FRAME_TIMEOUT_S,
        )
        timeout_s = (
            FRAME_TIMEOUT_S if connection.has_identified else FIRST_FRAME_TIMEOUT_S
        )
        return receive_frame(connection.socket, timeout_s, self.frame_memory)

    def _start_writer(self, connection: _Connection) -> "Queue[bytes | None]":
        """Return the queue of replies, whose thread starts with the first message."""
        if connection.replies is None:
            connection.replies = Queue(MAX_QUEUED_REPLIES)
            Thread(
                target=_write_replies,
                args=(connection.socket, connection.replies),
                name="peer-reply",
                daemon=True,
            ).start()
        return connection.replies

    def _make_reply_callback(
        self, request: Envelope, replies: "Queue[bytes | None]"
    ) -> SendReply:
        def reply(message: Message) -> None:
            if request.correlation == 0 or self.is_blocked(request.sender):
                return
            reply_envelope = Envelope(
                self.identity.instance,
                self.identity.incarnation,
                request.correlation,
                True,
                message,
            )
            data = encode_envelope(self.deployment, reply_envelope)
            try:
                replies.put_nowait(data)
            except Full:
                self.refusals.record(
                    Cause.RESPONSE_TIMEOUT, "replies are not read", request.sender
                )

        return reply

    def _log_refusal_once(self, connection: _Connection, reason: str) -> None:
        peer = connection.address
        key = f"{peer} {reason}"
        with self.lock:
            if key in self.logged_refusals:
                return
            if len(self.logged_refusals) >= MAX_LOGGED_REFUSALS:
                return
            self.logged_refusals.add(key)
        logger.warning(
            "refused a peer's message",
            extra={"event": "peer_message_refused", "peer": peer, "reason": reason},
        )


def _write_replies(connection: socket.socket, replies: "Queue[bytes | None]") -> None:
    while (data := replies.get()) is not None:
        try:
            send_frame(connection, data)
        except OSError:
            _close(connection)
            return


def _log_refused(cause: str, reason: str, address: str, number: int) -> None:
    logger.warning(
        "closed a peer's connection",
        extra={
            "event": "connection_refused",
            "event_fields": {
                "server": "peer",
                "cause": cause,
                "reason": reason,
                "client": address,
                "count": number,
            },
        },
    )


def _close(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
