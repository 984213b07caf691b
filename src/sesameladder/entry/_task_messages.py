"""Messages that several tasks with an inbox accept."""

from dataclasses import dataclass

from sesameladder.peering import Message, PeerIdentity, SendReply


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from a peer and the callback that answers it."""

    sender: PeerIdentity
    message: Message
    reply: SendReply


@dataclass(frozen=True, slots=True)
class Stop:
    """Ends the message loop of the task."""
