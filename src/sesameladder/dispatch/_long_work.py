"""Limits of long work, stragglers, preemption and throttling."""

import heapq
import math

from sesameladder.dispatch._cell import CellState
from sesameladder.dispatch._grants import Grant
from sesameladder.dispatch._types import Decision, Preempt, Throttle, WorkClass

PREEMPT_PATIENCE_S = 2.0
MAX_THROTTLES_PER_POLL = 4


class MeanLoad:
    """An exponentially weighted mean, over time, of the slots in demand."""

    __slots__ = ("level", "mean", "updated_at", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.level = 0.0
        self.mean = 0.0
        self.updated_at: float | None = None

    def update(self, level: float, now: float) -> None:
        """Set the level that holds from now on."""
        if self.updated_at is not None:
            decay = math.exp(-max(0.0, now - self.updated_at) / self.window_s)
            self.mean = self.level + (self.mean - self.level) * decay
        self.level = level
        self.updated_at = now


class LongWork:
    """Keeps long work from occupying the slots that short work needs."""

    __slots__ = ("cell", "short_load", "stragglers", "throttled")

    def __init__(self, cell: CellState) -> None:
        self.cell = cell
        self.short_load = MeanLoad(cell.config.load_window_s)
        self.stragglers: list[tuple[float, str]] = []
        self.throttled: dict[str, Grant] = {}

    def started(self, grant: Grant) -> None:
        """Watch a new grant, which may become a straggler."""
        if not grant.long:
            self._watch(grant, grant.granted_at)

    def ended(self, grant: Grant) -> None:
        """Forget a grant that was removed."""
        self.throttled.pop(grant.grant_id, None)

    def update(self, now: float) -> None:
        """Find the grants that have become long and measure the short load."""
        while self.stragglers and self.stragglers[0][0] <= now:
            grant = self.cell.grants.by_id.get(heapq.heappop(self.stragglers)[1])
            if grant is not None and not grant.long:
                self._check_straggler(grant, now)
        waiting = self.cell.queue.count(WorkClass.URGENT, WorkClass.SHORT)
        self.short_load.update(self.cell.grants.short_held() + waiting, now)

    def next_check(self) -> float | None:
        """Return the next time at which a grant may have become long."""
        by_id = self.cell.grants.by_id
        while self.stragglers and self.stragglers[0][1] not in by_id:
            heapq.heappop(self.stragglers)
        return self.stragglers[0][0] if self.stragglers else None

    def floor(self) -> int:
        """Return the slots that waiting long work gets before short work."""
        share = self.cell.config.long_floor_share
        return int(self.cell.workers.serving_slots * share)

    def goes_first(self, now: float) -> bool:
        """Return whether waiting long work is due before short work."""
        held = self.cell.grants.long_held()
        if held > 0 or self.floor() > 0:
            return held < self.floor()
        # A small cell has no slot to set aside; waiting decides there.
        head = self.cell.queue.by_class[WorkClass.LONG].head(lambda _: False)
        waited = now - head.enqueued_at if head is not None else 0.0
        return waited >= self.cell.config.patience_s

    def limit(self) -> int:
        """Return the slots that long work may hold."""
        slots = self.cell.workers.serving_slots
        mean = self.short_load.mean
        needed = mean + self.cell.config.short_headroom * math.sqrt(mean)
        most = int(slots * self.cell.config.long_share)
        return max(1, self.floor(), min(most, int(slots - needed)))

    def order_relief(self, now: float) -> list[Decision]:
        """Return orders that free slots for waiting urgent and short work."""
        urgent = self.cell.queue.count(WorkClass.URGENT)
        short = self.cell.queue.count(WorkClass.SHORT)
        if urgent + short == 0:
            return self._lift_throttles()
        orders = self._order_preempts(urgent, short, now)
        if len(orders) < urgent + short:
            orders.extend(self._order_throttles(now))
        return orders

    def _watch(self, grant: Grant, since: float) -> None:
        due = since + self.cell.estimates.long_threshold_ms() / 1000
        heapq.heappush(self.stragglers, (due, grant.grant_id))

    def _check_straggler(self, grant: Grant, now: float) -> None:
        estimates = self.cell.estimates
        if not estimates.knows_cell():
            self._watch(grant, now)
        elif grant.granted_at + estimates.long_threshold_ms() / 1000 > now:
            self._watch(grant, grant.granted_at)
        else:
            self.cell.grants.mark_long(grant)
            estimates.observe_running(grant.kind, (now - grant.granted_at) * 1000)

    def _order_preempts(self, urgent: int, short: int, now: float) -> list[Decision]:
        pending = 0
        candidates: list[Grant] = []
        for grant in self.cell.grants.long_ids.values():
            ordered = grant.preempted_at
            if ordered is not None and now - ordered < PREEMPT_PATIENCE_S:
                pending += 1
            elif grant.checkpointable:
                candidates.append(grant)
        needed = urgent + short - pending
        spare = self.cell.grants.long_held() - pending - self.floor()
        orders: list[Decision] = []
        for grant in candidates:
            for_urgent = len(orders) + pending < urgent
            if len(orders) >= needed or (not for_urgent and len(orders) >= spare):
                break
            if for_urgent or self._ran_long_enough(grant, now):
                grant.preempted_at = now
                orders.append(Preempt(grant.grant_id, grant.vm))
        return orders

    def _ran_long_enough(self, grant: Grant, now: float) -> bool:
        return now - grant.granted_at >= self.cell.config.preempt_min_run_s

    def _order_throttles(self, now: float) -> list[Decision]:
        head = self.cell.queue.by_class[WorkClass.SHORT].head(lambda _: False)
        config = self.cell.config
        if head is None or now - head.enqueued_at < config.throttle_after_s:
            return []
        orders: list[Decision] = []
        for grant in self.cell.grants.long_ids.values():
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
