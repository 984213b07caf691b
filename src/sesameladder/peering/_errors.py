"""Errors of messages between entry instances."""


class PeeringError(Exception):
    """Base class of the errors of messages between entry instances."""


class FrameInvalid(PeeringError):
    """A frame is too long, malformed, or of another deployment or format version."""


class PeerUnreachable(PeeringError):
    """The message was not sent, so the peer did not act on it."""


class PeerOutcomeUnknown(PeeringError):
    """The message was sent but got no reply; the peer may have acted on it."""
