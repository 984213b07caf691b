"""Simulated worker with runs and leases as the users' platform documents them.

It has no threads: every call first ends the runs that are due by the injected clock.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MAX_LEASE_MS = 10_000  # documented upper bound of a lease
STOP_DURATION_MS = 50  # below the documented grace time of 400 to 900 ms
GANG_WAIT_MS = 3000  # time after which a gang member no longer waits for others
CRASH = "crash"  # predicted end of a run that crashes its worker; never reported
MAX_REPORTED_ENDS = 500  # documented limit of ends in one report

Response = tuple[int, dict[str, Any]]


@dataclass(frozen=True, slots=True)
class SimulatedWork:
    """Simulated work that the ``spec`` text of a start describes.

    ``cpu`` is in thousandths of a core; work that ``lasts`` runs until it is stopped
    or its lease expires. Work with ``crash_after_ms`` crashes its worker that long
    after its start.
    """

    duration_ms: int = 100
    cpu: int = 1000
    lasts: bool = False
    fails: bool = False
    crash_after_ms: int | None = None
    crashing_tasks: tuple[str, ...] = ()
    """Subtasks that crash their worker, as ``STEP.INDEX``; empty for all of the job.

    A payload is common to all subtasks of a job.
    """

    waits_for_gang: bool = False
    """Whether a run works only once ``begin_work`` is called; else it ends ``alone``.

    Who calls it knows all workers; the stand-in with real servers does not do so.
    """

    @classmethod
    def from_text(cls, text: str) -> "SimulatedWork":
        """Return the work in a job's payload, or the default if it holds none."""
        try:
            fields = json.loads(text)
        except ValueError:
            return cls()
        if not isinstance(fields, dict):
            return cls()
        fields["crashing_tasks"] = tuple(fields.get("crashing_tasks", ()))
        return cls(**fields)

    def to_text(self) -> str:
        """Return the JSON payload that describes this work."""
        return json.dumps(
            {
                "duration_ms": self.duration_ms,
                "cpu": self.cpu,
                "lasts": self.lasts,
                "fails": self.fails,
                "crash_after_ms": self.crash_after_ms,
                "crashing_tasks": self.crashing_tasks,
                "waits_for_gang": self.waits_for_gang,
            }
        )

    def crashes(self, task: str) -> bool:
        """Return whether a subtask, named ``JOB.K.STEP.INDEX``, crashes its worker."""
        if self.crash_after_ms is None:
            return False
        position = task.split(".", 2)[-1]
        return not self.crashing_tasks or position in self.crashing_tasks


@dataclass(slots=True)
class ActiveRun:
    """A run in progress; times are of the worker's clock, in milliseconds."""

    task: str
    run: int
    work: SimulatedWork
    started_ms: float
    stop_at_ms: float | None = None
    working_since_ms: float | None = None
    """Time at which it began to work; None while it waits for its gang."""


