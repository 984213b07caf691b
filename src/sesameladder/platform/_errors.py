"""Exceptions of calls to the platform and of decoding its documents."""

from collections.abc import Iterator
from contextlib import contextmanager

MAX_ERROR_CHARACTERS = 200  # an error may quote the whole document

MALFORMED = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Errors that arise when a body without the published form is decoded.

A number such as 1e999 is read as infinite and raises ``OverflowError``; lists nested
a thousand deep raise ``RecursionError``.
"""


class PlatformCallError(Exception):
    """Base class of failed calls to the platform or to a worker."""


class CallNotSent(PlatformCallError):
    """No connection was established, so the call had no effect."""


class NoTimeLeft(CallNotSent):
    """The call was not made: its process ends before a response could arrive."""


class OutcomeUnknown(PlatformCallError):
    """The call was sent, but no response tells its effect; it may take one later."""


class ConnectionLost(OutcomeUnknown):
    """The connection ended before a response; its peer has ended, or has reset it."""


class UnexpectedResponse(PlatformCallError):
    """The response is malformed, or its status is 400 or 403."""


class ResponseUnreadable(UnexpectedResponse, OutcomeUnknown):
    """The body of the response is malformed, so it doesn't tell the call's effect."""


class ResponseTooLarge(ResponseUnreadable):
    """The response was not read whole, since it is larger than any peer sends."""


class FieldInvalid(ValueError):
    """A field does not have the published type, or is out of range."""


class LimitExceeded(FieldInvalid):
    """A field is well-formed, but exceeds what the system carries."""


@contextmanager
def decoding_response(sender: str) -> Iterator[None]:
    """Raise ``UnexpectedResponse`` if the decoding of a response fails."""
    try:
        yield
    except MALFORMED as error:
        raise UnexpectedResponse(
            f"a response of {sender} is malformed: {error!r}"
        ) from error


class CallRejected(PlatformCallError):
    """The platform rejected the call, which had no effect."""


class RateExceeded(CallRejected):
    """The store takes no more calls in this second from all processes together."""


class RevisionExpired(PlatformCallError):
    """The store no longer keeps the changes after the requested revision."""


class LeaseNotFound(PlatformCallError):
    """The store does not know the lease."""


class SettingsInvalid(PlatformCallError):
    """The settings file can't be read, lacks a key or has an invalid value."""


class RecordInvalid(PlatformCallError):
    """A stored record or request body does not have the published form."""


class RecordTooLarge(RecordInvalid):
    """A stored record or request body asks for more than the system carries."""


@contextmanager
def decoding_record(record: str) -> Iterator[None]:
    """Raise ``RecordInvalid`` if the decoding of a record fails.

    ``record`` names it in the error.
    """
    try:
        yield
    except LimitExceeded as error:
        raise RecordTooLarge(f"{record}: {error}") from error
    except FieldInvalid as error:
        raise RecordInvalid(f"{record}: {error}") from error
    except UnicodeDecodeError as error:
        # Its representation quotes the document, which may hold keys.
        raise RecordInvalid(f"{record} is malformed: {error}") from error
    except MALFORMED as error:
        reason = repr(error)[:MAX_ERROR_CHARACTERS]
        raise RecordInvalid(f"{record} is malformed: {reason}") from error
