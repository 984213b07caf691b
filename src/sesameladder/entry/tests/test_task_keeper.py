"""Tests of the slots of abandoned tasks and of orders for running tasks."""

from typing import Any

import pytest

from sesameladder.dispatch import OutcomeKind
from sesameladder.entry._held_grants import HeldGrant, HeldGrants
from sesameladder.entry._task_keeper import TaskKeeper
from sesameladder.entry.tests.fakes import InlineExecutor
from sesameladder.environment import WorkerUnavailable

LEASE_S = 3.0


class FakeTasks:
    """A worker that may be unreachable."""

    def __init__(self, reachable: bool) -> None:
        self.reachable = reachable
        self.calls: list[tuple[str, str]] = []

    def stop(self, address: str, task_id: str) -> bool:
        return self._call("stop", task_id)

    def checkpoint(self, address: str, task_id: str) -> bool:
        return self._call("checkpoint", task_id)

    def _call(self, action: str, task_id: str) -> bool:
        if not self.reachable:
            raise WorkerUnavailable("no response")
        self.calls.append((action, task_id))
        return True


class FakeGrants:
    """Records released grants."""

    def __init__(self) -> None:
        self.held_grants = HeldGrants()
        self.released: list[tuple[str, OutcomeKind]] = []

    def release(self, grant: HeldGrant, outcome: OutcomeKind, ran_ms: float) -> None:
        self.held_grants.remove(grant.grant_id)
        self.released.append((grant.grant_id, outcome))


class Harness:
    """A task keeper under a simulated clock with one running task."""

    def __init__(self, reachable: bool) -> None:
        self.now = 0.0
        self.tasks = FakeTasks(reachable)
        self.grants = FakeGrants()
        grants: Any = self.grants
        tasks: Any = self.tasks
        executor: Any = InlineExecutor()
        self.keeper = TaskKeeper(grants, tasks, lambda: self.now)
        self.keeper.executor = executor
        self.grant = HeldGrant(
            "g", "d", "p", "z", "e", "vm", "r", "a", "k", "t", False, True, 0.0
        )
        self.grants.held_grants.add(self.grant)


@pytest.mark.parametrize(
    ("reachable", "waited_s", "released"),
    [
        (True, 0.0, True),
        (False, 0.0, False),
        (False, LEASE_S - 0.1, False),
        (False, LEASE_S, True),
    ],
)
def test_slot_is_released_when_the_task_can_no_longer_run(
    reachable: bool, waited_s: float, released: bool
) -> None:
    """Guards against a slot that is granted again while its old task still runs.

    If the worker can't be reached, the task runs until its lease expires.
    """
    harness = Harness(reachable)
    harness.keeper.abandon(harness.grant, OutcomeKind.FAILED, 5.0)
    harness.now = waited_s
    harness.keeper._release_if_expired("g", harness.now)
    assert harness.grants.released == ([("g", OutcomeKind.FAILED)] if released else [])
    assert (harness.grants.held_grants.find("g") is None) is released


def test_slot_is_released_once() -> None:
    """Guards against a second release when the lease expires after the stop."""
    harness = Harness(True)
    harness.keeper.abandon(harness.grant, OutcomeKind.FAILED, 5.0)
    harness.keeper._release_if_expired("g", LEASE_S)
    assert len(harness.grants.released) == 1


@pytest.mark.parametrize(
    ("grant_id", "calls"), [("g", [("checkpoint", "g")]), ("x", [])]
)
def test_preempt_reaches_only_held_tasks(
    grant_id: str, calls: list[tuple[str, str]]
) -> None:
    """Guards against a checkpoint order for a task that has already ended."""
    harness = Harness(True)
    harness.keeper.preempt(grant_id)
    assert harness.tasks.calls == calls
