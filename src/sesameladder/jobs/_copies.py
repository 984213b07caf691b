"""Copies of slow subtasks (speculative execution).

Some subtasks run several times as long as predicted, for reasons that another worker
may not share. A second run of such a subtask is started if it would probably end
before the first one. The first end that is ``done`` counts, the other run is stopped.

The load in view is 3 of 100 subtasks that run up to 7 times as long. A late job is
worth a fourteenth, so one slow subtask costs its caller nearly all of the job. A copy
costs cores only while nothing else needs them: copies are placed after all first runs,
never while a waiting step is still in time, and on at most a tenth of the pool's cores.
"""

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate

from sesameladder.jobs._durations import DurationTable
from sesameladder.jobs._model import StepSpec, SubtaskId
from sesameladder.jobs._runs import Run, WorkerView

MAX_SAMPLES = 200
# With 3 slow runs in 100, fewer samples often contain none.
MIN_SAMPLES = 50
CHECK_INTERVAL_S = 0.1  # a slow subtask runs for seconds
MAX_CORE_SHARE = 0.1
# A subtask that crashes its worker does so within 0.1 s. With that as the bound, copies
# of such subtasks were started before the crash was noticed.
MIN_KNOWN_AGE_S = 0.3
MAX_KINDS = 200  # about 15 KB each; callers choose the names of images
# An invalid start stays so; without a pause it uses up the run numbers of the term.
RETRY_PAUSE_S = 0.5
# A run that outlasts all known ones is expected to take as long again. That holds for
# a Pareto distribution with index 2.
UNSEEN_FACTOR = 2.0

# Where slow runs are due to the worker, half of the copies or more end first; where
# they are due to the subtask, none does, and the copies only cost.
MAX_PAIRS = 20
MIN_WIN_SHARE = 0.1
LOSS_PAUSE_S = 5.0  # until one copy tries whether that has changed

Kind = tuple[str, str]
"""Queue and image."""


def may_be_copied(spec: StepSpec) -> bool:
    """Return whether subtasks of a step may have two runs at the same time."""
    return spec.allows_copies and not (
        spec.gang or spec.is_long_running or spec.is_best_effort
    )


@dataclass(slots=True)
class TailStatistics:
    """Ratios of actual to expected time of the latest finished runs of one kind."""

    ratios: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    ordered: list[float] = field(default_factory=list)
    """The same ratios in rising order; empty if they have to be sorted anew."""

    sums: list[float] = field(default_factory=list)
    """Sum of the ratios from each position of ``ordered`` on."""

    wins: deque[bool] = field(default_factory=lambda: deque(maxlen=MAX_PAIRS))
    """Whether the copy was done first, for the latest pairs of runs."""

    paused_until: float = 0.0
    """Steady time until which no copy starts, since copies rarely end first."""

    def add(self, ratio: float) -> None:
        """Add the ratio of a run."""
        self.ratios.append(ratio)
        self.ordered = []

    @property
    def mean(self) -> float:
        """Return the mean ratio; 0 without samples."""
        self._sort()
        return self.sums[0] / len(self.ordered) if self.ordered else 0.0

    def estimate_remaining(self, age_ratio: float) -> float:
        """Return the expected remaining time of a run of a given age.

        Both are multiples of its expected time. The result is the mean over the
        samples that lasted longer.
        """
        self._sort()
        index = bisect_right(self.ordered, age_ratio)
        longer = len(self.ordered) - index
        if not longer:
            return age_ratio * (UNSEEN_FACTOR - 1)
        return self.sums[index] / longer - age_ratio

    @property
    def rarely_wins(self) -> bool:
        """Return whether copies have rarely ended before the first runs."""
        is_known = len(self.wins) == MAX_PAIRS
        return is_known and sum(self.wins) < MIN_WIN_SHARE * MAX_PAIRS

    def record_pair(self, has_copy_won: bool, now: float) -> None:
        """Add the outcome of a pair of runs, of which one is done."""
        self.wins.append(has_copy_won)
        if self.rarely_wins:
            self.paused_until = now + LOSS_PAUSE_S

    def _sort(self) -> None:
        if not self.ordered and self.ratios:
            self.ordered = sorted(self.ratios)
            self.sums = list(accumulate(reversed(self.ordered)))[::-1]


@dataclass(slots=True)
class WatchedRun:
    """A run of a step that allows copies."""

    kind: Kind
    expected_s: float
    """Expected time at its start, in seconds."""

    check_at: float = 0.0
    """Time until which the run is no older than the mean run, so needs no copy."""


