"""The platform stand-in responds to the project's client as the platform does."""

import threading
from collections.abc import Callable, Iterator

import pytest
from urllib3 import PoolManager, Retry

from sesameladder.environment import (
    PlatformClient,
    PlatformError,
    StoreCallRejected,
    StoreOutcomeUnknown,
    StoreUnavailable,
    SwapConflict,
    Swapped,
    VmState,
)
from sesameladder.settings import (
    PlatformStandinSettings,
    UpstreamSettings,
    UpstreamStandinSettings,
    VmRow,
)
from sesameladder.standins import ManualClock
from sesameladder.standins.platform import PlatformStandin
from sesameladder.standins.platform._shared_store import SharedStore
from sesameladder.standins.upstream import UpstreamStandin

HTTP = PoolManager(retries=Retry(0), maxsize=8)


@pytest.fixture(scope="module")
def shared_standin() -> Iterator[PlatformStandin]:
    server = PlatformStandin(PlatformStandinSettings("127.0.0.1:0"))
    server.start()
    yield server
    server.stop()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def standin(clock: ManualClock) -> Iterator[PlatformStandin]:
    settings = PlatformStandinSettings("127.0.0.1:0", writes_per_s=20, reads_per_s=40)
    server = PlatformStandin(settings, clock)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def upstream(standin: PlatformStandin) -> Iterator[UpstreamStandin]:
    settings = UpstreamSettings("vm-1", "127.0.0.1:0")
    server = UpstreamStandin(settings, UpstreamStandinSettings((settings,)))
    server.start()
    standin.vms.add([VmRow("vm-1", "zone-b", server.address, "upstream")])
    standin.vms.probe_all()
    yield server
    server.stop()


@pytest.fixture
def client(standin: PlatformStandin) -> PlatformClient:
    return PlatformClient.from_address(standin.address, "zone-a")


class BackgroundCall:
    """A call that is made on a background thread."""

    def __init__(self, call: Callable[[], object]) -> None:
        self.call = call
        self.result: object = None
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        try:
            self.result = self.call()
        except PlatformError as error:
            self.result = error

    def join(self) -> object:
        self.thread.join()
        return self.result


def test_store_calls(client: PlatformClient) -> None:
    """Guards against a client and a stand-in that speak different protocols."""
    key = "claims/\u00e4 b?c"
    assert client.get(key) is None
    assert client.compare_and_swap(key, 0, b"\x00one") == Swapped(1)
    assert client.get(key).value == b"\x00one"
    conflict = client.compare_and_swap(key, 0, b"two")
    assert isinstance(conflict, SwapConflict)
    assert conflict.current.revision == 1
    assert [entry.key for entry in client.list_entries("claims/")] == [key]
    assert client.watch(key, 0, 1.0).revision == 1
    assert client.watch(key, 1, 0.0) is None
    assert client.delete(key, 1) == Swapped(2)
    assert client.delete(key, 1) == SwapConflict(None)


def test_expired_lease(client: PlatformClient, clock: ManualClock) -> None:
    """Guards against role entries that remain after the holder's lease expired."""
    lease = client.grant_lease(2.0)
    client.compare_and_swap("roles/relay/a", 0, b"me", lease)
    clock.advance(1.5)
    assert client.keep_alive(lease)
    clock.advance(1.5)
    assert client.get("roles/relay/a") is not None
    clock.advance(0.5)
    assert client.get("roles/relay/a") is None
    assert not client.keep_alive(lease)


def test_watch_wakes_on_write(standin: PlatformStandin, client: PlatformClient) -> None:
    """Guards against watches that return only at their timeout despite a write."""
    watch = BackgroundCall(lambda: client.watch("config/head", 0, 60.0))
    standin.store.wait_for_waiting_calls(1)
    client.compare_and_swap("config/head", 0, b"1")
    assert watch.join().value == b"1"
    assert standin.counters.to_json()["calls"]["watch"] == 1


def test_waiting_watches_do_not_wake_each_other(
    standin: PlatformStandin, client: PlatformClient
) -> None:
    """Guards against waiting watches that wake each other in an endless loop."""
    watches = [
        BackgroundCall(lambda: client.watch("config/head", 0, 60.0)) for _ in range(3)
    ]
    standin.store.wait_for_waiting_calls(3)
    client.compare_and_swap("other", 0, b"1")
    client.compare_and_swap("config/head", 0, b"1")
    assert [watch.join().value for watch in watches] == [b"1"] * 3
    # Each watch reads once at its start and at most once after each write.
    assert standin.store.store.calls["watch"] <= 3 * 3


