"""Client of a worker, and the decoder of the list of workers."""

import json
from typing import Any

from sesameladder.jobs import (
    EndReason,
    Resources,
    RunEnd,
    RunStatus,
    StartOrder,
    StartOutcome,
    SubtaskId,
    WorkerRecord,
    WorkerReport,
)
from sesameladder.platform._errors import (
    CallNotSent,
    OutcomeUnknown,
    RecordInvalid,
    UnexpectedResponse,
)
from sesameladder.platform._http import HttpClient, HttpResponse

ORDER_TIMEOUT_S = 0.8  # a round trip takes a few ms; the same order is then repeated
REPORT_SLACK_S = 0.8  # beyond the wait asked for, before a report counts as lost
EXPECTED_INCARNATION_HEADER = "X-Sesameladder-Expect-Instance"

START_REJECTIONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}


class StaleOwner(Exception):
    """A newer owner has given the worker orders."""


class WorkerReplaced(Exception):
    """Another life of the worker answered."""


class WorkerClient:
    """Gives one life of a worker its orders; safe to share by threads."""

    __slots__ = ("fence", "headers", "http", "reports_http")

    def __init__(self, address: str, worker: str, fence: int) -> None:
        self.http = HttpClient(address)
        # Reports wait for ends; they have connections of their own.
        self.reports_http = HttpClient(address)
        self.headers = {EXPECTED_INCARNATION_HEADER: worker}
        self.fence = fence

    def start(self, order: StartOrder, lease_until_ms: int) -> StartOutcome:
        """Start a run; the lease ends at a time of the worker's clock."""
        body: dict[str, Any] = {
            "task": encode_subtask(order.subtask),
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": lease_until_ms,
            "fence": self.fence,
        }
        if order.saved:
            body["saved"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        try:
            response = self._send_order("/v1/run-start", body)
        except CallNotSent:
            return StartOutcome.NOT_SENT
        except (OutcomeUnknown, UnexpectedResponse):
            return StartOutcome.UNANSWERED
        if response.status == 409:
            reason = response.body.get("reason")
            return START_REJECTIONS.get(str(reason), StartOutcome.INVALID)
        outcomes = {
            200: StartOutcome.STARTED,
            400: StartOutcome.INVALID,
            421: StartOutcome.OTHER_LIFE,
            429: StartOutcome.UNHEALTHY,
            503: StartOutcome.UNHEALTHY,
        }
        return outcomes.get(response.status, StartOutcome.UNANSWERED)

    def stop(self, subtask: SubtaskId, run: int) -> bool:
        """Stop a run, or bar it if it has not arrived; False without an answer."""
        body = {"task": encode_subtask(subtask), "run": run, "fence": self.fence}
        try:
            return self._send_order("/v1/run-stop", body).status in (200, 400, 409, 421)
        except (CallNotSent, OutcomeUnknown, UnexpectedResponse):
            return False

    def pace(self, subtask: SubtaskId, run: int, percent: int) -> bool:
        """Let a run work at a share of its speed; False unless it was taken."""
        body = {
            "task": encode_subtask(subtask),
            "run": run,
            "percent": percent,
            "fence": self.fence,
        }
        try:
            return self._send_order("/v1/pace", body).status == 200
        except (CallNotSent, OutcomeUnknown, UnexpectedResponse):
            return False

    def poll_report(
        self, acknowledged: int, lease_until_ms: int | None, wait_ms: int
    ) -> WorkerReport:
        """Extend the lease and return what runs and what has ended.

        ``acknowledged`` is the last end that the worker may forget. Raises
        ``StaleOwner``, ``WorkerReplaced`` or ``PlatformCallError``.
        """
        body: dict[str, Any] = {"fence": self.fence, "lastSeen": acknowledged}
        if lease_until_ms is not None:
            body["deadlineMs"] = lease_until_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        response = self.reports_http.call(
            "POST",
            "/v1/hold",
            body,
            self.headers,
            timeout_s=wait_ms / 1000 + REPORT_SLACK_S,
        )
        if response.status == 421:
            raise WorkerReplaced
        if response.status == 409:
            raise StaleOwner
        if response.status != 200:
            raise OutcomeUnknown(f"the worker answered {response.status} to a report")
        return _decode_report(response.body)

    def close(self) -> None:
        """Close the connections."""
        self.http.close()
        self.reports_http.close()

    def _send_order(self, path: str, body: dict[str, Any]) -> HttpResponse:
        return self.http.call(
            "POST", path, body, self.headers, timeout_s=ORDER_TIMEOUT_S
        )


def encode_subtask(subtask: SubtaskId) -> str:
    """Return the wire form of a subtask's name."""
    return f"{subtask.job}.{subtask.occurrence}.{subtask.step}.{subtask.position}"


def decode_subtask(text: str) -> SubtaskId:
    """Return the subtask of a wire name; raises ``RecordInvalid``."""
    try:
        job, occurrence, step, position = text.split(".")
        return SubtaskId(job, int(occurrence), int(step), int(position))
    except ValueError as error:
        raise RecordInvalid(f"subtask name {text!r} is malformed") from error


def decode_worker(worker: str, value: bytes) -> WorkerRecord:
    """Decode an entry of the list of workers; raises ``RecordInvalid``."""
    try:
        body = json.loads(value)
        if body["state"] not in ("ready", "draining"):
            raise RecordInvalid(f"worker {worker} has state {body['state']!r}")
        remaining = body.get("remainingMs")
        return WorkerRecord(
            worker=worker,
            born_ms=int(body.get("born") or 0),
            pool=_require_text(body["service"]),
            address=_require_text(body["addr"]),
            zone=_require_text(body["zone"]),
            capacity=decode_resources(body["capacity"]),
            labels=tuple(_require_text(label) for label in body["labels"]),
            is_draining=body["state"] == "draining",
            remaining_ms=None if remaining is None else int(remaining),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise RecordInvalid(f"entry of worker {worker} is malformed") from error


def decode_resources(body: dict[str, Any]) -> Resources:
    """Decode amounts; absent fields are 0."""
    return Resources(
        int(body.get("cpu") or 0),
        int(body.get("memMb") or 0),
        int(body.get("gpu") or 0),
    )


def _require_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a text")
    return value


def _decode_report(body: dict[str, Any]) -> WorkerReport:
    try:
        return WorkerReport(
            clock_ms=int(body["clockMs"]),
            born_ms=int(body.get("born") or 0),
            running=tuple(_decode_run(row) for row in body.get("running") or ()),
            ended=tuple(_decode_end(row) for row in body.get("ended") or ()),
        )
    except (ValueError, KeyError, TypeError, IndexError) as error:
        raise UnexpectedResponse("a worker's report is malformed") from error


def _decode_run(row: list[Any]) -> RunStatus:
    load = int(row[4]) if len(row) > 4 and row[4] is not None else 0
    return RunStatus(decode_subtask(row[0]), int(row[1]), row[2], int(row[3]), load)


def _decode_end(row: list[Any]) -> RunEnd:
    number, subtask, run, reason, saved = row
    return RunEnd(
        int(number), decode_subtask(subtask), int(run), EndReason(reason), saved
    )
