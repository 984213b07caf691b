"""What was seen while a load was played."""

from collections.abc import Mapping
from enum import StrEnum
from threading import Lock

from sesameladder.load._schedule import CallKind


class Answer(StrEnum):
    """What became of a call."""

    SERVED = "served"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """The outcome could not be told in time (504)."""

    LEFT = "left"
    """The client left without waiting for the answer."""

    BROKEN = "broken"
    """The connection ended without an answer."""

    FAILED = "failed"
    """Any other status."""

    @classmethod
    def from_status(cls, status: int) -> "Answer":
        """Return what an HTTP status says; 410 is an answer about an ended job."""
        if status in (200, 410):
            return cls.SERVED
        return {503: cls.REFUSED, 504: cls.UNKNOWN}.get(status, cls.FAILED)


class Sample:
    """One call; times are in seconds from the start of the load."""

    __slots__ = ("answer", "at_s", "kind", "latency_s", "stream", "tries")

    def __init__(
        self,
        stream: str,
        kind: CallKind,
        at_s: float,
        latency_s: float,
        answer: Answer,
        tries: int,
    ) -> None:
        self.stream = stream
        self.kind = kind
        self.at_s = at_s
        """Time at which the call was due; a busy client sends it later."""

        self.latency_s = latency_s
        """Time from then until the answer of the last try."""

        self.answer = answer
        """What became of the last try."""

        self.tries = tries


class StoreUse:
    """Use of the store in one interval, and the jobs that waited at its end."""

    __slots__ = ("at_s", "calls", "waiting")

    def __init__(self, at_s: float, calls: Mapping[str, float], waiting: int) -> None:
        self.at_s = at_s
        self.calls = calls
        """Calls a second by kind, and refused ones as ``refused write`` and so on."""

        self.waiting = waiting
        """Accepted jobs that had not started."""


class Record:
    """All that was seen; ``add`` may be called by any thread."""

    __slots__ = (
        "kills",
        "lock",
        "peak_memory_mb",
        "role_changes",
        "samples",
        "store_use",
        "unasked",
        "unfinished",
    )

    def __init__(self) -> None:
        self.lock = Lock()
        self.samples: list[Sample] = []
        self.store_use: list[StoreUse] = []
        self.kills = 0
        """Owners that were killed."""

        self.role_changes = 0
        """Times that a role was taken after the start of the load."""

        self.unfinished: dict[str, str] = {}
        """State of each accepted job that had not ended in time, by job."""

        self.unasked = 0
        """Accepted jobs whose state there was no time to ask for."""

        self.peak_memory_mb = 0.0
        """Greatest resident memory of a node, in MB."""

    def add(self, sample: Sample) -> None:
        """Add a call."""
        with self.lock:
            self.samples.append(sample)
