"""Errors of calls to the platform and to workers."""


class PlatformError(Exception):
    """Base class of the errors that calls to the platform or to a worker raise."""


class StoreUnavailable(PlatformError):
    """The store could not be reached or can't serve; the call took no effect."""


class StoreOutcomeUnknown(PlatformError):
    """The call was sent but got no usable response; it may have taken effect."""


class StoreCallRejected(PlatformError):
    """The store rejected the call as invalid, for example a value that is too large."""


class WorkerUnavailable(PlatformError):
    """A worker's task interface gave no usable response."""
