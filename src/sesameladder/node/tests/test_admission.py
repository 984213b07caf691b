"""When intake refuses a job by the forecast of its pool's owner."""

import json
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from sesameladder.fleet import PoolSummary
from sesameladder.jobs import (
    BacklogForecast,
    Excess,
    JobSpec,
    OrganisationForecast,
    QueueForecast,
    QueuePolicy,
)
from sesameladder.node._admission import FORECAST_VALID_S, AdmissionControl
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._http_servers import build_response
from sesameladder.node._intake import Accepted, Intake, Rejected, Result
from sesameladder.node._keys import accepted_key, summary_key
from sesameladder.node._pool_summary import SummaryBuilder
from sesameladder.node._records import decode_summary, encode_summary
from sesameladder.node.tests.builders import build_pool_task
from sesameladder.organisations import Organisation, Organisations
from sesameladder.platform import (
    Committed,
    OutcomeUnknown,
    PlatformCallError,
    Put,
    StoredItem,
    decode_job,
)

QUEUE = QueuePolicy("q", "host", "/jobs/", "chair", 0, 3, 1.6, 600, 3000)
JOB = "00000000000000aa"
BODY = json.dumps(
    {"spec": "", "steps": [{"count": 1, "cpu": 100, "estMs": 500}]}
).encode()
SPEC = decode_job(BODY)
FENCE = 7
WAIT_S = 9.0
FORECAST = BacklogForecast(
    FENCE,
    500_000,
    1.0,
    1.0,
    {"q": QueueForecast((0.0,), (WAIT_S,), (WAIT_S,), ((20.0,), (0.0,)))},
    {"hot": OrganisationForecast(0.0, is_in_turn=False)},
)
SUMMARY = PoolSummary({}, (), (), 0, forecast=FORECAST)


class SummaryStore:
    """Has the summary of a pool and the accepted jobs; counts the reads of both."""

    def __init__(self, summary: PoolSummary | None = SUMMARY) -> None:
        self.summary = summary
        self.reads: list[str] = []
        self.error: PlatformCallError | None = None
        self.is_accepted = False
        self.commits: list[tuple[Put, ...]] = []
        self.last_served_call_at = read_steady_clock()

    def read(self, key: str) -> StoredItem | None:
        self.reads.append(key)
        if self.error is not None:
            raise self.error
        if key == summary_key("chair"):
            summary = self.summary
            return summary and StoredItem(key, encode_summary(summary), 3)
        is_found = self.is_accepted and key == accepted_key(JOB)
        return StoredItem(key, b"{}", 3) if is_found else None

    def commit(self, puts: tuple[Put, ...], *_: object) -> Committed:
        self.commits.append(puts)
        return Committed(7)


class Admission:
    """Admission control with a clock and with reads that the test runs itself."""

    def __init__(self, is_enabled: bool = True) -> None:
        self.now = 1000.0
        self.owner: int | None = FENCE
        self.store = SummaryStore()
        self.control = AdmissionControl(
            self.store,  # type: ignore[arg-type]
            lambda: is_enabled,
            lambda _: self.owner,
            Random(1),
            lambda: self.now,
        )

    def publish(self, **changes: Any) -> None:
        """Publish a forecast that is computed now and changed otherwise."""
        computed_ms = round(self.now * 1000) - 500_000
        forecast = replace(FORECAST, computed_ms=computed_ms, **changes)
        self.store.summary = replace(SUMMARY, forecast=forecast)

    def read(self) -> None:
        self.control.read_summary("chair")

    def learn(self, **changes: Any) -> None:
        """Read two forecasts, one after the other, so that the age is known."""
        self.publish(**changes)
        self.read()
        self.now += 1.0
        self.publish(**changes)
        self.read()

    def refuses(self, organisation: str = "a", spec: JobSpec = SPEC) -> bool:
        return self.control.find_excess(QUEUE, organisation, spec) is not None


