"""The upstream stand-in runs work and answers the task interface."""

from collections.abc import Iterator

import pytest
import urllib3

from sesameladder.platform import HttpWorkerTasks
from sesameladder.settings import UpstreamSettings, UpstreamStandinSettings
from sesameladder.standins.upstream import UpstreamStandin


@pytest.fixture
def standin() -> Iterator[UpstreamStandin]:
    upstream = UpstreamSettings("worker-1", "127.0.0.1:0")
    server = UpstreamStandin(upstream, UpstreamStandinSettings((upstream,)))
    server.start()
    yield server
    server.stop()


def test_work_and_drain(standin: UpstreamStandin) -> None:
    """Guards against answers that can't be matched to their request."""
    tasks = HttpWorkerTasks.create()
    url = f"http://{standin.address}/previews"
    headers = {"Task-Id": "t1", "Work-Ms": "1", "Idempotency-Key": "k"}
    answer = urllib3.request("POST", url, body=b"x", headers=headers)
    assert answer.status == 200
    assert answer.json()["task_id"] == "t1"
    assert tasks.report(standin.address) == []
    assert not tasks.renew(standin.address, "t1", 100)
    assert tasks.check_health(standin.address)
    standin.worker.drain()
    refused = urllib3.request("POST", url, headers=headers)
    assert (refused.status, refused.headers["Worker-State"]) == (503, "leaving")
    assert not tasks.check_health(standin.address)
    assert standin.worker.counters.runs_by_key == {"k": 1}
