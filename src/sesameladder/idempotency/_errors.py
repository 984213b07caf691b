"""Errors of the idempotency layer."""


class IdempotencyError(Exception):
    """Base class of the idempotency layer's errors."""


class TokenMalformed(IdempotencyError):
    """A text is not an idempotency token of this version."""


class HandoverMalformed(IdempotencyError):
    """Received bytes are not a part of a home table."""
