"""The summary that a pool's owner stores, and what it logs about its load."""

from math import ceil, floor

from sesameladder.fleet import DEMAND_ROUNDING_CORES, PoolSummary
from sesameladder.jobs import Backlog, PoolScheduler
from sesameladder.node._take_up import TakeUp
from sesameladder.node._telemetry import JOBS_BEYOND_RATE, log_event, publish_load
from sesameladder.node._vm_load import VmLoadMeter
from sesameladder.organisations import MAX_LOGGED_SHARES, ShareRow

SUMMARY_INTERVAL_S = 1.0  # pending counts may be 2 s old
DEMAND_INTERVAL_S = 0.2  # a demand peak builds up over 3 s; a move takes 1.5 s
SUMMARY_CHECK_INTERVAL_S = 0.1  # half of DEMAND_INTERVAL_S; visits all open jobs
LOAD_INTERVAL_S = 1.0  # a turn of demand lasts some seconds


class SummaryBuilder:
    """Builds a pool's summary and decides when it is written."""

    __slots__ = (
        "backlog",
        "last_check_at",
        "last_written_at",
        "scheduler",
        "stored",
        "take_up",
    )

    def __init__(self, scheduler: PoolScheduler, take_up: TakeUp, now: float) -> None:
        self.scheduler = scheduler
        self.take_up = take_up
        self.backlog = Backlog(scheduler.ranking)
        self.stored: PoolSummary | None = None
        """The summary last given out to be written; None to write the next one."""

        self.last_written_at = now
        self.last_check_at = 0.0

    def build_due(self, orders_revision: int, now: float) -> PoolSummary | None:
        """Return the summary if it is to be written now, else None."""
        if now - self.last_check_at < SUMMARY_CHECK_INTERVAL_S:
            return None
        self.last_check_at = now
        summary = self._build(orders_revision, now)
        stored = self.stored
        if summary == stored:
            return None
        demand_changed = stored is None or (
            (summary.used_cores, summary.waiting_cores, summary.late_cores)
            != (stored.used_cores, stored.waiting_cores, stored.late_cores)
        )
        interval_s = DEMAND_INTERVAL_S if demand_changed else SUMMARY_INTERVAL_S
        is_due = now - self.last_written_at >= interval_s
        is_urgent = stored is None or (
            (summary.drained, summary.stoppable, summary.orders_revision)
            != (stored.drained, stored.stoppable, stored.orders_revision)
        )
        if not is_due and not is_urgent:
            return None
        self.stored, self.last_written_at = summary, now
        return summary

    def _build(self, orders_revision: int, now: float) -> PoolSummary:
        scheduler = self.scheduler
        views = self.scheduler.workers.values()
        demand = self.scheduler.estimate_demand(now)
        draining_views = [
            view for view in views if view.drain_reason and view.has_reported
        ]
        drained = sorted(view.id for view in draining_views if not view.runs)
        stoppable = sorted(
            view.id for view in draining_views if not view.has_long_running()
        )
        pending = scheduler.job_table.count_pending()
        for queue, number in self.take_up.count_pending().items():
            pending[queue] = pending.get(queue, 0) + number
        return PoolSummary(
            pending,
            tuple(drained),
            tuple(stoppable),
            orders_revision,
            tuple(sorted(view.id for view in views if view.has_long_running())),
            _round_up_cores(demand.used),
            _round_up_cores(demand.waiting),
            floor(demand.late / DEMAND_ROUNDING_CORES) * DEMAND_ROUNDING_CORES,
            _round_up_cores(demand.offered),
            self.backlog.update(scheduler.job_table, views, scheduler.fence, now),
            self.take_up.build_room(now),
        )


class LoadReporter:
    """Logs and publishes the load of a pool once a second, unless it is idle."""

    __slots__ = ("beyond_rate", "last_at", "meter", "pool", "scheduler", "take_up")

    def __init__(
        self,
        pool: str,
        scheduler: PoolScheduler,
        take_up: TakeUp,
        meter: VmLoadMeter,
    ) -> None:
        self.pool = pool
        self.scheduler = scheduler
        self.take_up = take_up
        self.meter = meter
        self.last_at = meter.last_at
        self.beyond_rate = 0
        """Jobs beyond their organisation's rate that the metric has counted."""

    def report(self, longest_pass_s: float, now: float) -> bool:
        """Report the load if it is due; returns whether it was."""
        if now - self.last_at < LOAD_INTERVAL_S:
            return False
        self.last_at = now
        load = self.scheduler.measure_load(now)
        publish_load(self.pool, load)
        vm_load = self.meter.read()
        if not load.is_idle:
            log_event(
                "pool_load",
                pool=self.pool,
                waiting=load.waiting,
                running=load.running,
                unconfirmed=load.unconfirmed,
                oldest_unconfirmed_ms=round(load.oldest_unconfirmed_s * 1000),
                free_cores=round(load.free_cores, 1),
                cores=self.meter.size.cores,
                link_mbps=self.meter.size.link_mbps,
                longest_pass_ms=round(longest_pass_s * 1000),
                **vm_load,
                **self.take_up.describe_load(),
            )
        self._report_shares(load.waiting)
        return True

    def _report_shares(self, waiting: int) -> None:
        shares = self.scheduler.ranking.shares
        if not shares.is_enabled:
            return
        beyond_rate = shares.beyond_rate - self.beyond_rate
        self.beyond_rate = shares.beyond_rate
        JOBS_BEYOND_RATE.labels(self.pool).inc(beyond_rate)
        rows = shares.take_rows()
        if waiting and rows:
            log_event(
                "organisation_shares",
                pool=self.pool,
                largest=list(map(_describe, rows[:MAX_LOGGED_SHARES])),
                smallest=list(
                    map(_describe, rows[MAX_LOGGED_SHARES:][-MAX_LOGGED_SHARES:])
                ),
                organisations=len(rows),
                beyond_rate=beyond_rate,
                is_in_force=shares.is_in_force,
            )


def _describe(row: ShareRow) -> list[object]:
    """Return organisation, weight, core-seconds and share for a log line."""
    return [row.organisation, row.weight, row.core_s, row.share]


def _round_up_cores(cores: float) -> int:
    return ceil(cores / DEMAND_ROUNDING_CORES) * DEMAND_ROUNDING_CORES
