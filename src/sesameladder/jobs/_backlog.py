"""What a pool's owner records for the forecast of its backlog, and its computation.

It is cheap beside a pass of the ranking: it visits the waiting steps once a second, and
only where the configuration names organisations.
"""

from collections.abc import Iterable

from sesameladder.jobs._forecast import (
    LEAST_PUBLISHED_WAIT_S,
    MAX_ORGANISATIONS,
    SIZE_QUANTILES,
    BacklogForecast,
    DurationCorrection,
    EntitledShares,
    ForecastErrors,
    OrganisationForecast,
    QueueForecast,
    QueueSample,
    WaitingWork,
    forecast_wait,
)
from sesameladder.jobs._job import Job, Step
from sesameladder.jobs._job_table import JobTable
from sesameladder.jobs._model import JobState
from sesameladder.jobs._ordering import StepRanking, Urgency
from sesameladder.jobs._runs import WorkerView

FORECAST_INTERVAL_S = 1.0  # the summary is written once a second
WAIT_DIGITS = 1  # a rejection needs a wait of seconds


class Backlog:
    """Forecasts of one pool, and how right they were."""

    __slots__ = (
        "computed_at",
        "durations",
        "entitled",
        "errors",
        "latest",
        "ranking",
        "samples",
    )

    def __init__(self, ranking: StepRanking) -> None:
        self.ranking = ranking
        self.durations = ranking.durations
        ranking.listeners.append(self)
        self.errors = ForecastErrors()
        self.entitled = EntitledShares()
        self.samples: dict[str, QueueSample] = {}
        """Recent jobs, by queue."""

        self.latest: BacklogForecast | None = None
        """Latest forecast; None while new jobs begin soon."""

        self.computed_at = 0.0

    def record_arrival(self, job: Job, core_s: float, now: float) -> None:
        """Count a job that arrives, and note when it is forecast to begin."""
        submission = job.submission
        if submission.spec.occurrences:
            return  # its steps are built when they are due
        path_s = self.durations.estimate_critical_path(job, 0, only_remaining=False)
        patience_s = (
            submission.stretch - 1
        ) * path_s + submission.target_offset_ms / 1000
        sample = self.samples.get(submission.queue)
        if sample is None:
            self.samples[submission.queue] = QueueSample(
                submission.priority, path_s, patience_s
            )
        else:
            sample.add(submission.priority, path_s, patience_s)
        self.entitled.record_arrival(submission.organisation)
        if self.latest is not None:
            is_beyond = not job.is_within_rate
            rows = self.latest.queues.get(submission.queue)
            if rows is None:
                return
            waits = rows.begins_after_s
            if is_beyond:
                is_in_turn = self.ranking.shares.is_in_turn(submission.organisation)
                waits = rows.begins_beyond_rate_s[is_in_turn]
            wait_s = waits[rows.find_row(core_s)]
            self.errors.record_arrival(job.id, wait_s, is_beyond, now)

    def record_begin(self, job: Job, now: float) -> None:
        """Compare the wait of a job that begins with its forecast."""
        self.errors.record_begin(job.id, now)

    def update(
        self, table: JobTable, workers: Iterable[WorkerView], fence: int, now: float
    ) -> BacklogForecast | None:
        """Return the forecast, computed anew once a second."""
        if now - self.computed_at < FORECAST_INTERVAL_S:
            return self.latest
        self.computed_at = now
        shares = self.ranking.shares
        self.errors.settle(table.jobs, now)
        self.latest = None
        if not shares.is_enabled:
            return None
        # Work without an organisation has no rate.
        names = (shares.waiting | self.entitled.arrived.keys()) - {""}
        self.entitled.update({name: shares.get_weight(name) for name in names}, now)
        if shares.is_in_force:
            views = [v for v in workers if v.is_listed and not v.is_draining]
            cores = sum(view.capacity.cpu_millis for view in views) / 1000
            free_cores = sum(view.free_cpu_millis for view in views) / 1000
            work = self._list_work(table.open_steps.values(), now)
            self.latest = self._compute(work, cores, max(0.0, free_cores), fence, now)
        return self.latest

    def _list_work(self, steps: Iterable[Step], now: float) -> list[WaitingWork]:
        rows = []
        jobs: set[tuple[str, int]] = set()
        for step in steps:
            if step.spec.is_long_running or step.spec.is_best_effort:
                continue
            job = step.job
            urgency, priority, _, unplaced_core_s, _ = self.ranking.rank(step, now)
            core_s = unplaced_core_s
            if (job.id, step.occurrence) in jobs:
                # Another open step of the job has counted its later steps.
                core_s = step.waiting_count * self.durations.estimate_subtask_work(
                    job, step.number
                )
            jobs.add((job.id, step.occurrence))
            rows.append(
                WaitingWork(
                    job.submission.organisation,
                    priority,
                    job.state is not JobState.QUEUED and urgency < Urgency.OVERDUE,
                    urgency == Urgency.IN_TIME,
                    urgency == Urgency.LATE,
                    job.is_within_rate,
                    self.ranking.shares.is_in_turn(job.submission.organisation),
                    unplaced_core_s,
                    core_s,
                )
            )
        return rows

    def _compute(
        self,
        work: list[WaitingWork],
        cores: float,
        free_cores: float,
        fence: int,
        now: float,
    ) -> BacklogForecast | None:
        queues: dict[str, QueueForecast] = {}
        for queue, sample in self.samples.items():
            sizes = self._list_sizes(queue)
            if not sizes:
                continue

            def list_waits(
                is_within_rate: bool,
                is_in_turn: bool,
                sample: QueueSample = sample,
                sizes: tuple[float, ...] = sizes,
            ) -> tuple[float, ...]:
                return tuple(
                    round(
                        forecast_wait(
                            work,
                            cores,
                            free_cores,
                            sample,
                            core_s,
                            is_within_rate,
                            is_in_turn,
                        ),
                        WAIT_DIGITS,
                    )
                    for core_s in sizes
                )

            waits = list_waits(True, True)
            ends = tuple(round(w + sample.path_s, WAIT_DIGITS) for w in waits)
            beyond = list_waits(False, False), list_waits(False, True)
            correction = self._find_correction(queue)
            queues[queue] = QueueForecast(sizes, waits, ends, beyond, correction)
        if all(
            row.begins_beyond_rate_s[0][-1] < LEAST_PUBLISHED_WAIT_S
            for row in queues.values()
        ):
            return None
        shares = self.entitled.by_organisation
        organisations = {
            name: OrganisationForecast(
                round(shares[name], 2), self.ranking.shares.is_in_turn(name)
            )
            for name in sorted(shares, key=shares.__getitem__)[:MAX_ORGANISATIONS]
        }
        return BacklogForecast(
            fence,
            round(now * 1000),
            round(self.errors.compute_certain_share(False, now), 2),
            round(self.errors.compute_certain_share(True, now), 2),
            queues,
            organisations,
        )

    def _list_sizes(self, queue: str) -> tuple[float, ...]:
        """Return the least work by row, from the queue's recent jobs."""
        counts = self.ranking.fairness.by_queue.get(queue)
        if counts is None or not counts.ordered:
            return ()
        ordered = counts.ordered
        sizes = [0.0]
        for quantile in SIZE_QUANTILES[1:]:
            sizes.append(round(ordered[int(quantile * len(ordered))], 2))
        return tuple(sizes)

    def _find_correction(self, queue: str) -> DurationCorrection:
        """Return the correction of the queue's image with the most ended runs."""
        rows = [
            estimate
            for (name, _), estimate in self.durations.by_kind.items()
            if name == queue
        ]
        best = max(rows, key=lambda row: row.samples, default=None)
        if best is None:
            return DurationCorrection()
        return DurationCorrection(round(best.ratio, 3), round(best.mean_s, 3))
