"""Which orders the holder of the fleet role sends, and which records it passes over."""

from collections.abc import Callable
from dataclasses import replace
from threading import Barrier

import pytest

from sesameladder.fleet import Vm, VmPhase
from sesameladder.jobs import Resources
from sesameladder.node import _fleet_task
from sesameladder.node._fleet_task import MAX_PARALLEL_ORDERS, FleetTask
from sesameladder.node._keys import BASE_SIZES_KEY, maintenance_key
from sesameladder.node._roles import HeldRole
from sesameladder.platform import (
    WAVE_STATUS_PREFIX,
    CallRejected,
    OrderOutcome,
    RangeResult,
    StoredItem,
    encode_wave_status,
)

VM = Vm("m-1", "chair", VmPhase.UP, "zone-a", (), Resources(4000, 8000), "i-1")


class RecordingVmClient:
    """Accepts and records every order."""

    def __init__(self) -> None:
        self.orders: list[tuple[str, object]] = []

    def move(self, vm: str, pool: str, holder: str, fence: int) -> OrderOutcome:
        self.orders.append((vm, pool))
        return OrderOutcome.DONE

    def start_maintenance(
        self, vm: str, wave: int, holder: str, fence: int
    ) -> OrderOutcome:
        self.orders.append((vm, wave))
        return OrderOutcome.DONE


class StoreWithRecords:
    """Store that holds the given values by key."""

    def __init__(self, values: dict[str, bytes]) -> None:
        self.items = [StoredItem(key, value, 3) for key, value in values.items()]

    def read(self, key: str) -> StoredItem | None:
        return next((item for item in self.items if item.key == key), None)

    def read_range(self, prefix: str) -> RangeResult:
        items = [item for item in self.items if item.key.startswith(prefix)]
        return RangeResult(tuple(items), 3)


class SlowStore:
    """Empty store; something happens while it answers."""

    def __init__(self, while_reading: Callable[[], None]) -> None:
        self.while_reading = while_reading

    def read(self, key: str) -> StoredItem | None:
        self.while_reading()
        return None


def build_task(client: RecordingVmClient) -> FleetTask:
    task = FleetTask(
        HeldRole("fleet", 9, 1),
        "n1",
        None,  # type: ignore[arg-type]
        client,  # type: ignore[arg-type]
        0.0,
        list,
        lambda: None,
        lambda: True,
    )
    task.vms = {VM.name: VM}
    task.order_gap.record_stored([VM.name])
    return task


@pytest.mark.parametrize("is_lost", [False, True])
@pytest.mark.parametrize(
    ("send", "order"),
    [
        (lambda task: task._order_move(VM.name, "desk"), (VM.name, "desk")),
        (lambda task: task._start_maintenance(VM.name, 7), (VM.name, 7)),
    ],
    ids=["move", "maintenance"],
)
def test_no_order_is_sent_after_the_role_was_lost(
    send: Callable[[FleetTask], None], order: tuple[str, object], is_lost: bool
) -> None:
    """Guards against an order within the gap that the platform asks for.

    The call before the order hung, and the role went to another process meanwhile.
    """
    client = RecordingVmClient()
    task = build_task(client)
    task.store = SlowStore(task.stop if is_lost else lambda: None)  # type: ignore[assignment]
    send(task)
    assert client.orders == ([] if is_lost else [order])


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (maintenance_key(3), b"{"),
        (maintenance_key(3), b"7"),
        ("upkeep/x", b"[]"),
        (f"{WAVE_STATUS_PREFIX}x", b"{}"),
        (BASE_SIZES_KEY, b"{"),
        (BASE_SIZES_KEY, b"[]"),
        (BASE_SIZES_KEY, b'{"desk": "x"}'),
    ],
)
def test_malformed_record_does_not_hold_up_the_fleet_role(
    key: str, value: bytes
) -> None:
    """Guards against a fleet role that is kept and for which nothing is done.

    The records of earlier holders were read again and again, or an error in one ended
    the thread.
    """
    values = {
        f"{WAVE_STATUS_PREFIX}1": encode_wave_status(done=True),
        f"{WAVE_STATUS_PREFIX}2": encode_wave_status(done=False),
        maintenance_key(2): b'["m-1"]',
        BASE_SIZES_KEY: b'{"desk": 4}',
    }
    task = build_task(RecordingVmClient())
    task.store = StoreWithRecords(values | {key: value})  # type: ignore[assignment]
    # A holder that retries for ever ends with the first pause.
    task.stopping.wait = lambda timeout: task.stopping.set()  # type: ignore
    task._load_state()
    assert not task.stopping.is_set()
    assert (task.finished_waves, task.started_waves) == ({1}, {2})
    assert set(task.maintenance_planner.progress[2].started_at) == {"m-1"}
    base_sizes = {} if key == BASE_SIZES_KEY else {"desk": 4}
    assert task.lending_planner.base_sizes == base_sizes


class OverlappingVmClient(RecordingVmClient):
    """Answers orders once as many are under way as may be at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.barrier = Barrier(MAX_PARALLEL_ORDERS)

    def move(self, vm: str, pool: str, holder: str, fence: int) -> OrderOutcome:
        self.barrier.wait(10.0)
        return super().move(vm, pool, holder, fence)


class RejectingVmClient(RecordingVmClient):
    """Rejects the order about one VM."""

    def move(self, vm: str, pool: str, holder: str, fence: int) -> OrderOutcome:
        if vm == "m-1":
            raise CallRejected("too many calls")
        return super().move(vm, pool, holder, fence)


def build_task_with_vms(
    client: RecordingVmClient, monkeypatch: pytest.MonkeyPatch
) -> FleetTask:
    """Return a task that knows three times as many VMs as it orders at a time."""
    task = build_task(client)
    task.store = SlowStore(lambda: None)  # type: ignore[assignment]
    monkeypatch.setattr(FleetTask, "_commit", lambda _, puts: 7)
    names = [f"m-{number}" for number in range(3 * MAX_PARALLEL_ORDERS)]
    task.vms = {name: replace(VM, name=name) for name in names}
    return task


def test_orders_are_sent_several_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against VMs that arrive when most of a demand peak is over.

    One by one, a hundred moves took three of the four seconds of a peak.
    """
    client = OverlappingVmClient()
    task = build_task_with_vms(client, monkeypatch)
    moves = [(name, "desk") for name in task.vms]
    task._send_orders([], moves)
    assert sorted(client.orders) == sorted(moves)


def test_no_more_orders_are_sent_after_a_failed_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a hundred calls that time out one after the other."""
    monkeypatch.setattr(_fleet_task, "MAX_PARALLEL_ORDERS", 1)
    client = RejectingVmClient()
    task = build_task_with_vms(client, monkeypatch)
    with pytest.raises(CallRejected):
        task._send_orders([], [(name, "desk") for name in task.vms])
    assert client.orders == [("m-0", "desk")]
