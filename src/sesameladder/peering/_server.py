"""Accepts connections from peers and passes their messages to a handler."""

import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from queue import SimpleQueue
from threading import Lock, Thread
from typing import Protocol

from sesameladder.model import PeerIdentity
from sesameladder.peering._codec import Envelope, decode_envelope, encode_envelope
from sesameladder.peering._errors import FrameInvalid
from sesameladder.peering._framing import receive_frame, send_frame
from sesameladder.peering._identity import split_address
from sesameladder.peering._messages import Message

ACCEPT_BACKLOG = 64

logger = logging.getLogger(__name__)

SendReply = Callable[[Message], None]


class MessageHandler(Protocol):
    """Receives a peer's message.

    The handler calls ``reply`` at most once, from any thread.
    """

    def __call__(
        self, sender: PeerIdentity, message: Message, reply: SendReply
    ) -> None: ...


class PeerServer:
    """Serves the instance's peer address, with two threads for each connection."""

    __slots__ = (
        "connections",
        "deployment",
        "handler",
        "identity",
        "is_blocked",
        "listener",
        "lock",
        "logged_refusals",
    )

    def __init__(
        self,
        deployment: str,
        identity: PeerIdentity,
        address: str,
        handler: MessageHandler,
        is_blocked: Callable[[str], bool],
    ) -> None:
        self.deployment = deployment
        self.identity = identity
        self.handler = handler
        self.is_blocked = is_blocked
        self.listener = socket.create_server(
            split_address(address), backlog=ACCEPT_BACKLOG
        )
        self.connections: set[socket.socket] = set()
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
            _close(connection)

    def _accept_connections(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            Thread(
                target=self._serve_connection,
                args=(connection,),
                name="peer-in",
                daemon=True,
            ).start()

    def _serve_connection(self, connection: socket.socket) -> None:
        replies: SimpleQueue[bytes | None] = SimpleQueue()
        Thread(
            target=_write_replies,
            args=(connection, replies),
            name="peer-reply",
            daemon=True,
        ).start()
        try:
            self._read_messages(connection, replies)
        except FrameInvalid as error:
            self._log_refusal_once(connection, str(error))
        except OSError:
            pass
        finally:
            replies.put(None)
            with self.lock:
                self.connections.discard(connection)
            _close(connection)

    def _read_messages(
        self, connection: socket.socket, replies: "SimpleQueue[bytes | None]"
    ) -> None:
        while (data := receive_frame(connection)) is not None:
            envelope = decode_envelope(self.deployment, data)
            if self.is_blocked(envelope.sender):
                return
            sender = PeerIdentity(envelope.sender, envelope.incarnation)
            self.handler(
                sender, envelope.message, self._make_reply_callback(envelope, replies)
            )

    def _make_reply_callback(
        self, request: Envelope, replies: "SimpleQueue[bytes | None]"
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
            replies.put(encode_envelope(self.deployment, reply_envelope))

        return reply

    def _log_refusal_once(self, connection: socket.socket, reason: str) -> None:
        try:
            peer = str(connection.getpeername()[0])
        except OSError:
            peer = "unknown"
        key = f"{peer} {reason}"
        with self.lock:
            if key in self.logged_refusals:
                return
            self.logged_refusals.add(key)
        logger.warning(
            "refused a peer's message",
            extra={"event": "peer_message_refused", "peer": peer, "reason": reason},
        )


def _write_replies(
    connection: socket.socket, replies: "SimpleQueue[bytes | None]"
) -> None:
    while (data := replies.get()) is not None:
        try:
            send_frame(connection, data)
        except OSError:
            _close(connection)
            return


def _close(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