def test_watch_ends_when_key_is_deleted(
    standin: PlatformStandin, client: PlatformClient, clock: ManualClock
) -> None:
    """Guards against a role that stays vacant until the watch times out."""
    lease = client.grant_lease(2.0)
    client.compare_and_swap("roles/planner/r", 0, b"me", lease)
    watch = BackgroundCall(lambda: client.watch("roles/planner/r", 2, 60.0))
    standin.store.wait_for_waiting_calls(1)
    clock.advance(2.0)
    assert watch.join() is None


def test_watch_ends_when_time_has_passed(
    standin: PlatformStandin, client: PlatformClient, clock: ManualClock
) -> None:
    """Guards against watches that ignore their timeout."""
    watch = BackgroundCall(lambda: client.watch("config/head", 0, 5.0))
    standin.store.wait_for_waiting_calls(1)
    clock.advance(5.0)
    assert watch.join() is None


def test_watch_ends_in_outage(standin: PlatformStandin, client: PlatformClient) -> None:
    """Guards against watches that keep waiting during an outage."""
    watch = BackgroundCall(lambda: client.watch("config/head", 0, 60.0))
    standin.store.wait_for_waiting_calls(1)
    standin.set_fault({"mode": "down"})
    assert isinstance(watch.join(), StoreUnavailable)


def test_value_limit(standin: PlatformStandin, client: PlatformClient) -> None:
    """Guards against values that only the stand-in's store accepts."""
    assert client.compare_and_swap("a", 0, bytes(1_000_000)) == Swapped(1)
    url = f"http://{standin.address}/v1/kv/b?expected=0"
    assert HTTP.request("PUT", url, body=bytes(1_000_001)).status == 413
    with pytest.raises(StoreCallRejected):
        client.compare_and_swap("b", 0, b"", lease=77)


def test_rate_limits(
    standin: PlatformStandin, client: PlatformClient, clock: ManualClock
) -> None:
    """Guards against a stand-in that allows more calls than the platform."""
    for number in range(20):
        client.compare_and_swap(f"key/{number}", 0, b"")
    with pytest.raises(StoreUnavailable):
        client.compare_and_swap("key/20", 0, b"")
    assert client.get("key/20") is None
    clock.advance(0.05)
    assert isinstance(client.compare_and_swap("key/20", 0, b""), Swapped)
    counters = standin.counters.to_json()
    assert counters["calls_over_limit"] == {"write": 1}
    assert counters["peak_calls_per_s"] == {"read": 1, "write": 22}


@pytest.mark.parametrize(
    ("mode", "error", "written"),
    [
        ("down", StoreUnavailable, False),
        ("cut", StoreOutcomeUnknown, False),
        ("lose_answers", StoreOutcomeUnknown, True),
    ],
)
def test_fault_of_one_zone(
    standin: PlatformStandin,
    client: PlatformClient,
    mode: str,
    error: type,
    written: bool,
) -> None:
    """Guards against faults without effect and faults that affect other zones."""
    standin.set_fault({"mode": mode, "zones": ["zone-a"]})
    with pytest.raises(error):
        client.compare_and_swap("a", 0, b"one")
    other = PlatformClient.from_address(standin.address, "zone-b")
    assert (other.get("a") is not None) == written
    standin.set_fault({"mode": "up"})
    assert (client.get("a") is not None) == written


def test_slow_platform(
    standin: PlatformStandin, client: PlatformClient, clock: ManualClock
) -> None:
    """Guards against a slow mode that handles calls without the delay."""
    standin.set_fault({"mode": "slow", "delay_ms": 3000})
    call = BackgroundCall(lambda: client.compare_and_swap("a", 0, b"one"))
    standin.store.wait_for_waiting_calls(1)
    assert standin.store.store.revision == 0
    clock.advance(3.0)
    assert call.join() == Swapped(1)


class RecordingClock(ManualClock):
    """Records the time and the deadline of each wait."""

    def __init__(self) -> None:
        super().__init__()
        self.waits: list[tuple[float, float]] = []
        self.started = threading.Semaphore(0)

    def wait_until(self, condition: threading.Condition, deadline: float) -> None:
        self.waits.append((self.elapsed_s, deadline))
        self.started.release()
        super().wait_until(condition, deadline)


