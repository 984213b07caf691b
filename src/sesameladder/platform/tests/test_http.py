"""Tests of what a failed call tells about its peer."""

import socket
from collections.abc import Iterator
from threading import Event, Thread

import pytest

from sesameladder.platform import ConnectionLost, OutcomeUnknown
from sesameladder.platform._http import HttpClient

READ_TIMEOUT_S = 0.2


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


@pytest.mark.parametrize(
    ("closes", "error"),
    [(True, ConnectionLost), (False, OutcomeUnknown)],
    ids=["closed", "silent"],
)
def test_end_of_the_connection_differs_from_silence(
    listener: socket.socket, closes: bool, error: type[OutcomeUnknown]
) -> None:
    """Guards against silence that is taken for the end of a worker."""
    has_failed = Event()

    def serve() -> None:
        connection, _ = listener.accept()
        connection.recv(1000)
        if not closes:
            has_failed.wait()
        connection.close()

    thread = Thread(target=serve, daemon=True)
    thread.start()
    client = HttpClient(f"127.0.0.1:{listener.getsockname()[1]}")
    with pytest.raises(OutcomeUnknown) as caught:
        client.call("POST", "/v1/hold", {}, timeout_s=READ_TIMEOUT_S)
    has_failed.set()
    thread.join()
    assert type(caught.value) is error
