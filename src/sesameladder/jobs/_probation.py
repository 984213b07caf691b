"""Subtasks under which workers have crashed, and when their job is given up.

A crashed worker lists no ends, so the cause of a crash is inferred: a subtask that
crashes its worker does so right after its start, and the runs that were young when
the worker ended are suspects. A suspect is started again on a worker that is reserved
for its job, once all other runs there are no longer young. If that worker crashes too,
no other job is to blame; if the run grows old, its subtask is no suspect any more.

A job is given up only by crashes of workers on which runs of its subtask had begun,
and by two of them only if they are certain to have ended these runs. What is less
certain has the subtask started again.
"""

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass

from sesameladder.jobs._job import Subtask
from sesameladder.jobs._model import SubtaskId
from sesameladder.jobs._placement import choose_worker
from sesameladder.jobs._runs import YOUNG_RUN_S, Run, WorkerView

# The users allow to give up a subtask under which two workers have crashed.
CERTAIN_CRASHES_UNTIL_FAILED = 2
CONCLUSIVE_CRASHES_UNTIL_FAILED = 2
# The users forbid a third start after three crashes. One crash is in reserve, since the
# first may be lost with the owner; another for gangs, whose members are also started
# again after the crash of a worker that had another member.
SUSPECTED_CRASHES_UNTIL_FAILED = 4
# The VM list shows a crash within 0.5 s. One that becomes known later after the start
# may have come at any time since.
PROMPT_NOTICE_S = 0.5
SHORTEST_DURATION_SHARE = 0.5  # of the expected duration of a run
LIKELY_CRASH_AGE_S = 0.02  # crashes came 1 to 10 ms after the start
COMMON_CAUSE_S = 0.1  # between the crashes of workers that lose power together
UNSTABLE_S = 30.0  # a worker that flaps is down and up again within some seconds
RESERVATION_DIVISOR = 3  # at most a third of the workers are reserved at a time
RESERVATION_TIMEOUT_S = 2.0  # a run is old after 0.1 s and the worker's next report
SUSPECT_WAIT_LIMIT_S = 3.0  # long-running subtasks have to be back within 6 s


def find_suspects(
    runs: Iterable[Run], known_suspects: Container[SubtaskId]
) -> list[Run]:
    """Return the runs that may have crashed their worker.

    ``runs`` include those of jobs that have ended meanwhile. The adopted run of a
    known suspect may be as young as it is known.
    """
    return [
        run
        for run in runs
        if not run.is_rejected
        and not run.is_superseded
        and (
            run.is_young
            or (run.subtask.id in known_suspects and run.known_age_s < YOUNG_RUN_S)
        )
    ]


def is_ended_by_crash(run: Run, noticed_at: float, expected_s: float) -> bool:
    """Return whether the end of its worker has certainly ended a run.

    ``noticed_at`` is the time by which the worker had ended, ``expected_s`` the
    expected duration of the run in seconds. A run may have been done before, and its
    end never reported.
    """
    if not run.has_begun:
        return False
    step = run.subtask.step
    if step.spec.is_long_running:
        return True
    checkpoint = step.checkpoint if step.spec.gang else run.subtask.checkpoint
    if checkpoint and not run.reported_at:
        return False  # an unknown part of its duration is left
    seen_at = run.reported_at or run.sent_at
    left_s = expected_s * (1 - run.progress_percent / 100)
    return noticed_at - seen_at < SHORTEST_DURATION_SHARE * left_s


def find_culprits(
    suspects: list[Run], certain: Container[Run], noticed_at: float
) -> list[Run]:
    """Return the suspects that the crash has certainly ended, if one job is to blame.

    Likely are the suspects that the worker is hardly known to have outlived. A start
    that was not confirmed may not have reached the worker before it crashed.
    """
    likely = [run for run in suspects if run.known_age_s < LIKELY_CRASH_AGE_S]
    if len({run.subtask.id.job for run in likely}) != 1:
        return []
    return [
        run
        for run in likely
        if run in certain
        and run.confirmed_at is not None
        and (
            # No other job is tried on the worker of an announced run.
            run.number == run.subtask.announced_run
            or noticed_at - run.sent_at < PROMPT_NOTICE_S
        )
    ]


