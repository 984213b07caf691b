"""Tests of the execution of the planner's actions on VMs."""

from random import Random
from typing import Any

import pytest

from sesameladder.entry._planner_task import PlannerTask
from sesameladder.entry._view import FleetView
from sesameladder.environment import PlatformError
from sesameladder.model import PeerIdentity
from sesameladder.observability import Metrics
from sesameladder.planning import Action, DrainVm, RebootVm


class FakePeers:
    """An instance without peers."""

    def __init__(self) -> None:
        self.identity = PeerIdentity("entry-1", 1)
        self.addresses: dict[str, Any] = {}


class FakePlatform:
    """Accepts actions except on the VMs in ``refused``."""

    def __init__(self, refused: set[str]) -> None:
        self.refused = refused
        self.done: list[tuple[str, str]] = []

    def drain(self, vm: str) -> None:
        self._act("drain", vm)

    def reboot(self, vm: str) -> None:
        self._act("reboot", vm)

    def _act(self, action: str, vm: str) -> None:
        if vm in self.refused:
            raise PlatformError(f"{action} of {vm}")
        self.done.append((action, vm))


class FakeRole:
    """A role that is lost after the given number of checks."""

    def __init__(self, checks: int) -> None:
        self.checks = checks

    @property
    def lost(self) -> bool:
        self.checks -= 1
        return self.checks < 0


ACTIONS: list[Action] = [DrainVm("a"), RebootVm("b"), DrainVm("c")]


@pytest.mark.parametrize(
    ("refused", "checks", "done"),
    [
        (set(), 9, [("drain", "a"), ("reboot", "b"), ("drain", "c")]),
        ({"a"}, 9, [("reboot", "b"), ("drain", "c")]),
        ({"b"}, 9, [("drain", "a"), ("drain", "c")]),
        (set(), 1, [("drain", "a")]),
        (set(), 0, []),
    ],
)
def test_actions_are_executed_while_the_role_is_held(
    refused: set[str], checks: int, done: list[tuple[str, str]]
) -> None:
    """Guards against a failed action that prevents the following ones.

    No action may be executed after the role is lost.
    """
    platform: Any = FakePlatform(refused)
    fake: Any = FakePeers()
    task = PlannerTask(
        fake, FleetView("north"), fake, fake, platform, fake,
        (), lambda: 0.0, Random(1), Metrics(None),
    )  # fmt: skip
    role: Any = FakeRole(checks)
    task.session.role = role
    task.execute_actions(ACTIONS)
    assert platform.done == done
    assert set(task.accepted_reboots) == {
        vm for action, vm in done if action == "reboot"
    }
