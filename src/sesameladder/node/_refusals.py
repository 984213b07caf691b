"""Bounded log lines for inputs that are passed over again and again."""

from collections import OrderedDict

from sesameladder.node._telemetry import log_failure, log_warning

MAX_REMEMBERED_REFUSALS = 1000  # about 200 KB of names and reasons


class RefusalLog:
    """Logs why an input was passed over, once for each reason.

    Workers write their entry every second and lists are read several times a second,
    so an odd one would otherwise fill the log. Two threads at once may log a reason
    twice.
    """

    __slots__ = ("event", "reasons")

    def __init__(self, event: str) -> None:
        self.event = event
        self.reasons: OrderedDict[str, str] = OrderedDict()
        """Latest reason, by name of the input."""

    def record(self, name: str, reason: str, **fields: object) -> None:
        """Log that an input was refused, unless the reason is the same as before."""
        if self._is_new(name, reason):
            log_warning(self.event, error=reason, **fields)

    def record_failure(self, name: str, error: Exception, **fields: object) -> None:
        """Log an unexpected error about an input; called from its handler."""
        if self._is_new(name, repr(error)):
            log_failure(self.event, **fields)

    def clear(self, name: str) -> None:
        """Forget an input that was accepted."""
        self.reasons.pop(name, None)

    def _is_new(self, name: str, reason: str) -> bool:
        is_new = self.reasons.get(name) != reason
        self.reasons[name] = reason
        if len(self.reasons) > MAX_REMEMBERED_REFUSALS:
            self.reasons.popitem(last=False)
        return is_new