def test_delayed_call_does_not_spin() -> None:
    """Guards against a delayed call that spins once a stored lease has expired.

    Nothing removes the lease meanwhile, so its expiry time must not end the wait.
    """
    clock = RecordingClock()
    store = SharedStore(clock)
    store.call(lambda fake: fake.grant_lease(1.0))
    call = BackgroundCall(lambda: store.delay(3.0, lambda: False))
    store.wait_for_waiting_calls(1)
    clock.started.acquire()
    clock.advance(2.0)
    clock.started.acquire()
    clock.advance(1.0)
    call.join()
    assert clock.waits[:2] == [(0.0, 3.0), (2.0, 3.0)]


def list_states(client: PlatformClient) -> list[VmState]:
    return [row.state for row in client.list_vms()]


def test_vm_list_lags(
    standin: PlatformStandin,
    client: PlatformClient,
    clock: ManualClock,
    upstream: UpstreamStandin,
) -> None:
    """Guards against a list that shows the current state without the lag."""
    client.drain("vm-1")
    standin.vms.probe_all()
    assert list_states(client) == [VmState.LIVE]
    clock.advance(1.0)
    assert list_states(client) == [VmState.LEAVING]
    client.reboot("vm-1")
    upstream.stop()
    standin.vms.probe_all()
    clock.advance(1.0)
    assert list_states(client) == [VmState.GONE]


def test_unreachable_zone_keeps_its_state(
    standin: PlatformStandin,
    client: PlatformClient,
    clock: ManualClock,
    upstream: UpstreamStandin,
) -> None:
    """Guards against VMs of a partitioned zone that are listed as gone."""
    standin.set_fault({"mode": "cut", "zones": ["zone-b"]})
    upstream.stop()
    standin.vms.probe_all()
    clock.advance(1.0)
    assert list_states(client) == [VmState.LIVE]


def test_unstarted_vm_is_live(
    standin: PlatformStandin, client: PlatformClient, clock: ManualClock
) -> None:
    """Guards against VMs that are listed as gone before their process has started."""
    rows = [{"name": "e1", "zone": "zone-a", "address": "127.0.0.1:1", "kind": "entry"}]
    url = f"http://{standin.address}/vms"
    assert HTTP.request("POST", url, json=rows).status == 204
    standin.vms.probe_all()
    clock.advance(2.0)
    assert list_states(client) == [VmState.LIVE]


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/v1/kv/", b"", 400),
        ("GET", "/v1/kv/" + "k" * 1025, b"", 400),
        ("GET", "/v1/kv/%ff", b"", 400),
        ("PUT", "/v1/kv/a", b"", 400),
        ("PUT", "/v1/kv/a?expected=-1", b"", 400),
        ("PUT", "/v1/kv/a?expected=1.5", b"", 400),
        ("PUT", "/v1/kv/a?expected=0&lease=x", b"", 400),
        ("DELETE", "/v1/kv/a?expected=99999999999999999999", b"", 400),
        ("POST", "/v1/kv/a", b"", 404),
        ("GET", "/v1/watch/a?timeout_ms=999999999", b"", 400),
        ("POST", "/v1/leases", b"", 400),
        ("POST", "/v1/leases?ttl_ms=0", b"", 400),
        ("POST", "/v1/leases/x/keepalive", b"", 404),
        ("POST", "/v1/vms/none/drain", b"", 404),
        ("POST", "/faults", b"{", 400),
        ("POST", "/faults", b'{"mode": "gone"}', 400),
        ("POST", "/faults", b'{"mode": "slow", "delay_ms": "3"}', 400),
        ("POST", "/faults", b'{"mode": "up", "zones": "zone-a"}', 400),
        ("POST", "/vms", b'[{"name": "a"}]', 400),
        ("POST", "/vms", b"{}", 400),
    ],
)
def test_malformed_request(
    shared_standin: PlatformStandin, method: str, path: str, body: bytes, status: int
) -> None:
    """Guards against malformed input that changes state or stops the server."""
    url = f"http://{shared_standin.address}"
    assert HTTP.request(method, url + path, body=body).status == status
    counters = HTTP.request("GET", url + "/counters").json()
    assert (counters["revision"], counters["vms"]) == (0, 0)