def test_new_forecast_refuses_and_an_old_one_accepts() -> None:
    """Guards against refusals after the demand peak that a forecast was made in."""
    admission = Admission()
    admission.learn()
    assert admission.refuses()
    # It was written at some time in the second before the latest read.
    admission.now += FORECAST_VALID_S - 1.0
    assert admission.refuses()
    admission.now += 0.1
    assert not admission.refuses()


def test_forecast_of_unknown_age_accepts() -> None:
    """Guards against refusals by a record that a hung owner has left in the store."""
    admission = Admission()
    admission.publish()
    for _ in range(5):
        admission.read()
        assert not admission.refuses()
        admission.now += 1.0


def test_forecast_that_was_long_under_way_accepts() -> None:
    """Guards against a forecast whose write was repeated for seconds."""
    admission = Admission()
    admission.learn()
    admission.publish()
    admission.now += 3.0
    for _ in range(2):
        admission.read()
    assert not admission.refuses()


@pytest.mark.parametrize("owner", [None, 9], ids=["vacant", "other"])
def test_owner_that_has_changed_accepts(owner: int | None) -> None:
    """Guards against refusals by the forecast of an earlier owner."""
    admission = Admission()
    admission.learn()
    admission.owner = owner
    assert not admission.refuses()


def test_new_owner_is_believed_after_two_forecasts() -> None:
    """Guards against a clock of another VM that tells a forecast's age."""
    admission = Admission()
    admission.learn()
    admission.owner = 9
    admission.now += 1.0
    admission.publish(fence=9)
    admission.read()
    assert not admission.refuses()
    admission.now += 1.0
    admission.publish(fence=9)
    admission.read()
    assert admission.refuses()


@pytest.mark.parametrize(
    ("is_enabled", "changes", "organisation", "expected"),
    [
        (True, {}, "a", True),
        (False, {}, "a", False),
        (True, {"certain_share": 0.3}, "a", False),
        (True, {"certain_share": 0.3}, "hot", True),
        (True, {"certain_share": 0.3, "organisations": {}}, "hot", False),
        (True, {"queues": {}}, "a", False),
    ],
    ids=["queue", "no organisations", "error", "hot", "not hot", "no forecast"],
)
def test_who_is_refused(
    is_enabled: bool, changes: dict[str, Any], organisation: str, expected: bool
) -> None:
    """Guards against refusals where the configuration asks for none."""
    admission = Admission(is_enabled)
    admission.learn(**changes)
    assert admission.refuses(organisation) is expected


def test_summary_is_read_once_a_second_and_only_after_submissions() -> None:
    """Guards against reads that go with the rate of submissions."""
    admission = Admission()
    for _ in range(30):
        admission.refuses()
        admission.now += 0.1
    requested = admission.control.requests.qsize()
    admission.now += 60.0
    assert (requested, admission.control.requests.qsize()) == (3, 3)
    assert admission.store.reads == []


def test_unread_summary_accepts_once_the_last_is_old() -> None:
    """Guards against refusals while this VM does not reach the store."""
    admission = Admission()
    admission.learn()
    admission.store.error = OutcomeUnknown("cut")
    for _ in range(2):
        admission.now += 1.0
        admission.read()
    assert not admission.refuses()


def submit(admission: Admission, job: str = JOB) -> tuple[Result, Intake]:
    intake = Intake(admission.store, admission=admission.control)  # type: ignore[arg-type]
    deadline = read_steady_clock() + 0.4
    return intake.submit(QUEUE, job, BODY, deadline, Organisation("a")), intake


def test_refused_job_is_not_stored() -> None:
    """Guards against "has not run" about a job that is in the store."""
    admission = Admission()
    admission.learn()
    result, _ = submit(admission)
    assert isinstance(result, Rejected)
    response = build_response(result)
    assert (response.status, response.body["has_run"]) == (503, False)
    assert admission.store.commits == []


def test_job_accepted_elsewhere_is_answered_as_accepted() -> None:
    """Guards against the refusal of a job that another process has accepted."""
    admission = Admission()
    admission.learn()
    admission.store.is_accepted = True
    assert submit(admission)[0] == Accepted(is_new=False)


