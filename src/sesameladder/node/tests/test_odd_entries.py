"""One odd entry, row or stored job beside sound ones, in the running tasks."""

import json
from typing import Any

import pytest

from sesameladder.fleet import MaintenancePlan, Vm, VmPhase, Wave
from sesameladder.jobs import JobState, Resources, StartCommand, WorkerReport
from sesameladder.jobs.tests.test_rules import build_record
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._fleet_task import FleetTask
from sesameladder.node._pool_task import WorkersUpdated
from sesameladder.node._registry_task import RegistryTask
from sesameladder.node._roles import HeldRole
from sesameladder.node._worker_link import WorkerLink
from sesameladder.node.tests.builders import build_pool_task
from sesameladder.node.tests.test_pool_task import encode_job
from sesameladder.node.tests.test_registry_task import ENTRY, WatchedStore
from sesameladder.platform import VmList

ODD_ENTRIES = {
    "no host": {**ENTRY, "addr": "%zz:1"},
    "line break": {**ENTRY, "addr": "10.0.0.1\n:1"},
    "port": {**ENTRY, "addr": "10.0.0.1:99999"},
    "capacity": {**ENTRY, "capacity": {"cpu": 10**400}},
    "nested": {**ENTRY, "capacity": json.loads("[" * 900 + "]" * 900)},
    "text": {**ENTRY, "zone": "\ud800"},
}
ODD_BODIES = {
    "count": {"steps": [{"count": 5_000_000}]},
    "times": {"steps": [{"count": 1}], "times": 10**12},
    "after": {"steps": [{"count": 1, "after": [-1]}]},
    "cpu": {"steps": [{"count": 1, "cpu": -1000}]},
}


