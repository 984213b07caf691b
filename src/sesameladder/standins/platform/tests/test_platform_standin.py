"""The platform stand-in answers the project's client as the platform does."""

from collections.abc import Iterator

import pytest

from sesameladder.platform import (
    PlatformClient,
    StoreAnswerLost,
    StoreUnavailable,
    SwapConflict,
    Swapped,
)
from sesameladder.settings import PlatformStandinSettings
from sesameladder.standins.platform import PlatformStandin


@pytest.fixture
def standin() -> Iterator[PlatformStandin]:
    server = PlatformStandin(PlatformStandinSettings("127.0.0.1:0"))
    server.start()
    yield server
    server.stop()


@pytest.fixture
def client(standin: PlatformStandin) -> PlatformClient:
    return PlatformClient.from_address(standin.address, "zone-a")


def test_store_calls(client: PlatformClient) -> None:
    """Guards against a client and a stand-in that speak different protocols."""
    assert client.get("a/b") is None
    assert client.compare_and_swap("a/b", 0, b"\x00one") == Swapped(1)
    assert client.get("a/b").value == b"\x00one"
    conflict = client.compare_and_swap("a/b", 0, b"two")
    assert isinstance(conflict, SwapConflict)
    assert conflict.current.revision == 1
    assert [entry.key for entry in client.list_entries("a/")] == ["a/b"]
    assert client.watch("a/b", 0, 1.0).revision == 1
    assert client.watch("a/b", 1, 0.0) is None
    assert client.delete("a/b", 1) == Swapped(2)
    assert client.delete("a/b", 1) == SwapConflict(None)
    lease = client.grant_lease(30.0)
    assert client.keep_alive(lease)
    assert not client.keep_alive(lease + 1)


@pytest.mark.parametrize(
    ("mode", "error"),
    [
        ("down", StoreUnavailable),
        ("cut", StoreAnswerLost),
        ("lose_answers", StoreAnswerLost),
    ],
)
def test_faults(
    standin: PlatformStandin, client: PlatformClient, mode: str, error: type
) -> None:
    """Guards against fault modes that let calls through."""
    standin.faults.apply({"mode": mode, "zones": ["zone-a"]})
    with pytest.raises(error):
        client.compare_and_swap("a", 0, b"one")
    other = PlatformClient.from_address(standin.address, "zone-b")
    assert (other.get("a") is not None) == (mode == "lose_answers")
