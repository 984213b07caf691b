"""Runs of subtasks on workers, and the room that they leave."""

from dataclasses import dataclass, field

from sesameladder.jobs._book import Subtask
from sesameladder.jobs._model import Resources, SubtaskId, WorkerRecord

FAILURES_UNTIL_EJECTED = 3  # in a row; a healthy worker fails about 1 run in 300
FIRST_EJECTION_S = 2.0  # a faulty worker recovers within 5 to 7 s; probes find it
MAX_EJECTION_S = 8.0
FAILED_REPORTS_UNTIL_UNRESPONSIVE = 1  # a report that fails has waited 0.8 s already


@dataclass(slots=True, eq=False)
class Run:
    """One run that is, or may be, present on a worker."""

    subtask: Subtask
    number: int
    worker: "WorkerView"
    sent_at: float
    """Steady time at which the start was first sent."""

    confirmed_at: float | None = None
    """Steady time at which the worker was known to have it."""

    was_unanswered: bool = False
    """Whether a copy of the start may still arrive at the worker."""

    is_refused: bool = False
    """Whether it is only kept until the worker bars late copies."""

    stopping_since: float | None = None
    stop_sent_at: float = 0.0
    stop_answered_at: float | None = None
    retry_at: float | None = None
    """When to repeat an unanswered start."""

    progress_percent: int = 0
    load: int = 0
    pace_percent: int = 100
    """Share of its speed that the run was told to work at."""

    over_target_since: float | None = None
    progress_at: float = 0.0
    """Steady time at which ``percent`` last rose."""


@dataclass(slots=True, eq=False)
class WorkerView:
    """One life of a worker as the pool's owner sees it."""

    record: WorkerRecord
    runs: dict[SubtaskId, Run] = field(default_factory=dict)
    used_cpu_millis: int = 0
    used_memory_mb: int = 0
    used_gpus: int = 0
    has_reported: bool = False
    """Whether its lists have been read since this owner took over."""

    is_listed: bool = True
    """Whether the list of workers still has it."""

    drain_reason: str = ""
    """Why no new work goes there by this system's own decision."""

    failed_reports: int = 0
    lease_expires_at: float = 0.0
    """Steady time by which all leases granted so far have lapsed for sure."""

    unresolved_starts: dict[tuple[SubtaskId, int], float] = field(default_factory=dict)
    """Starts that may still arrive, with the time at which each was given up.

    A worker takes a late start whenever its lease runs, whatever lease the start
    names; the lease stays lapsed until stops have barred them.
    """

    last_applied_end: int = 0
    """Number of the last end that was taken into account."""

    consecutive_failures: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    full_until: float = 0.0
    """Until when a refusal for want of room is believed."""

    slowness: float = 1.0
    """Observed duration of runs as a multiple of the expected one."""

    @property
    def id(self) -> str:
        """Return the worker's identifier."""
        return self.record.worker

    @property
    def capacity(self) -> Resources:
        """Return the worker's room when it runs nothing."""
        return self.record.capacity

    @property
    def rack(self) -> str:
        """Return the label of the rack."""
        labels = self.record.labels
        return labels[1] if len(labels) > 1 else ""

    @property
    def free_cpu_millis(self) -> int:
        """Return the millicores that are left."""
        return self.record.capacity.cpu_millis - self.used_cpu_millis

    def accepts_work(self, now: float) -> bool:
        """Return whether new runs may be sent there."""
        return (
            self.has_reported
            and self.is_listed
            and not self.record.is_draining
            and not self.drain_reason
            and not self.unresolved_starts
            and self.failed_reports < FAILED_REPORTS_UNTIL_UNRESPONSIVE
            and now >= self.ejected_until
            and now >= self.full_until
        )

    def has_room(self, needs: Resources, is_best_effort: bool) -> bool:
        """Return whether a subtask fits; one that fills takes no processor."""
        capacity = self.record.capacity
        return (
            (
                is_best_effort
                or self.used_cpu_millis + needs.cpu_millis <= capacity.cpu_millis
            )
            and self.used_memory_mb + needs.memory_mb <= capacity.memory_mb
            and self.used_gpus + needs.gpus <= capacity.gpus
        )

    def has_long_running(self) -> bool:
        """Return whether a subtask that lasts may be there."""
        return any(run.subtask.step.spec.is_long_running for run in self.runs.values())

    def add(self, run: Run) -> None:
        """Count a run's share of the worker."""
        self.runs[run.subtask.id] = run
        self._change_usage(run, 1)

    def remove(self, run: Run) -> None:
        """Return a run's share."""
        if self.runs.get(run.subtask.id) is run:
            del self.runs[run.subtask.id]
            self._change_usage(run, -1)

    def record_success(self) -> None:
        """Take a run that ended done into account."""
        self.consecutive_failures = 0
        self.ejections = 0

    def record_failure(self, now: float) -> bool:
        """Take a failed run into account; True when the worker is ejected."""
        self.consecutive_failures += 1
        if self.consecutive_failures < FAILURES_UNTIL_EJECTED:
            return False
        pause_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejected_until = now + pause_s
        self.ejections += 1
        # One more failure after the pause ejects it again.
        self.consecutive_failures = FAILURES_UNTIL_EJECTED - 1
        return True

    def _change_usage(self, run: Run, sign: int) -> None:
        spec = run.subtask.step.spec
        if not spec.is_best_effort:
            self.used_cpu_millis += sign * spec.needs.cpu_millis
        self.used_memory_mb += sign * spec.needs.memory_mb
        self.used_gpus += sign * spec.needs.gpus