@pytest.fixture(autouse=True)
def _no_threads(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(WorkerLink, "start", lambda link: None)


@pytest.mark.parametrize("entry", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_does_not_hold_up_its_pool(entry: dict[str, Any]) -> None:
    """Guards against a pool that starts nothing while one entry is odd.

    Each pass of the owner failed at that worker, and so did those of the next owner.
    """
    store = WatchedStore([[("i-3", json.dumps(entry).encode())]])
    registry = RegistryTask(store, lambda: True, lambda *_: None, lambda: None)  # type: ignore[arg-type]
    registry.refresh()
    registry.refresh()
    task = build_pool_task()
    task.is_loaded = True
    task._apply_message(
        WorkersUpdated(list(registry.records.values()), read_steady_clock())
    )
    task._step()
    assert set(task.links) == {"i-1", "i-2"}
    for name in task.links:
        task.scheduler.apply_report(name, WorkerReport(0, 1, (), ()), 0.0, 0.0)
    task._apply_inbox((("pool/chair/in/0a", encode_job(), 10),), {})
    task._step()
    orders = []
    for link in task.links.values():
        while not link.orders.empty():
            orders.append(link.orders.get_nowait())
    assert [type(order) for order in orders] == [StartCommand]


def test_worker_without_a_link_costs_no_other_its_orders(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against any error about one worker that ends the pass of its pool."""
    build_client = WorkerLink.__init__

    def fail_for_one(link: WorkerLink, record: Any, *rest: Any) -> None:
        if record.worker == "i-2":
            raise ValueError("unexpected")
        build_client(link, record, *rest)

    monkeypatch.setattr(WorkerLink, "__init__", fail_for_one)
    task = build_pool_task()
    task.is_loaded = True
    task.scheduler.update_workers([build_record(2), build_record(1)], 0.0)
    for _ in range(5):
        task._step()
    assert set(task.links) == {"i-1"}
    failures = [r for r in caplog.records if r.message == "worker_link_failed"]
    assert len(failures) == 1, "the error of each pass is the same"


@pytest.mark.parametrize("entry", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_runs_of_a_worker_whose_entry_turns_odd_are_kept(entry: dict[str, Any]) -> None:
    """Guards against subtasks that run twice, or over the capacity of their worker.

    The worker lives on and its runs are followed; only new starts are withheld until
    the entry is sound again.
    """
    sound = json.dumps(ENTRY).encode()
    store = WatchedStore(
        [[("i-1", json.dumps(entry).encode()), ("i-2", None)], [("i-1", sound)]]
    )
    registry = RegistryTask(store, lambda: True, lambda *_: None, lambda: None)  # type: ignore[arg-type]
    task = build_pool_task()
    task.is_loaded = True

    def refresh() -> None:
        registry.refresh()
        records = list(registry.records.values())
        task._apply_message(WorkersUpdated(records, read_steady_clock()))
        task._step()

    refresh()
    view = task.scheduler.workers["i-1"]
    task.scheduler.apply_report("i-1", WorkerReport(0, 1, (), ()), 0.0, 0.0)
    task._apply_inbox((("pool/chair/in/0a", encode_job(), 10),), {})
    task._step()
    (run,) = view.runs.values()
    used = view.used_cpu_millis, view.used_memory_mb
    refresh()
    assert task.scheduler.workers["i-1"] is view
    assert "i-1" in task.links, "its lease is extended and its reports are read"
    assert list(view.runs.values()) == [run]
    assert not view.accepts_work(read_steady_clock())
    refresh()
    assert (view.used_cpu_millis, view.used_memory_mb) == used
    assert list(view.runs.values()) == [run]
    assert view.accepts_work(read_steady_clock())


def encode_stored_job(body: dict[str, Any]) -> bytes:
    fields = json.loads(encode_job())
    return json.dumps({**fields, "body": json.dumps(body)}).encode()


@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
@pytest.mark.parametrize(
    ("progress", "state"),
    [
        (None, JobState.FAILED),
        (b'{"queue":"queue","state":"running"}', JobState.FAILED),
        (b'{"queue":"queue","state":"cancelled"}', JobState.CANCELLED),
    ],
    ids=["queued", "running", "cancelled"],
)
def test_job_that_an_older_version_stored_ends(
    body: dict[str, Any], progress: bytes | None, state: JobState
) -> None:
    """Guards against a stored job that ends each owner of its pool in turn.

    Its caller is told the state that it has for good; the other jobs are served.
    """
    task = build_pool_task()
    changes = (
        ("pool/chair/in/0a", encode_stored_job(body), 3),
        ("pool/chair/in/0b", encode_job(), 4),
    )
    task._apply_inbox(changes, {"0a": progress} if progress else {})
    assert set(task.scheduler.job_table.jobs) == {"0b"}
    assert task.scheduler.job_table.ended["0a"][0] is state


class ScriptedVmClient:
    """Returns the next of the given lists at each reading."""

    def __init__(self, *lists: VmList) -> None:
        self.lists = list(lists)

    def list_vms(self) -> VmList:
        return self.lists.pop(0)


def build_fleet_task(*lists: VmList) -> FleetTask:
    return FleetTask(
        HeldRole("fleet", 9, 1),
        "n1",
        None,  # type: ignore[arg-type]
        ScriptedVmClient(*lists),  # type: ignore[arg-type]
        0.0,
        list,
        lambda: None,
        lambda: True,
    )


VM = Vm("m-1", "chair", VmPhase.UP, "z", (), Resources(), "i-1")
OTHER_VM = Vm("m-2", "chair", VmPhase.UP, "z", (), Resources(), "i-2")


@pytest.mark.parametrize(
    ("odd", "names"),
    [
        (VmList([OTHER_VM], {"m-1": "odd"}), {"m-1", "m-2"}),
        (VmList([OTHER_VM], {}, ["odd"]), {"m-1", "m-2"}),
        (VmList([OTHER_VM], {"m-3": "odd"}), {"m-2"}),
        (VmList([OTHER_VM]), {"m-2"}),
    ],
    ids=["named", "unnamed", "of another", "none"],
)
def test_vm_stays_as_it_was_while_its_row_is_odd(odd: VmList, names: set[str]) -> None:
    """Guards against a VM that counts as gone, and its maintenance as done."""
    task = build_fleet_task(VmList([VM, OTHER_VM]), odd)
    task.vms = task._read_vms()
    task.vms = task._read_vms()
    assert set(task.vms) == names


def test_wave_is_not_done_while_a_vm_was_never_readable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a wave that is shown as done without a VM's maintenance."""
    task = build_fleet_task(VmList([VM], {"m-3": "odd"}), VmList([VM]))
    written: list[bytes] = []
    monkeypatch.setattr(
        FleetTask, "_commit", lambda _, puts: written.append(puts[0].value) or 1
    )
    wave = Wave(1, ("m-1", "m-3"), 25.0, 1)
    for _ in range(2):
        task.vms = task._read_vms()
        task._write_wave_status([wave], MaintenancePlan(finished_waves=[1]))
    assert written == [b'{"state": "running"}', b'{"state": "done"}']