@dataclass(slots=True, eq=False)
class Copies:
    """The copies of a pool, and the statistics that tell which runs get one.

    A subtask has a first run (``PoolScheduler.runs``) and, beside it, at most one
    copy. If the first run goes, the copy becomes the first run. Times are in seconds
    of the steady clock.
    """

    runs: dict[SubtaskId, Run] = field(default_factory=dict)
    """Copy by subtask, for subtasks that have one."""

    stopped: list[Run] = field(default_factory=list)
    """Runs of earlier pairs that were stopped and may still be present."""

    watched: dict[Run, WatchedRun] = field(default_factory=dict)
    """Current runs of steps that allow copies."""

    tails: dict[Kind, TailStatistics] = field(default_factory=dict)
    paused_until: dict[SubtaskId, float] = field(default_factory=dict)
    """Time until which a subtask gets no further copy."""

    checked_at: float = 0.0

    def watch(self, run: Run, durations: DurationTable) -> None:
        """Watch a new current run, if its step allows copies."""
        step = run.subtask.step
        if may_be_copied(step.spec):
            submission = step.job.submission
            kind = submission.queue, step.spec.image
            expected_s = durations.estimate_duration(submission, step.number)
            self.watched[run] = WatchedRun(kind, max(0.001, expected_s))

    def record_done(self, run: Run, actual_s: float) -> None:
        """Add the duration of a run that is done; adopted runs began earlier."""
        watched = self.watched.get(run)
        if watched is not None and not run.is_adopted:
            self._add_sample(watched, actual_s)

    def may_adopt(self, current: Run, worker: WorkerView) -> bool:
        """Return whether a reported run beside a current one is its copy."""
        return (
            may_be_copied(current.subtask.step.spec)
            and current.subtask.id not in self.runs
            and current.confirmed_at is not None
            and current.worker is not worker
        )

    def adopt(self, run: Run, runs: dict[SubtaskId, Run]) -> None:
        """Add a run beside the current one; the later of both is the copy."""
        key = run.subtask.id
        first, copy = sorted((runs[key], run), key=lambda row: row.number)
        runs[key], self.runs[key] = first, copy

    def find_other(self, run: Run, runs: Mapping[SubtaskId, Run]) -> Run | None:
        """Return the other current run of a subtask; None for a run without one."""
        key = run.subtask.id
        first, copy = runs.get(key), self.runs.get(key)
        if copy is None or run not in (first, copy):
            return None
        return first if run is copy else copy

    def remove(
        self, run: Run, runs: dict[SubtaskId, Run], outcome: str, now: float
    ) -> dict[str, object] | None:
        """Remove a current run; a copy beside it takes its place.

        ``outcome`` is ``done`` if the other run is done, ``lost`` if this run has
        ended otherwise and the other one goes on, ``dropped`` if neither counts.
        Returns the fields of ``copy_ended``, or None if there was no copy.
        """
        key = run.subtask.id
        watched = self.watched.pop(run, None)
        other = self.find_other(run, runs)
        if other is None:
            del runs[key]
            return None
        copy = self.runs.pop(key)
        runs[key] = other
        self.paused_until[key] = now + RETRY_PAUSE_S
        if outcome == "lost":
            outcome = "copy_lost" if run is copy else "first_lost"
        else:
            self.stopped.append(run)
            if outcome == "done":
                outcome = "first_done" if run is copy else "copy_done"
                if watched is not None:
                    self._record_pair(watched, run, run is not copy, now)
        cores = run.subtask.step.spec.needs.cpu_millis / 1000
        return {
            "job": key.job,
            "subtask": key[1:],
            "outcome": outcome,
            "first_run": other.number if run is copy else run.number,
            "copy_run": copy.number,
            "thrown_away_core_s": round(_get_age(run, now) * cores, 3),
        }

    def choose(
        self,
        runs: Mapping[SubtaskId, Run],
        obsolete_runs: Iterable[Run],
        start_s: float,
        now: float,
    ) -> list[tuple[float, Run]]:
        """Return the runs that should get a copy, with the seconds a copy saves.

        Those that save most come first. ``start_s`` is the time until a worker has a
        copy. Decided at most once every ``CHECK_INTERVAL_S``.
        """
        if not self.watched or now - self.checked_at < CHECK_INTERVAL_S:
            return []
        self.checked_at = now
        self.paused_until = {
            key: until for key, until in self.paused_until.items() if now < until
        }
        rows = []
        for run, watched in self.watched.items():
            if now < watched.check_at or run.confirmed_at is None:
                continue
            tail = self.tails.get(watched.kind)
            if (
                tail is None
                or len(tail.ratios) < MIN_SAMPLES
                or now < tail.paused_until
            ):
                continue
            mean = tail.mean
            age_ratio = (now - run.confirmed_at) / watched.expected_s
            if age_ratio <= mean:
                watched.check_at = run.confirmed_at + mean * watched.expected_s
                continue
            saved_ratio = tail.estimate_remaining(age_ratio) - mean
            saved_s = saved_ratio * watched.expected_s - start_s
            if saved_s > 0 and self._may_copy(run, runs, now):
                rows.append((saved_s, run))
        if not rows:
            return []
        present = {run.subtask.id for run in obsolete_runs}
        rows = [row for row in rows if row[1].subtask.id not in present]
        rows.sort(key=lambda row: -row[0])
        return list(self._limit_trials(rows))

    def compute_budget(self, workers: Iterable[WorkerView]) -> float:
        """Return the millicores of the pool's workers that further copies may use."""
        listed = (view for view in workers if view.is_listed)
        pool_cpu_millis = sum(view.capacity.cpu_millis for view in listed)
        return MAX_CORE_SHARE * pool_cpu_millis - self.count_cpu_millis()

    def count_cpu_millis(self) -> int:
        """Return the millicores in use by copies, or by runs stopped due to one."""
        if self.stopped:
            self.stopped = [
                run
                for run in self.stopped
                if run.worker.runs.get((run.subtask.id, run.number)) is run
            ]
        present = [*self.runs.values(), *self.stopped]
        return sum(run.subtask.step.spec.needs.cpu_millis for run in present)

    def _may_copy(self, run: Run, runs: Mapping[SubtaskId, Run], now: float) -> bool:
        """Return whether a run is the only one of its subtask and may get a copy.

        A subtask under which a worker has crashed may be the cause, and gets none. Nor
        does one that its worker is not known to have outlived for long enough: it may
        have crashed the worker. Nor does one that could use up its attempts while the
        copy is on its way: the copy would start after the last one.
        """
        subtask = run.subtask
        return (
            runs.get(subtask.id) is run
            and subtask.id not in self.runs
            and run.stopping_since is None
            and not run.is_superseded
            and not run.is_rejected
            and run.known_age_s >= MIN_KNOWN_AGE_S
            and not subtask.crashes
            and subtask.not_before <= now
            and now >= self.paused_until.get(subtask.id, 0.0)
            and subtask.failures + 1 < subtask.step.job.submission.max_attempts
        )

    def _limit_trials(
        self, rows: Iterable[tuple[float, Run]]
    ) -> Iterable[tuple[float, Run]]:
        """Yield one run of each kind of which copies rarely win, and all others."""
        tried = {
            self.watched[copy].kind
            for copy in self.runs.values()
            if copy in self.watched
        }
        for row in rows:
            kind = self.watched[row[1]].kind
            if kind in tried and self.tails[kind].rarely_wins:
                continue
            tried.add(kind)
            yield row

    def _record_pair(
        self, watched: WatchedRun, loser: Run, has_copy_won: bool, now: float
    ) -> None:
        if has_copy_won:
            self._add_sample(watched, _project_duration(loser, now))
        tail = self.tails.get(watched.kind)
        if tail is not None:
            tail.record_pair(has_copy_won, now)

    def _add_sample(self, watched: WatchedRun, actual_s: float) -> None:
        # The kinds stay in the order of their latest sample.
        tail = self.tails.pop(watched.kind, None) or TailStatistics()
        self.tails[watched.kind] = tail
        tail.add(actual_s / watched.expected_s)
        if len(self.tails) > MAX_KINDS:
            del self.tails[next(iter(self.tails))]


def _get_age(run: Run, now: float) -> float:
    began_at = run.sent_at if run.confirmed_at is None else run.confirmed_at
    return now - began_at


def _project_duration(run: Run, now: float) -> float:
    """Return how long a stopped run would have taken, in seconds.

    Without these runs the statistics would forget the slow runs that copies replace.
    """
    age_s = _get_age(run, now)
    if 0 < run.progress_percent < 100 and not run.subtask.checkpoint:
        seen_s = max(0.0, run.reported_at - (run.confirmed_at or run.sent_at))
        return max(age_s, seen_s * 100 / run.progress_percent)
    return age_s * UNSEEN_FACTOR