@dataclass(slots=True)
class SimulatedWorker:
    """Worker of one VM; ``restart`` begins a new incarnation."""

    name: str
    now_ms: Callable[[], float]
    capacity: int = 8000
    """CPU capacity in thousandths of a core."""

    guards_capacity: bool = True
    """Whether starts beyond the capacity are rejected; else they are executed."""

    fails_every_run: bool = False
    """Whether every run fails 10 ms after its start."""

    on_start: Callable[["SimulatedWorker", str, int], None] | None = None
    on_end: Callable[["SimulatedWorker", str, int, str], None] | None = None
    on_acknowledge: Callable[["SimulatedWorker", str, int, str], None] | None = None
    """Called with each end that an owner has taken note of, as ``on_end``."""

    on_crash: Callable[["SimulatedWorker", str, int], None] | None = None
    """Called after a run has crashed the worker, with its subtask and run number.

    The worker stays down until its owner calls ``restart``.
    """

    born_ms: int = 1
    is_up: bool = True
    fence: int = 0
    lease_expires_at_ms: float = 0.0
    runs: dict[str, ActiveRun] = field(default_factory=dict)
    ends: list[tuple[int, str, int, str]] = field(default_factory=list)
    next_end_number: int = 1
    last_obsolete_run: dict[str, int] = field(default_factory=dict)
    """Highest run that was stopped or has ended here, by task.

    Starts of this run and of older ones are rejected.
    """

    def crash(self) -> None:
        """Go down and lose all runs; no end is recorded, ``on_end`` gets ``lost``."""
        for active in list(self.runs.values()):
            self._notify_end(active, "lost")
        self.is_up = False
        self.runs.clear()

    def restart(self) -> None:
        """Begin a new incarnation without runs, ends, lease or fence."""
        if self.is_up:
            self.crash()
        self.is_up = True
        self.born_ms += 1
        self.fence = 0
        self.lease_expires_at_ms = 0.0
        self.ends.clear()
        self.next_end_number = 1
        self.last_obsolete_run.clear()

    def advance(self) -> None:
        """End the runs that are due by now, in the order of their end times.

        Runs that are due after one that crashes the worker are lost with it.
        """
        now = self.now_ms()
        for active in sorted(self.runs.values(), key=self._predict_end_time):
            at, reason = self._predict_end(active)
            if at > now:
                return
            if reason == CRASH:
                self.crash()
                if self.on_crash is not None:
                    self.on_crash(self, active.task, active.run)
                return
            self._end_run(active, reason)

    def start(self, body: dict[str, Any]) -> Response:
        """Respond to ``run-start``.

        Status 409 gives the reason ``fence``, ``old``, ``late`` or ``room``.
        """
        rejection = self._check_fence(body)
        if rejection is not None:
            return rejection
        task, run = body["task"], body["run"]
        # The lease belongs to the worker, not to the run: a start whose own deadline
        # has passed is accepted as long as the worker's lease is valid.
        self._extend_lease(body)
        active = self.runs.get(task)
        if active is not None and active.run == run:
            return self._build_response(200)
        if run <= self.last_obsolete_run.get(task, 0) or active is not None:
            return self._build_response(409, "old")
        if self.lease_expires_at_ms <= self.now_ms():
            return self._build_response(409, "late")
        work = SimulatedWork.from_text(body["spec"])
        used_cpu = sum(other.work.cpu for other in self.runs.values())
        if self.guards_capacity and used_cpu + work.cpu > self.capacity:
            return self._build_response(409, "room")
        self.runs[task] = active = ActiveRun(task, run, work, self.now_ms())
        if not work.waits_for_gang:
            active.working_since_ms = active.started_ms
        if self.on_start is not None:
            self.on_start(self, task, run)
        return self._build_response(200)

    def stop(self, body: dict[str, Any]) -> Response:
        """Respond to ``run-stop``: stop a run, or bar its later start."""
        rejection = self._check_fence(body)
        if rejection is not None:
            return rejection
        task, run = body["task"], body["run"]
        active = self.runs.get(task)
        if active is not None and active.run <= run:
            if active.stop_at_ms is None:
                active.stop_at_ms = self.now_ms() + STOP_DURATION_MS
        else:
            self.last_obsolete_run[task] = max(self.last_obsolete_run.get(task, 0), run)
        return self._build_response(200)

    def report(self, body: dict[str, Any]) -> Response:
        """Respond to ``hold``: extend the lease and list runs and ends.

        Ends up to ``lastSeen`` are acknowledged and discarded.
        """
        rejection = self._check_fence(body)
        if rejection is not None:
            return rejection
        self._extend_lease(body)
        last_seen = body.get("lastSeen", 0)
        if self.on_acknowledge is not None:
            for number, task, run, reason in self.ends:
                if number <= last_seen:
                    self.on_acknowledge(self, task, run, reason)
        self.ends = [end for end in self.ends if end[0] > last_seen]
        status, response_body = self._build_response(200)
        response_body["running"] = [
            self._encode_run(active) for active in self.runs.values()
        ]
        response_body["ended"] = [[*end, ""] for end in self.ends[:MAX_REPORTED_ENDS]]
        return status, response_body

    def pace(self, body: dict[str, Any]) -> Response:
        """Respond to ``pace``: checks the fence only, the pace is ignored."""
        rejection = self._check_fence(body)
        return rejection if rejection is not None else self._build_response(200)

    def begin_work(self, task: str) -> None:
        """Let a gang member work from now on; all members are present."""
        self.runs[task].working_since_ms = self.now_ms()

    def end_member(self, task: str, reason: str) -> None:
        """End a gang member's run, since another member's has ended."""
        self._end_run(self.runs[task], reason)

    def has_end_after(self, last_seen: int) -> bool:
        """Return whether an end with a number above ``last_seen`` is listed."""
        self.advance()
        return any(end[0] > last_seen for end in self.ends)

    def _check_fence(self, body: dict[str, Any]) -> Response | None:
        self.advance()
        if not self.is_up:
            return 503, {}
        fence = body.get("fence", 0)
        if fence < self.fence:
            return self._build_response(409, "fence")
        self.fence = fence
        return None

    def _extend_lease(self, body: dict[str, Any]) -> None:
        requested_expiry_ms = body.get("deadlineMs", 0.0)
        self.lease_expires_at_ms = max(
            self.lease_expires_at_ms,
            min(requested_expiry_ms, self.now_ms() + MAX_LEASE_MS),
        )

    def _build_response(self, status: int, reason: str = "") -> Response:
        response_body: dict[str, Any] = {
            "clockMs": int(self.now_ms()),
            "born": self.born_ms,
        }
        if reason:
            response_body["reason"] = reason
        return status, response_body

    def _encode_run(self, active: ActiveRun) -> list[Any]:
        now = self.now_ms()
        since_ms = now if active.working_since_ms is None else active.working_since_ms
        elapsed_ms = now - since_ms
        percent_done = (
            100 if active.work.lasts else elapsed_ms / active.work.duration_ms * 100
        )
        return [active.task, active.run, "", int(min(100, percent_done)), 0]

    def _predict_end(self, active: ActiveRun) -> tuple[float, str]:
        ends = [(self.lease_expires_at_ms, "lapsed")]
        if active.stop_at_ms is not None:
            ends.append((active.stop_at_ms, "stopped"))
        if self.fails_every_run:
            ends.append((active.started_ms + 10, "failed"))
        crash_after_ms = active.work.crash_after_ms
        if crash_after_ms is not None and active.work.crashes(active.task):
            ends.append((active.started_ms + crash_after_ms, CRASH))
        if active.working_since_ms is None:
            ends.append((active.started_ms + GANG_WAIT_MS, "alone"))
        elif not active.work.lasts:
            reason = "failed" if active.work.fails else "done"
            ends.append((active.working_since_ms + active.work.duration_ms, reason))
        return min(ends)

    def _predict_end_time(self, active: ActiveRun) -> float:
        return self._predict_end(active)[0]

    def _end_run(self, active: ActiveRun, reason: str) -> None:
        del self.runs[active.task]
        self.last_obsolete_run[active.task] = max(
            self.last_obsolete_run.get(active.task, 0), active.run
        )
        self.ends.append((self.next_end_number, active.task, active.run, reason))
        self.next_end_number += 1
        self._notify_end(active, reason)

    def _notify_end(self, active: ActiveRun, reason: str) -> None:
        if self.on_end is not None:
            self.on_end(self, active.task, active.run, reason)
