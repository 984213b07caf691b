"""Messages that every task with an inbox understands."""

from dataclasses import dataclass

from sesameladder.peering import Message, PeerIdentity, SendReply


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of a peer for the task."""

    sender: PeerIdentity
    message: Message
    reply: SendReply


@dataclass(frozen=True, slots=True)
class Stop:
    """Ends the task."""
