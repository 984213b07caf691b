"""Limits on long work, detection of stragglers, preemption and throttling."""

import heapq
import math

from sesameladder.dispatch._cell import CellState
from sesameladder.dispatch._grants import Grant
from sesameladder.dispatch._queue import WaitingDemand
from sesameladder.dispatch._types import Decision, Preempt, Throttle, WorkClass

PREEMPT_RETRY_S = 2.0  # an unfinished preempt order is repeated after this time
MAX_THROTTLES_PER_POLL = 4
CHECKPOINT_SMOOTHING = 0.1  # weight of a new sample in the moving average


class TimeWeightedMean:
    """Exponentially weighted mean over time of a level that changes in steps."""

    __slots__ = ("level", "mean", "time_constant_s", "updated_at")

    def __init__(self, time_constant_s: float) -> None:
        self.time_constant_s = time_constant_s
        self.level = 0.0
        self.mean = 0.0
        self.updated_at: float | None = None

    def update(self, level: float, now: float) -> None:
        """Update the mean with the previous level and set the new one."""
        if self.updated_at is not None:
            decay = math.exp(-max(0.0, now - self.updated_at) / self.time_constant_s)
            self.mean = self.level + (self.mean - self.level) * decay
        self.level = level
        self.updated_at = now


class LongWorkPolicy:
    """Limits long work to the slots that short work does not need."""

    __slots__ = (
        "cell",
        "mean_checkpoint_s",
        "short_load",
        "straggler_checks",
        "throttled",
    )

    def __init__(self, cell: CellState) -> None:
        self.cell = cell
        self.mean_checkpoint_s = cell.config.default_checkpoint_s
        self.short_load = TimeWeightedMean(cell.config.load_time_constant_s)
        self.straggler_checks: list[tuple[float, str]] = []
        self.throttled: dict[str, Grant] = {}

    def track(self, grant: Grant) -> None:
        """Schedule the check whether a new grant becomes a straggler."""
        if not grant.is_long:
            self._schedule_check(grant, grant.granted_at)

    def untrack(self, grant: Grant) -> None:
        """Discard the throttling state of a grant that was removed."""
        self.throttled.pop(grant.grant_id, None)

    def observe_checkpoint(self, grant: Grant, now: float) -> None:
        """Update the mean time from a preempt order to the release of the slot."""
        if grant.preempted_at is not None:
            taken_s = now - grant.preempted_at
            self.mean_checkpoint_s += CHECKPOINT_SMOOTHING * (
                taken_s - self.mean_checkpoint_s
            )

    def update(self, now: float) -> None:
        """Mark grants that have become long and update the mean load of short work."""
        while self.straggler_checks and self.straggler_checks[0][0] <= now:
            grant = self.cell.grants.by_id.get(heapq.heappop(self.straggler_checks)[1])
            if grant is not None and not grant.is_long:
                self._check_straggler(grant, now)
        waiting = self.cell.queue.count(WorkClass.URGENT, WorkClass.SHORT)
        self.short_load.update(self.cell.grants.short_held() + waiting, now)

    def next_straggler_check(self) -> float | None:
        """Return the time in seconds of the next straggler check, or None."""
        by_id = self.cell.grants.by_id
        while self.straggler_checks and self.straggler_checks[0][1] not in by_id:
            heapq.heappop(self.straggler_checks)
        return self.straggler_checks[0][0] if self.straggler_checks else None

    def minimum_slots(self) -> int:
        """Return the number of slots that long work gets ahead of short work."""
        min_share = self.cell.config.long_min_share
        return int(self.cell.workers.serving_slots * min_share)

    def precedes_short_work(self, now: float) -> bool:
        """Return whether waiting long work is scheduled ahead of short work.

        It is while long work holds less than its minimum of slots. It also is while
        the next long demand is overdue and long work holds less than
        ``long_overdue_share`` of the slots, or none.
        """
        held = self.cell.grants.long_held()
        if held < self.minimum_slots():
            return True
        overdue_share = self.cell.config.long_overdue_share
        if held >= max(1.0, overdue_share * self.cell.workers.serving_slots):
            return False
        head = self.cell.queue.by_class[WorkClass.LONG].head(lambda _: False)
        starvation_limit_s = self.cell.config.starvation_limit_s
        return head is not None and now - head.enqueued_at >= starvation_limit_s

    def non_preemptible_limit(self) -> int:
        """Return the number of slots allowed for long work that can't be preempted."""
        available_slots = self._slots_left_by_short_work(
            self.cell.config.non_preemptible_headroom
        )
        max_slots = self.cell.workers.serving_slots * self.cell.config.long_max_share
        return max(1, self.minimum_slots(), int(min(max_slots, available_slots)))

    def may_start(self, item: WaitingDemand, now: float) -> bool:
        """Return whether long work may take a slot that no other work waits for.

        Long work that has waited for ``long_wait_factor`` times its expected run
        time may take any free slot, regardless of headroom and reserve.
        """
        if now >= self._headroom_exempt_at(item):
            return True
        if not item.demand.checkpointable:
            return (
                self.cell.grants.non_preemptible_held() < self.non_preemptible_limit()
            )
        available_slots = self._slots_left_by_short_work(
            self.cell.config.preemptible_headroom
        )
        reserve_share = self.cell.config.preemptible_reserve_share
        reserved_slots = int(self.cell.workers.serving_slots * reserve_share)
        enough_free = self.cell.workers.free_slots() > reserved_slots
        return enough_free and self.cell.grants.long_held() < available_slots

    def next_headroom_exemption(self, now: float) -> float | None:
        """Return the next time in seconds at which a long demand may take any slot.

        From then on, headroom and reserve don't apply to it. None if there is no
        free slot or no long demand to which they still apply.
        """
        if not self.cell.workers.has_free_slot():
            return None
        heads = self.cell.queue.by_class[WorkClass.LONG].heads()
        times = [self._headroom_exempt_at(item) for item in heads]
        return min((time for time in times if time > now), default=None)

    def _headroom_exempt_at(self, item: WaitingDemand) -> float:
        factor = self.cell.config.long_wait_factor
        return item.enqueued_at + factor * item.expected_ms / 1000

    def _slots_left_by_short_work(self, headroom: float) -> float:
        """Return the number of slots that short work does not need.

        The headroom is in standard deviations of the slot demand: with Poisson
        arrivals, the standard deviation is the square root of the mean.
        """
        mean = self.short_load.mean
        needed = mean + headroom * math.sqrt(mean)
        return self.cell.workers.serving_slots - needed

    def order_preempts_and_throttles(self, now: float) -> list[Decision]:
        """Return orders that free capacity for waiting urgent and short work.

        If none waits, the orders lift all throttles.
        """
        urgent = self.cell.queue.count(WorkClass.URGENT)
        short = self.cell.queue.count(WorkClass.SHORT)
        if urgent + short == 0:
            return self._lift_throttles()
        orders = self._order_preempts(urgent, short, now)
        if len(orders) < urgent + short:
            orders.extend(self._order_throttles(now))
        return orders

    def _schedule_check(self, grant: Grant, since: float) -> None:
        due = since + self.cell.estimates.long_threshold_ms() / 1000
        heapq.heappush(self.straggler_checks, (due, grant.grant_id))

    def _check_straggler(self, grant: Grant, now: float) -> None:
        estimates = self.cell.estimates
        if not estimates.has_cell_baseline():
            self._schedule_check(grant, now)
        elif grant.granted_at + estimates.long_threshold_ms() / 1000 > now:
            self._schedule_check(grant, grant.granted_at)
        else:
            self.cell.grants.mark_long(grant)
            estimates.observe_running(grant.kind, (now - grant.granted_at) * 1000)

    def _order_preempts(self, urgent: int, short: int, now: float) -> list[Decision]:
        pending = 0
        candidates: list[Grant] = []
        for grant in self.cell.grants.long_by_id.values():
            ordered_at = grant.preempted_at
            if ordered_at is not None and now - ordered_at < PREEMPT_RETRY_S:
                pending += 1
            elif grant.checkpointable:
                candidates.append(grant)
        needed = urgent + max(0, short - self._tolerated_waiting()) - pending
        above_minimum = self.cell.grants.long_held() - pending - self.minimum_slots()
        orders: list[Decision] = []
        # Preempting the most recent requests first lets the older ones finish.
        candidates.sort(key=lambda grant: grant.submitted_at, reverse=True)
        for grant in candidates:
            for_urgent = len(orders) + pending < urgent
            if len(orders) >= needed or (
                not for_urgent and len(orders) >= above_minimum
            ):
                break
            if for_urgent or self._ran_long_enough(grant, now):
                grant.preempted_at = now
                orders.append(Preempt(grant.grant_id, grant.vm))
        return orders

    def _tolerated_waiting(self) -> int:
        """Return the number of waiting short demands that don't justify a checkpoint.

        Short jobs that end while a checkpoint would be taken free slots for them.
        """
        median_s = self.cell.estimates.cell_median_ms() / 1000
        ending = self.cell.grants.short_held() * self.mean_checkpoint_s / median_s
        return int(self.cell.config.preempt_tolerance_share * ending)

    def _ran_long_enough(self, grant: Grant, now: float) -> bool:
        return now - grant.granted_at >= self.cell.config.preempt_min_run_s

    def _order_throttles(self, now: float) -> list[Decision]:
        head = self.cell.queue.by_class[WorkClass.SHORT].head(lambda _: False)
        config = self.cell.config
        if head is None or now - head.enqueued_at < config.throttle_after_s:
            return []
        orders: list[Decision] = []
        for grant in self.cell.grants.long_by_id.values():
            if len(orders) == MAX_THROTTLES_PER_POLL:
                break
            if not grant.checkpointable and not grant.throttled:
                grant.throttled = True
                self.throttled[grant.grant_id] = grant
                orders.append(Throttle(grant.grant_id, grant.vm, config.throttle_share))
        return orders

    def _lift_throttles(self) -> list[Decision]:
        orders: list[Decision] = []
        for grant in self.throttled.values():
            grant.throttled = False
            orders.append(Throttle(grant.grant_id, grant.vm, 1.0))
        self.throttled.clear()
        return orders
