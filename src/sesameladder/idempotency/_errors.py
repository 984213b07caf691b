"""Errors of the idempotency layer."""


class IdempotencyError(Exception):
    """Base class of the idempotency layer's errors."""


class TokenMalformed(IdempotencyError):
    """A text is not a valid idempotency token of this format version."""


class HandoverMalformed(IdempotencyError):
    """Received bytes are not a valid chunk of a home table."""
