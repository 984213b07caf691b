"""Tests of detecting ended incarnations of workers from the VM list."""

from dataclasses import replace

import pytest

from sesameladder.fleet import EndedIncarnation, IncarnationTracker, VmPhase
from sesameladder.fleet.tests.test_maintenance import build_vms

BORN_MS = 1_700_000_000_000


@pytest.mark.parametrize(
    ("phase", "worker", "pool", "has_ended", "is_planned"),
    [
        (VmPhase.UP, "i-chair-0", "chair", False, False),
        (VmPhase.DOWN, "", "chair", True, False),
        (VmPhase.IN_MAINTENANCE, "", "chair", True, True),
        (VmPhase.MOVING, "", "chair", True, True),
        (VmPhase.UP, "i-other", "chair", True, False),
        (VmPhase.UP, "i-other", "desk", True, True),
    ],
)
def test_ended_incarnation_is_reported(
    phase: VmPhase, worker: str, pool: str, has_ended: bool, is_planned: bool
) -> None:
    """Guards against work that waits until a crashed worker's lease expires.

    A planned end must not count as a crash.
    """
    vms = build_vms(1)
    tracker = IncarnationTracker()
    assert tracker.observe(vms) == []
    assert tracker.list_workers_without_start() == ["i-chair-0"]
    tracker.record_start("i-chair-0", BORN_MS)
    assert tracker.list_workers_without_start() == []
    vm = replace(vms["m-chair-0"], phase=phase, worker=worker, pool=pool)
    changed = {"m-chair-0": vm}
    ended = EndedIncarnation("i-chair-0", BORN_MS, is_planned)
    expected = [("chair", ended)] if has_ended else []
    assert tracker.observe(changed) == expected
    assert tracker.observe(changed) == []


def test_crash_without_known_start_is_not_reported() -> None:
    """Guards against work that runs twice.

    Without a start time, the notice could end the next incarnation of that name.
    """
    vms = build_vms(1)
    tracker = IncarnationTracker()
    tracker.observe(vms)
    down = replace(vms["m-chair-0"], phase=VmPhase.DOWN, worker="")
    assert tracker.observe({"m-chair-0": down}) == []


def test_unlisted_vm_is_not_reported_as_ended() -> None:
    """Guards against work that runs twice.

    A VM that is missing from the list may still run its worker.
    """
    tracker = IncarnationTracker()
    tracker.observe(build_vms(1))
    tracker.record_start("i-chair-0", BORN_MS)
    assert tracker.observe({}) == []