def must_give_up(subtask: Subtask, counts_unknown: bool = True) -> bool:
    """Return whether too many workers have crashed under a subtask.

    ``counts_unknown`` tells whether starts with an unknown outcome count as crashes.

    Two crashes have to be certain to have ended runs of the subtask, or
    ``SUSPECTED_CRASHES_UNTIL_FAILED`` to have met runs that had begun. Conclusive ones
    count once for each address: a worker that crashes again and again by itself is no
    evidence. Crashes under old runs don't count: a subtask that runs long outlives
    many workers. Suspected crashes of the members of a gang count together, since each
    of them is started again when one crashes.
    """
    step = subtask.step
    members = step.subtasks if step.spec.gang else [subtask]
    crashes = [row for member in members for row in member.crashes.items()]
    suspected_runs = {
        run
        for run, crash in crashes
        if crash.is_suspected and (crash.address or counts_unknown)
    }
    begun_runs = {
        run for run, crash in crashes if crash.is_suspected and crash.has_begun
    }
    if len(begun_runs) >= SUSPECTED_CRASHES_UNTIL_FAILED:
        return True
    limit = SUSPECTED_CRASHES_UNTIL_FAILED - (1 if step.spec.gang else 0)
    return any(
        _count_certain(member) >= CERTAIN_CRASHES_UNTIL_FAILED
        and (
            len(suspected_runs) >= limit
            or _count_conclusive(member) >= CONCLUSIVE_CRASHES_UNTIL_FAILED
        )
        for member in members
    )


def _count_certain(subtask: Subtask) -> int:
    crashes = subtask.crashes.values()
    return sum(crash.is_suspected and crash.is_certain for crash in crashes)


def _count_conclusive(subtask: Subtask) -> int:
    """Return the number of addresses with conclusive crashes under a subtask."""
    crashes = subtask.crashes.values()
    return len({crash.address for crash in crashes if crash.is_conclusive})


@dataclass(slots=True, eq=False)
class Reservation:
    """A worker reserved for the suspects of one job, since a steady time in s."""

    job: str
    worker: WorkerView
    since: float


@dataclass(frozen=True, slots=True)
class RecentCrash:
    """A crashed worker's rack, empty if unknown, and the time by which it had ended.

    The time is in seconds of the steady clock.
    """

    rack: str
    noticed_at: float


