"""Messages of an instance to all instances by their ids."""

from collections.abc import Callable, Iterable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from sesameladder.model import PeerIdentity
from sesameladder.peering._errors import PeerOutcomeUnknown, PeerUnreachable
from sesameladder.peering._identity import PeerAddress
from sesameladder.peering._link import PeerLink
from sesameladder.peering._messages import Failure, Message
from sesameladder.peering._server import MessageHandler, PeerServer


class Peers:
    """Sends messages to any configured instance.

    Messages to the own instance go directly to its handler.
    """

    __slots__ = ("addresses", "blocked_zones", "handler", "identity", "links", "server")

    def __init__(
        self,
        deployment: str,
        identity: PeerIdentity,
        addresses: Iterable[PeerAddress],
        handler: MessageHandler,
        count_refusal: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Bind the own address; ``count_refusal`` gets the cause of each refusal."""
        self.identity = identity
        self.handler = handler
        self.addresses = {address.instance: address for address in addresses}
        self.blocked_zones: frozenset[str] = frozenset()
        own_address = self.addresses[identity.instance]
        self.server = PeerServer(
            deployment,
            identity,
            own_address.address,
            handler,
            self.is_blocked,
            count_refusal,
        )
        self.links = {
            instance: PeerLink(deployment, identity, address, self.is_blocked)
            for instance, address in self.addresses.items()
            if instance != identity.instance
        }

    def start(self) -> None:
        """Start to accept connections and to send messages."""
        self.server.start()
        for link in self.links.values():
            link.start()

    def stop(self) -> None:
        """Close all connections."""
        self.server.stop()
        for link in self.links.values():
            link.stop()

    def is_blocked(self, instance: str) -> bool:
        """Return whether fault injection blocks messages to and from an instance."""
        address = self.addresses.get(instance)
        return address is not None and address.zone in self.blocked_zones

    def list_zone_peers(self, zone: str) -> list[str]:
        """Return the sorted ids of the other instances of a zone."""
        return [
            instance
            for instance, address in sorted(self.addresses.items())
            if address.zone == zone and instance != self.identity.instance
        ]

    def send(self, instance: str, message: Message) -> None:
        """Send a one-way message; it is dropped if the peer can't be reached."""
        if instance == self.identity.instance:
            self.handler(self.identity, message, _ignore_reply)
            return
        link = self.links.get(instance)
        if link is not None:
            link.send(message)

    def request(self, instance: str, message: Message) -> "Future[Message]":
        """Send a request and return the future of its reply."""
        if instance == self.identity.instance:
            future: Future[Message] = Future()
            self.handler(self.identity, message, future.set_result)
            return future
        if instance not in self.links:
            failed: Future[Message] = Future()
            failed.set_exception(PeerUnreachable(f"{instance} is not configured"))
            return failed
        return self.links[instance].request(message)

    def call(self, instance: str, message: Message, timeout: float) -> Message:
        """Send a request and return its reply.

        Raises ``PeerUnreachable`` if the request was not sent, and
        ``PeerOutcomeUnknown`` if no reply arrived within ``timeout`` seconds, the
        connection failed, or the peer replied with ``Failure``.
        """
        future = self.request(instance, message)
        try:
            reply = future.result(timeout)
        except FutureTimeoutError as error:
            self._discard_request(instance, future)
            raise PeerOutcomeUnknown(f"{instance}: no answer in {timeout} s") from error
        if isinstance(reply, Failure):
            raise PeerOutcomeUnknown(f"{instance}: {reply.reason}")
        return reply

    def _discard_request(self, instance: str, future: "Future[Message]") -> None:
        if instance in self.links:
            self.links[instance].discard_request(future)


def _ignore_reply(_message: Message) -> None:
    """Ignore the reply to a one-way message."""
