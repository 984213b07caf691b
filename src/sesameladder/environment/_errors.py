"""Errors of the platform layer."""


class PlatformError(Exception):
    """Base class of the platform layer's errors."""


class StoreUnavailable(PlatformError):
    """The store was not reached; the call took no effect."""


class StoreOutcomeUnknown(PlatformError):
    """The call was sent but its answer was lost; it may have taken effect."""


class StoreCallRejected(PlatformError):
    """The store rejected the call as invalid, for example over the size limit."""


class WorkerUnavailable(PlatformError):
    """A worker's task interface did not answer."""
