"""Errors of calls to the platform."""


class PlatformCallError(Exception):
    """Base class of failed calls to the platform or to a worker."""


class CallNotSent(PlatformCallError):
    """No connection was made; the call took no effect."""


class OutcomeUnknown(PlatformCallError):
    """The call was sent and not answered; it may take effect, also later."""


class UnexpectedResponse(PlatformCallError):
    """The answer does not have the published form."""


class CallRejected(PlatformCallError):
    """The store turned the call away; it took no effect."""


class RevisionExpired(PlatformCallError):
    """The store no longer has the changes after the revision asked for."""


class LeaseNotFound(PlatformCallError):
    """The store does not know the lease."""


class SettingsInvalid(PlatformCallError):
    """The settings file lacks a field or has one of another form."""


class RecordInvalid(PlatformCallError):
    """A stored record or request body does not have the published form."""