def test_job_accepted_here_is_answered_as_accepted() -> None:
    """Guards against the refusal of a job that this process has accepted."""
    admission = Admission()
    result, intake = submit(admission)
    assert result == Accepted(is_new=True)
    admission.learn()
    deadline = read_steady_clock() + 0.4
    again = intake.submit(QUEUE, JOB, BODY, deadline, Organisation("a"))
    assert again == Accepted(is_new=False)


def test_store_that_does_not_tell_accepts() -> None:
    """Guards against a refusal of a job that may have been accepted before."""
    admission = Admission()
    admission.learn()
    admission.store.error = OutcomeUnknown("cut")
    assert isinstance(submit(admission)[0], Accepted)


@pytest.mark.parametrize(
    ("excess_s", "least", "most"), [(0.2, 1, 1), (4.0, 2, 6), (20.0, 10, 30)]
)
def test_callers_are_told_to_come_at_different_times(
    excess_s: float, least: int, most: int
) -> None:
    """Guards against refused callers that all come again in the same second."""
    control = Admission().control
    excess = Excess(excess_s, 1.0, 1.0)
    times = {control.record_refusal(QUEUE, "a", excess) for _ in range(300)}
    assert times == set(range(least, most + 1))


def test_refusals_are_logged_once_a_second(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a line for each refusal in a demand peak."""
    admission = Admission()
    with caplog.at_level("INFO"):
        for _ in range(40):
            admission.control.record_refusal(QUEUE, "a", Excess(9.0, 1.0, 4.0))
            admission.now += 1 / 16
    lines = [r for r in caplog.records if r.message == "admission_refused"]
    assert [line.event_fields["count"] for line in lines] == [1, 16, 16]


@pytest.mark.parametrize(
    "value", [None, 3, {}, {**json.loads(encode_summary(SUMMARY))["forecast"], "q": 1}]
)
def test_summary_is_read_whatever_its_forecast_holds(value: object) -> None:
    """Guards against a fleet role that passes over a pool for its forecast."""
    assert decode_summary(encode_summary(SUMMARY)) == SUMMARY
    fields = json.loads(encode_summary(SUMMARY))
    fields["forecast"] = value
    decoded = decode_summary(json.dumps(fields).encode())
    expected = FORECAST if isinstance(value, dict) and value else None
    assert decoded == replace(SUMMARY, forecast=expected)


def test_summary_of_a_pool_without_backlog_has_no_forecast() -> None:
    """Guards against records that older versions can't compare, and longer ones."""
    fields = json.loads(encode_summary(replace(SUMMARY, forecast=None)))
    assert "forecast" not in fields
    assert decode_summary(json.dumps(fields).encode()).forecast is None


class ChangingBacklog:
    """Has a new forecast whenever it is asked."""

    def update(self, _: object, __: object, ___: int, now: float) -> BacklogForecast:
        return replace(FORECAST, computed_ms=round(now * 1000))


def test_forecast_alone_writes_the_summary_once_a_second() -> None:
    """Guards against a pool that writes more often in the demand peak."""
    task = build_pool_task()
    builder = SummaryBuilder(task.scheduler, task.take_up, 0.0)
    builder.backlog = ChangingBacklog()  # type: ignore[assignment]
    times = [0.1 * n for n in range(1, 101)]
    written = [at for at in times if builder.build_due(0, at) is not None]
    assert len(written) <= 11


def test_pool_task_takes_the_weights_of_the_configuration_in_force() -> None:
    """Guards against shares by the weights that held when a job arrived."""
    task = build_pool_task()
    task.is_loaded = True
    for weight in (1.0, 5.0):
        table = Organisations([Organisation("a", weight=weight)])
        task.get_organisations = lambda table=table: table
        task._step()
        assert task.scheduler.ranking.shares.get_weight("a") == weight
    assert task.scheduler.ranking.shares.get_weight("gone") == 1.0
