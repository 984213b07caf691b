"""Reservations of workers for wide subtasks (backfill scheduling).

Small subtasks take each gap that opens on a full pool, and a wide one behind or among
them finds no worker with enough room at once. A reservation keeps the worker on which
that room comes soonest for it. Later steps of the ranking may still use the worker if
they are expected to end before, or if they leave room enough.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sesameladder.jobs._durations import DurationTable
from sesameladder.jobs._job import Step
from sesameladder.jobs._model import Resources
from sesameladder.jobs._ordering import Urgency
from sesameladder.jobs._placement import is_eligible
from sesameladder.jobs._runs import Run, WorkerView

# A subtask is wide if it needs this share of the largest worker. Narrower ones find
# room soon by the order of the ranking alone.
WIDE_SHARE = 0.25
MAX_WORKER_SHARE = 0.1  # of the accepting workers; at least one
MAX_RESERVATIONS = 8  # bounds the work of a pass in large pools
# Workers that one search looks at. Among so many the soonest room is about as soon as
# among all, and a pass costs the same in larger pools.
MAX_SEARCHED_WORKERS = 48
SEARCH_PAUSE_S = 0.1  # after a search without a result
ERROR_MARGIN = 0.1  # of a duration, added to each expected end
# An overdue run counts as ending after this further share of its duration.
OVERDUE_SHARE = 0.25
STOP_S = 0.9  # the longest grace period of a stop
LOG_INTERVAL_S = 1.0
NEVER = float("inf")

EventLogger = Callable[..., None]


@dataclass(slots=True, eq=False)
class RoomReservation:
    """A worker that is kept for the next subtask of a step.

    Times are in seconds of the steady clock.
    """

    step: Step
    worker: WorkerView
    waiting_count: int
    """Waiting subtasks of the step when it was made; fewer show that one started."""

    starts_at: float
    """Time at which the subtask is expected to find room."""

    ending: Resources
    """Resources of the present runs that are expected to end by then."""

    first_starts_at: float
    """What ``starts_at`` was when the reservation was made."""

    def admits(self, needs: Resources, ends_at: float) -> bool:
        """Return whether a subtask that fits on the worker now leaves room in time."""
        if ends_at <= self.starts_at:
            return True
        worker, own, ending = self.worker, self.step.spec.needs, self.ending
        capacity = worker.capacity
        return (
            worker.used_cpu_millis
            + needs.cpu_millis
            + _count_cpu(self.step)
            - ending.cpu_millis
            <= capacity.cpu_millis
            and worker.used_memory_mb
            + needs.memory_mb
            + own.memory_mb
            - ending.memory_mb
            <= capacity.memory_mb
            and worker.used_gpus + needs.gpus + own.gpus - ending.gpus <= capacity.gpus
        )


class Reservations:
    """Reserves workers for wide subtasks that wait in a pool without room for them.

    Answers loads near the pool's capacity and above with subtasks of very different
    widths. A caller with wide subtasks waits less, callers behind it in the ranking
    wait at most until the reservation starts or expires. Each pass makes all
    reservations anew in the order of the ranking; what is kept between passes only
    prevents a step from changing its worker.
    """

    __slots__ = (
        "barred_until",
        "current",
        "durations",
        "expired",
        "is_enabled",
        "is_over_cap",
        "limit",
        "log_event",
        "logged_at",
        "made",
        "max_reserved_free_millis",
        "next_searched",
        "now",
        "previous",
        "searches_left",
        "wide_cpu_millis",
        "wide_memory_mb",
        "workers",
    )

    def __init__(self, durations: DurationTable, log_event: EventLogger) -> None:
        self.durations = durations
        self.log_event = log_event
        self.is_enabled = False
        """Whether reservations are made from the next pass on.

        Off by default: no size of jobs gained by them (docs/design/reservations.md).
        """

        self.is_over_cap: Callable[[Step], bool] = lambda _: False
        """Returns whether a step may not start now since its organisation is over
        its cap. Such a step reserves nothing."""

        self.made = 0
        """Reservations made so far."""

        self.expired = 0
        """Reservations that ended because their start was pushed on for too long."""

        self.current: dict[str, RoomReservation] = {}
        """Reservations of this pass, by worker."""

        self.previous: dict[tuple[str, int, int], RoomReservation] = {}
        """Reservations of the last pass, by step key."""

        self.barred_until: dict[tuple[str, int, int], float] = {}
        """Time until which a step reserves nothing, by step key."""

        self.workers: list[WorkerView] = []
        self.limit = 0
        self.searches_left = 0
        self.max_reserved_free_millis = -1
        """Most unused millicores of a reserved worker, at the latest search for the
        most unused ones; a bound until the next, since a pass only adds runs."""

        self.next_searched = 0
        """Position among the workers at which the next search begins."""

        self.now = 0.0
        self.logged_at = -NEVER
        self.wide_cpu_millis = self.wide_memory_mb = 0.0

    def begin_pass(self, workers: list[WorkerView], now: float) -> None:
        """Begin a pass with the workers that accept work of any job.

        Reservations on other workers end: these drain, are silent, ejected or gone.
        """
        earlier, self.current, self.previous = self.current, {}, {}
        self.workers, self.now, self.limit = workers, now, 0
        if not self.is_enabled or not workers:
            return
        accepting = {id(view) for view in workers} if earlier else set()
        self.previous = {
            reservation.step.key: reservation
            for reservation in earlier.values()
            if id(reservation.worker) in accepting
        }
        self.limit = min(MAX_RESERVATIONS, max(1, int(MAX_WORKER_SHARE * len(workers))))
        self.searches_left = 1
        self.barred_until = {
            key: until for key, until in self.barred_until.items() if now < until
        }
        capacities = [view.capacity for view in workers]
        self.wide_cpu_millis = WIDE_SHARE * max(row.cpu_millis for row in capacities)
        self.wide_memory_mb = WIDE_SHARE * max(row.memory_mb for row in capacities)

    def list_open(self, step: Step) -> list[WorkerView]:
        """Return the workers on which subtasks of a step may start now.

        A reserved worker must be able to take all members of a gang.
        """
        workers = self.workers
        if not self.current:
            return workers
        count = step.spec.count if step.spec.gang else 1
        blocked = {
            reservation.worker.id
            for reservation in self.current.values()
            if reservation.step is not step
            and not self._admits(reservation, step, count)
        }
        if not blocked:
            return workers
        return [view for view in workers if view.id not in blocked]

    def may_fit(self, step: Step) -> bool:
        """Return whether a step may find room on a reserved worker."""
        if step.spec.needs.cpu_millis > self.max_reserved_free_millis:
            return False
        return any(
            reservation.worker.free_cpu_millis >= step.spec.needs.cpu_millis
            and self._admits(reservation, step)
            for reservation in self.current.values()
        )

    def find_max_free_cpu(self, workers: list[WorkerView]) -> int:
        """Return the most unused millicores of any unreserved worker.

        -1 if there is none.
        """
        self.max_reserved_free_millis = -1
        if self.current:
            self.max_reserved_free_millis = max(
                row.worker.free_cpu_millis for row in self.current.values()
            )
            workers = [view for view in workers if view.id not in self.current]
        return max((view.free_cpu_millis for view in workers), default=-1)

    def reserve(self, step: Step, tickets: dict[str, str] | None) -> None:
        """Reserve a worker for the next subtask of a step that fits on none now."""
        if len(self.current) >= self.limit or not self._may_reserve(step):
            return
        duration_s = self._estimate(step)
        kept = self.previous.pop(step.key, None)
        if (
            kept is not None
            and kept.waiting_count == step.waiting_count
            and kept.worker.id not in self.current
            and is_eligible(step, kept.worker, tickets)
        ):
            kept.starts_at, kept.ending = self._find_room(step, kept.worker)
            if kept.starts_at - kept.first_starts_at <= duration_s:
                self.current[kept.worker.id] = kept
                return
            self._expire(kept, duration_s)
            return
        if self.searches_left:
            self.searches_left -= 1
            self._search(step, tickets)

    def _may_reserve(self, step: Step) -> bool:
        spec = step.spec
        if spec.gang or spec.is_best_effort or step.urgency > Urgency.IN_TIME:
            return False
        if (
            spec.needs.cpu_millis < self.wide_cpu_millis
            and spec.needs.memory_mb < self.wide_memory_mb
        ):
            return False
        if step.key in self.barred_until or self.is_over_cap(step):
            return False
        paused = sum(subtask.not_before > self.now for subtask in step.waiting.values())
        return paused < step.waiting_count

    def _search(self, step: Step, tickets: dict[str, str] | None) -> None:
        """Reserve the worker on which room for a step's subtask comes soonest."""
        held = {row.worker.id for row in self.previous.values()} | set(self.current)
        best: RoomReservation | None = None
        count = min(MAX_SEARCHED_WORKERS, len(self.workers))
        first, self.next_searched = self.next_searched, self.next_searched + count
        for position in range(first, first + count):
            worker = self.workers[position % len(self.workers)]
            if worker.id in held or not is_eligible(step, worker, tickets):
                continue
            starts_at, ending = self._find_room(step, worker)
            if starts_at < (best.starts_at if best else NEVER):
                best = RoomReservation(
                    step, worker, step.waiting_count, starts_at, ending, starts_at
                )
        if best is None:
            self.barred_until[step.key] = self.now + SEARCH_PAUSE_S
            return
        self.current[best.worker.id] = best
        self.made += 1
        self._log("worker_reserved", best)

    def _expire(self, reservation: RoomReservation, duration_s: float) -> None:
        self.expired += 1
        self.barred_until[reservation.step.key] = self.now + duration_s
        self._log("reservation_expired", reservation)

    def _log(self, event: str, reservation: RoomReservation) -> None:
        """Log at most one line in ``LOG_INTERVAL_S``, with the counts so far."""
        if self.now - self.logged_at < LOG_INTERVAL_S:
            return
        self.logged_at = self.now
        starts_in_s = reservation.starts_at - self.now
        self.log_event(
            event,
            worker=reservation.worker.id,
            job=reservation.step.job.id,
            step=reservation.step.number,
            cpu_millis=reservation.step.spec.needs.cpu_millis,
            starts_in_s=None if starts_in_s == NEVER else round(starts_in_s, 3),
            reserved=len(self.current),
            made=self.made,
            expired=self.expired,
        )

    def _estimate(self, step: Step) -> float:
        """Return the time in seconds after which a run has probably ended."""
        submission = step.job.submission
        expected_s = self.durations.estimate_duration(submission, step.number)
        return expected_s * (1 + ERROR_MARGIN)

    def _admits(self, reservation: RoomReservation, step: Step, count: int = 1) -> bool:
        spec = step.spec
        lasts = spec.is_long_running or spec.is_best_effort
        ends_at = NEVER if lasts else self.now + self._estimate(step)
        needs = Resources(
            count * _count_cpu(step),
            count * spec.needs.memory_mb,
            count * spec.needs.gpus,
        )
        return reservation.admits(needs, ends_at)

    def _find_room(self, step: Step, worker: WorkerView) -> tuple[float, Resources]:
        """Return when a subtask is expected to fit, and what will have ended by then.

        The time is ``NEVER`` if runs that end by themselves leave too little room.
        """
        needs, capacity = step.spec.needs, worker.capacity
        cpu = worker.used_cpu_millis + needs.cpu_millis - capacity.cpu_millis
        memory = worker.used_memory_mb + needs.memory_mb - capacity.memory_mb
        gpus = worker.used_gpus + needs.gpus - capacity.gpus
        ends = [
            (self._expect_end(run), run.subtask.step) for run in worker.runs.values()
        ]
        ends.sort(key=lambda row: row[0])
        starts_at = self.now
        cpu_ended = memory_ended = gpus_ended = 0
        for ends_at, ended in ends:
            if cpu_ended >= cpu and memory_ended >= memory and gpus_ended >= gpus:
                break
            starts_at = ends_at
            cpu_ended += _count_cpu(ended)
            memory_ended += ended.spec.needs.memory_mb
            gpus_ended += ended.spec.needs.gpus
        if cpu_ended < cpu or memory_ended < memory or gpus_ended < gpus:
            starts_at = NEVER
        return starts_at, Resources(cpu_ended, memory_ended, gpus_ended)

    def _expect_end(self, run: Run) -> float:
        """Return the time at which a run will probably have ended."""
        if run.stopping_since is not None:
            return max(run.stopping_since + STOP_S, self.now)
        step = run.subtask.step
        if step.spec.is_long_running or run.is_unsized:
            return NEVER
        began_at = run.sent_at if run.confirmed_at is None else run.confirmed_at
        duration_s = self._estimate(step)
        if began_at + duration_s > self.now:
            return began_at + duration_s
        return self.now + OVERDUE_SHARE * duration_s


def _count_cpu(step: Step) -> int:
    """Return the millicores that count for a subtask; 0 for a best-effort one."""
    return 0 if step.spec.is_best_effort else step.spec.needs.cpu_millis
