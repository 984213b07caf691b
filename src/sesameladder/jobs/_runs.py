"""Runs of subtasks on workers, and the capacity that they use."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from sesameladder.jobs._job import Subtask
from sesameladder.jobs._model import Resources, SubtaskId, WorkerRecord

FAILURES_UNTIL_EJECTED = 3  # consecutive; a healthy worker fails about 1 run in 300
FIRST_EJECTION_S = 2.0  # a faulty worker recovers within 5 to 7 s; probe runs show it
MAX_EJECTION_S = 8.0
OVERDUE_START_S = 1.0  # an order times out after 0.8 s, those behind it wait as long
YOUNG_RUN_S = 0.1  # a subtask that crashes its worker does so within 10 ms
# An order without a response counts as having arrived if the worker had responded so
# shortly before it was sent.
RECENT_RESPONSE_S = 0.05
FAILED_REPORTS_UNTIL_UNRESPONSIVE = 1  # a failed report has already taken 0.8 s


@dataclass(slots=True, eq=False)
class Run:
    """A run that is present on a worker, or may be.

    All times are in seconds of the steady clock.
    """

    subtask: Subtask
    number: int
    worker: "WorkerView"
    sent_at: float
    """Time at which the start was first sent."""

    confirmed_at: float | None = None
    """Time at which the worker was known to have the run; None before."""

    was_unanswered: bool = False
    """Whether a start got no response; copies of it may still reach the worker."""

    response_age_s: float | None = None
    """Age of the worker's latest response when a start without a response was sent.

    In seconds; the lowest of several such starts. None without one, or after a report
    that would show the run if it had begun.
    """

    unanswered_at: float = 0.0
    """Time at which the latest of these starts was given up."""

    is_superseded: bool = False
    """Whether the worker has responded that this run or a later one has ended."""

    is_rejected: bool = False
    """Whether the start was rejected.

    The run is kept until a stop has blocked the copies that may still arrive.
    """

    stopping_since: float | None = None
    """Time of the first stop; None for a run that is not to be stopped."""

    stop_sent_at: float = 0.0
    """Time at which the stop was last sent."""

    stop_confirmed_at: float | None = None
    """Time at which the worker responded to the latest stop; None before."""

    retry_at: float | None = None
    """Time at which to repeat a start that got no response."""

    progress_percent: int = 0
    load: int = 0
    """Latest load that the worker reported; see ``RunStatus.load``."""

    pace_percent: int = 100
    """Share of its full speed at which the run may work."""

    over_target_since: float | None = None
    is_unsized: bool = False
    """Whether the resources that the run uses are unknown, since its job has ended."""

    progress_at: float = 0.0
    """Time at which ``progress_percent`` last rose."""

    is_adopted: bool = False
    """Whether a report showed the run first; it began earlier than it was known."""

    reported_at: float = 0.0
    """Time at which the latest report that shows the run was applied."""

    charged_core_s: float = 0.0
    """Work that its organisation was charged for, in core-seconds."""

    @property
    def known_age_s(self) -> float:
        """Return how long the worker is known to have lived with the run, in seconds.

        0 for a run that no response of the worker has confirmed.
        """
        if self.confirmed_at is None:
            return 0.0
        last_sign_at = max(self.reported_at, self.worker.latest_started_at)
        return max(0.0, last_sign_at - self.confirmed_at)

    @property
    def has_begun(self) -> bool:
        """Return whether the run began on the worker and no order has ended it.

        Only then does the end of the worker say anything about the run.
        """
        if self.is_superseded or self.is_rejected or self.stopping_since is not None:
            return False
        if self.confirmed_at is not None:
            return True
        age_s = self.response_age_s
        return age_s is not None and age_s <= RECENT_RESPONSE_S

    @property
    def is_young(self) -> bool:
        """Return whether the run may be the cause if the worker crashes now."""
        return not self.is_adopted and self.known_age_s < YOUNG_RUN_S

    def is_overdue(self, now: float) -> bool:
        """Return whether the outcome of the start is unknown for unusually long."""
        return self.confirmed_at is None and now - self.sent_at >= OVERDUE_START_S


@dataclass(slots=True, eq=False)
class WorkerView:
    """One incarnation of a worker as the owner of its pool sees it.

    All times are in seconds of the steady clock.
    """

    record: WorkerRecord
    runs: dict[tuple[SubtaskId, int], Run] = field(default_factory=dict)
    """Runs that may be present, by subtask and number.

    An obsolete run counts beside the current one of its subtask until its end.
    """

    used_cpu_millis: int = 0
    used_memory_mb: int = 0
    used_gpus: int = 0
    unsized_runs: int = 0
    """Number of runs whose resources are unknown and missing in the sums above."""

    has_reported: bool = False
    """Whether this owner has received a report with all runs and ends of the worker."""

    has_unread_ends: bool = False
    """Whether more runs may have ended than the latest report had room for."""

    is_listed: bool = True
    """Whether the list of workers contains the worker."""

    drain_reason: str = ""
    """Why the fleet role ordered to drain the worker; empty without an order."""

    latest_started_at: float = 0.0
    """Time at which the latest start that the worker confirmed was sent."""

    lapsed_runs: list[Run] = field(default_factory=list)
    """Runs that were given up while the worker was silent, for one incarnation."""

    failed_reports: int = 0
    """Number of consecutive reports that failed."""

    reset_at: float | None = None
    """Time at which one of them found the connection ended; None without one.

    The worker ended before, unless it reports again. Its silence tells no time.
    """

    has_new_report: bool = False
    """Whether a report has arrived since the last pass of the owner.

    A start that is sent now will most likely reach the worker.
    """

    lease_expires_at: float = 0.0
    """Time by which all leases granted to the worker have certainly expired.

    It allows for a slow clock of the worker.
    """

    unresolved_starts: dict[tuple[SubtaskId, int], float] = field(default_factory=dict)
    """Starts that may still reach the worker, with the time their run was given up.

    A worker with a valid lease executes a late start, whatever lease the start names.
    The lease is therefore not extended until stops have blocked all of these starts.
    """

    last_applied_end: int = 0
    """Number of the last end of a run that was applied."""

    consecutive_failures: int = 0
    """Number of failures that count against the worker since the last success."""

    doubtful_steps: set[tuple[str, int, int]] = field(default_factory=set)
    """Keys of the long-running steps that one of these failures is of.

    Each is taken back if the step fails on another worker too.
    """

    ejected_until: float = 0.0
    """Time until which the worker gets no starts after consecutive failures."""

    ejections: int = 0
    """Number of ejections since the last successful run."""

    full_until: float = 0.0
    """Time until which the worker counts as full after it rejected a start."""

    slowness: float = 1.0
    """Ratio of observed to expected duration of its runs; always 1 at present."""

    @property
    def id(self) -> str:
        """Return the identifier of the worker."""
        return self.record.worker

    @property
    def capacity(self) -> Resources:
        """Return the total resources of the worker."""
        return self.record.capacity

    @property
    def rack(self) -> str:
        """Return the label of the worker's rack; empty if it has none."""
        labels = self.record.labels
        return labels[1] if len(labels) > 1 else ""

    @property
    def free_cpu_millis(self) -> int:
        """Return the unused millicores."""
        return self.record.capacity.cpu_millis - self.used_cpu_millis

    @property
    def is_draining(self) -> bool:
        """Return whether the worker leaves, by its own entry or by an order."""
        return self.record.is_draining or bool(self.drain_reason)

    @property
    def may_have_runs(self) -> bool:
        """Return whether runs are or may come to be present on the worker.

        A worker that leaves by itself gets no starts any more; a drain that was ordered
        may end. Orders are known to have ended once the worker has reported and no
        start is unresolved.
        """
        if self.is_listed and not self.record.is_draining:
            return True
        return not self.has_reported or bool(self.runs or self.unresolved_starts)

    def get_noticed_at(self, now: float) -> float:
        """Return the time by which a worker, which has ended, must have ended."""
        return now if self.reset_at is None else self.reset_at

    def accepts_work(self, now: float) -> bool:
        """Return whether new runs may be sent to the worker."""
        return (
            self.has_reported
            and self.is_listed
            and not self.is_draining
            and not self.unresolved_starts
            and not self.unsized_runs
            and self.failed_reports < FAILED_REPORTS_UNTIL_UNRESPONSIVE
            and now >= self.ejected_until
            and now >= self.full_until
        )

    def has_room(self, needs: Resources, is_best_effort: bool) -> bool:
        """Return whether a subtask fits; a best-effort one needs no free cores."""
        capacity = self.record.capacity
        return (
            (
                is_best_effort
                or self.used_cpu_millis + needs.cpu_millis <= capacity.cpu_millis
            )
            and self.used_memory_mb + needs.memory_mb <= capacity.memory_mb
            and self.used_gpus + needs.gpus <= capacity.gpus
        )

    def is_overcommitted_by(self, run: Run) -> bool:
        """Return whether the runs exceed the capacity in what ``run`` is counted for.

        A best-effort run isn't counted against the cores.
        """
        return not self.has_room(Resources(), run.subtask.step.spec.is_best_effort)

    def has_long_running(self) -> bool:
        """Return whether a run of a long-running subtask may be on the worker."""
        return any(run.subtask.step.spec.is_long_running for run in self.runs.values())

    def add(self, run: Run) -> None:
        """Add a run and the resources that it uses."""
        self.runs[run.subtask.id, run.number] = run
        self._change_usage(run, 1)

    def remove(self, run: Run) -> None:
        """Remove a run and release its resources; unknown runs are ignored."""
        key = run.subtask.id, run.number
        if self.runs.get(key) is run:
            del self.runs[key]
            self._change_usage(run, -1)

    def record_success(self) -> None:
        """Record a successful run; it resets the count of failures."""
        self.consecutive_failures = 0
        self.doubtful_steps.clear()
        self.ejections = 0

    def record_failure(self, now: float) -> bool:
        """Record a failed run; returns True if the worker is ejected.

        After an ejection a single failure ejects the worker again.
        """
        self.consecutive_failures += 1
        if self.consecutive_failures < FAILURES_UNTIL_EJECTED:
            return False
        pause_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejected_until = now + pause_s
        self.ejections += 1
        return True

    def retract_failure(self, step: tuple[str, int, int], now: float) -> None:
        """Take back the failure of a long-running step that fails elsewhere too.

        Ends an ejection that the remaining failures don't justify.
        """
        if step not in self.doubtful_steps:
            return
        self.doubtful_steps.remove(step)
        self.consecutive_failures -= 1
        if self.consecutive_failures == FAILURES_UNTIL_EJECTED - 1:
            self.ejected_until = min(self.ejected_until, now)
            self.ejections = max(0, self.ejections - 1)

    def _change_usage(self, run: Run, sign: int) -> None:
        spec = run.subtask.step.spec
        if not spec.is_best_effort:
            self.used_cpu_millis += sign * spec.needs.cpu_millis
        self.used_memory_mb += sign * spec.needs.memory_mb
        self.used_gpus += sign * spec.needs.gpus
        self.unsized_runs += sign * run.is_unsized


def find_max_free_cpu(workers: Iterable[WorkerView]) -> int:
    """Return the most unused millicores of any worker; -1 without workers."""
    return max((view.free_cpu_millis for view in workers), default=-1)
