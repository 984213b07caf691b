"""An outgoing connection to one peer, opened when a message has to be sent."""

import socket
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress
from itertools import count
from queue import SimpleQueue
from threading import Lock, Thread

from sesameladder.model import PeerIdentity
from sesameladder.peering._codec import Envelope, decode_envelope, encode_envelope
from sesameladder.peering._errors import (
    FrameInvalid,
    PeerOutcomeUnknown,
    PeerUnreachable,
)
from sesameladder.peering._framing import receive_frame, send_frame
from sesameladder.peering._identity import PeerAddress, split_address
from sesameladder.peering._messages import Message

CONNECT_TIMEOUT_S = 0.5


class PeerLink:
    """Sends requests and one-way messages to one peer.

    A writer thread opens the connection and sends the messages. A reader thread for
    each connection completes the futures of the pending requests.
    """

    __slots__ = (
        "connection",
        "deployment",
        "identity",
        "is_blocked",
        "lock",
        "outbox",
        "peer",
        "pending_replies",
        "request_numbers",
    )

    def __init__(
        self,
        deployment: str,
        identity: PeerIdentity,
        peer: PeerAddress,
        is_blocked: Callable[[str], bool],
    ) -> None:
        self.deployment = deployment
        self.identity = identity
        self.peer = peer
        self.is_blocked = is_blocked
        self.outbox: SimpleQueue[tuple[int, Message] | None] = SimpleQueue()
        self.pending_replies: dict[int, Future[Message]] = {}
        self.connection: socket.socket | None = None
        self.lock = Lock()
        self.request_numbers = count(1)

    def start(self) -> None:
        """Start the writer thread."""
        Thread(target=self._run_writer, name="peer-out", daemon=True).start()

    def stop(self) -> None:
        """Send the queued messages, then close the connection and end the writer."""
        self.outbox.put(None)

    def send(self, message: Message) -> None:
        """Queue a one-way message; it is dropped if the peer can't be reached."""
        self.outbox.put((0, message))

    def request(self, message: Message) -> "Future[Message]":
        """Queue a request and return the future of its reply.

        The future fails with ``PeerUnreachable`` if the request was not sent, and
        with ``PeerOutcomeUnknown`` if the connection fails before the reply.
        """
        number = next(self.request_numbers)
        future: Future[Message] = Future()
        with self.lock:
            self.pending_replies[number] = future
        self.outbox.put((number, message))
        return future

    def discard_request(self, future: "Future[Message]") -> None:
        """Remove a pending request; its reply is ignored if it still arrives."""
        with self.lock:
            numbers = [
                n for n, other in self.pending_replies.items() if other is future
            ]
            for number in numbers:
                del self.pending_replies[number]

    def _run_writer(self) -> None:
        while (item := self.outbox.get()) is not None:
            self._send_envelope(*item)
        self._close_connection()

    def _send_envelope(self, number: int, message: Message) -> None:
        if self.is_blocked(self.peer.instance):
            self._fail_request(
                number, PeerUnreachable(f"{self.peer.instance} is blocked")
            )
            self._close_connection()
            return
        try:
            connection = self._connect()
        except OSError as error:
            self._fail_request(
                number, PeerUnreachable(f"{self.peer.instance}: {error}")
            )
            return
        envelope = Envelope(
            self.identity.instance, self.identity.incarnation, number, False, message
        )
        try:
            send_frame(connection, encode_envelope(self.deployment, envelope))
        except OSError as error:
            self._fail_request(
                number, PeerOutcomeUnknown(f"{self.peer.instance}: {error}")
            )
            self._close_connection()

    def _connect(self) -> socket.socket:
        if self.connection is not None:
            return self.connection
        connection = socket.create_connection(
            split_address(self.peer.address), timeout=CONNECT_TIMEOUT_S
        )
        connection.settimeout(None)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection = connection
        Thread(
            target=self._run_reader,
            args=(connection,),
            name="peer-answers",
            daemon=True,
        ).start()
        return connection

    def _run_reader(self, connection: socket.socket) -> None:
        reason = "connection closed"
        try:
            while (data := receive_frame(connection)) is not None:
                envelope = decode_envelope(self.deployment, data)
                if self.is_blocked(envelope.sender):
                    break
                self._complete_request(envelope)
        except (OSError, FrameInvalid) as error:
            reason = str(error)
        if self.connection is connection:
            self.connection = None
        connection.close()
        self._fail_pending_requests(
            PeerOutcomeUnknown(f"{self.peer.instance}: {reason}")
        )

    def _complete_request(self, envelope: Envelope) -> None:
        with self.lock:
            future = self.pending_replies.pop(envelope.correlation, None)
        if future is not None and envelope.is_reply:
            future.set_result(envelope.message)

    def _fail_request(self, number: int, error: Exception) -> None:
        with self.lock:
            future = self.pending_replies.pop(number, None)
        if future is not None:
            future.set_exception(error)

    def _fail_pending_requests(self, error: Exception) -> None:
        with self.lock:
            futures = list(self.pending_replies.values())
            self.pending_replies.clear()
        for future in futures:
            future.set_exception(error)

    def _close_connection(self) -> None:
        connection = self.connection
        self.connection = None
        if connection is not None:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