class Probation:
    """The suspects of a pool and the workers reserved for them."""

    __slots__ = ("crashes", "open_workers", "reservations", "suspects", "workers")

    def __init__(self) -> None:
        self.suspects: dict[SubtaskId, Subtask] = {}
        self.reservations: list[Reservation] = []

        self.crashes: dict[str, RecentCrash] = {}
        """Latest crash by address of the worker."""

        self.workers: list[WorkerView] = []
        """Workers that accept work in this pass."""

        self.open_workers: list[WorkerView] = []
        """Those of them that are reserved for no job."""

    def add(self, subtask: Subtask) -> None:
        """Add a subtask under which a worker has crashed."""
        self.suspects[subtask.id] = subtask

    def record_crash(self, worker: WorkerView, noticed_at: float) -> None:
        """Record that a worker has crashed."""
        self.crashes[worker.record.address] = RecentCrash(worker.rack, noticed_at)

    def has_common_cause(self, run: Run, noticed_at: float) -> bool:
        """Return whether another worker has crashed at the same time as a run's.

        Crashes under earlier runs of the subtask don't count.
        """
        own_addresses = {crash.address for crash in run.subtask.crashes.values()}
        own_addresses.add(run.worker.record.address)
        return any(
            abs(crash.noticed_at - noticed_at) < COMMON_CAUSE_S
            for address, crash in self.crashes.items()
            if address not in own_addresses
        )

    def forget_job(self, job: str) -> None:
        """Remove the suspects and the reservation of a job that has ended."""
        self.reservations = [
            reservation for reservation in self.reservations if reservation.job != job
        ]
        for subtask_id in [key for key in self.suspects if key.job == job]:
            del self.suspects[subtask_id]

    def begin_pass(
        self, accepting: list[WorkerView], runs: Mapping[SubtaskId, Run], now: float
    ) -> list[Subtask]:
        """Set the workers that accept work, and end what is no longer needed.

        Returns the subtasks that are no suspects any more.
        """
        cleared = [
            subtask
            for subtask in self.suspects.values()
            if subtask.is_done or _is_proven(runs.get(subtask.id))
        ]
        for subtask in cleared:
            subtask.clear_suspicion()
            del self.suspects[subtask.id]
        self.workers = accepting
        self.crashes = {
            address: crash
            for address, crash in self.crashes.items()
            if now - crash.noticed_at < UNSTABLE_S
        }
        self.reservations = [
            reservation
            for reservation in self.reservations
            if self._is_needed(reservation, runs, now)
        ]
        reserved = {reservation.worker.id for reservation in self.reservations}
        self.open_workers = [view for view in accepting if view.id not in reserved]
        return cleared

    def needs_reserved_worker(self, subtask: Subtask, now: float) -> bool:
        """Return whether a subtask may only be started apart from other jobs.

        A suspect that has waited too long is started like any other, unless a crash
        was conclusive.
        """
        if subtask.id not in self.suspects or subtask.step.spec.gang:
            return False
        return (
            any(crash.is_conclusive for crash in subtask.crashes.values())
            or now - subtask.crashed_at < SUSPECT_WAIT_LIMIT_S
        )

    def choose_worker(
        self, subtask: Subtask, tickets: dict[str, str] | None, now: float
    ) -> WorkerView | None:
        """Return a worker reserved for the suspect's job once it may start there.

        Reserves another worker if the suspect fits on none of them.
        """
        job = subtask.id.job
        fitting = [
            reservation.worker
            for reservation in self.reservations
            if reservation.job == job
            and choose_worker(subtask, [reservation.worker], tickets) is not None
        ]
        if not fitting:
            worker = self._reserve_worker(subtask, tickets, now)
            fitting = [worker] if worker is not None else []
        for worker in fitting:
            if worker in self.workers and not any(
                run.is_young and run.subtask.id.job != job
                for run in worker.runs.values()
            ):
                return worker
        return None

    def list_watched(self, runs: Mapping[SubtaskId, Run]) -> set[str]:
        """Return the workers on which suspects are tried, or are about to be."""
        watched = {reservation.worker.id for reservation in self.reservations}
        tried = filter(None, map(runs.get, self.suspects))
        watched.update(run.worker.id for run in tried)
        return watched

    def _reserve_worker(
        self, subtask: Subtask, tickets: dict[str, str] | None, now: float
    ) -> WorkerView | None:
        """Reserve an open worker for a suspect's job.

        Preferred are workers at other addresses and in other racks than those that
        crashed under it, stable ones, and those on which a crash would end the fewest
        runs.
        """
        if len(self.reservations) >= max(1, len(self.workers) // RESERVATION_DIVISOR):
            return None
        addresses = {crash.address for crash in subtask.crashes.values()}
        racks = {
            crash.rack
            for address, crash in self.crashes.items()
            if address in addresses and crash.rack
        }
        candidates = sorted(
            self.open_workers,
            key=lambda view: (
                view.record.address in addresses,
                view.rack in racks,
                view.record.address in self.crashes,
                len(view.runs),
            ),
        )
        for view in candidates:
            if choose_worker(subtask, [view], tickets) is not None:
                self.reservations.append(Reservation(subtask.id.job, view, now))
                self.open_workers.remove(view)
                return view
        return None

    def _is_needed(
        self, reservation: Reservation, runs: Mapping[SubtaskId, Run], now: float
    ) -> bool:
        """Return whether a suspect runs on the worker, or may still start there."""
        view = reservation.worker
        accepts_soon = view in self.workers or now < view.full_until
        if now - reservation.since > RESERVATION_TIMEOUT_S or not accepts_soon:
            return False
        suspects = [
            row for row in self.suspects.values() if row.id.job == reservation.job
        ]
        found = [runs.get(subtask.id) for subtask in suspects]
        if any(run is not None and run.worker is view for run in found):
            return True
        return any(
            run is None and choose_worker(subtask, [view], None) is not None
            for subtask, run in zip(suspects, found, strict=True)
        )


def _is_proven(run: Run | None) -> bool:
    return run is not None and run.known_age_s >= YOUNG_RUN_S
