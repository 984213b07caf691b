"""Errors of the peering layer."""


class PeeringError(Exception):
    """Base class of the peering layer's errors."""


class FrameInvalid(PeeringError):
    """A frame is too long, malformed, or of another deployment or format."""


class PeerUnreachable(PeeringError):
    """The message was not sent; the peer did not act on it."""


class PeerOutcomeUnknown(PeeringError):
    """The message was sent, but no answer came; the peer may have acted on it."""
