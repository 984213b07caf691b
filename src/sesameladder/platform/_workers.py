"""Client of a worker, and decoders of its reports and its entry in the store."""

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
    FieldInvalid,
    OutcomeUnknown,
    RecordInvalid,
    UnexpectedResponse,
    decoding_record,
    decoding_response,
)
from sesameladder.platform._fields import (
    Fields,
    check_header_value,
    check_number,
    check_object,
    check_text,
    read_address,
    read_labels,
    read_name,
    read_number,
    show,
)
from sesameladder.platform._http import HttpClient, HttpResponse
from sesameladder.platform._limits import (
    MAX_AMOUNT,
    MAX_CHECKPOINT_BYTES,
    MAX_COUNTER,
    MAX_REPORTED_ENDS,
    MAX_TIME_MS,
)

ORDER_TIMEOUT_S = 0.8  # a round trip takes a few ms; then the order is repeated
REPORT_SLACK_S = 0.8  # beyond the requested wait, before a report counts as lost
EXPECTED_INCARNATION_HEADER = "X-Sesameladder-Expect-Instance"

START_REJECTIONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}


class StaleOwner(Exception):
    """The worker has accepted orders of a newer owner and rejects this one's."""


class WorkerReplaced(Exception):
    """Another incarnation of the worker responded."""


class WorkerClient:
    """Sends orders to one incarnation of a worker; thread-safe."""

    __slots__ = ("fence", "headers", "http", "reports_http")

    def __init__(self, address: str, worker: str, fence: int) -> None:
        self.http = HttpClient(address)
        # Report calls wait for runs to end, so they use connections of their own.
        self.reports_http = HttpClient(address)
        self.headers = {EXPECTED_INCARNATION_HEADER: worker}
        self.fence = fence

    def start(self, order: StartOrder, lease_until_ms: int) -> StartOutcome:
        """Start a run; the lease ends at ``lease_until_ms`` of the worker's clock."""
        body: dict[str, Any] = {
            "task": encode_subtask(order.subtask),
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": lease_until_ms,
            "fence": self.fence,
        }
        if order.checkpoint:
            body["saved"] = order.checkpoint
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
            421: StartOutcome.OTHER_INCARNATION,
            429: StartOutcome.UNHEALTHY,
            503: StartOutcome.UNHEALTHY,
        }
        return outcomes.get(response.status, StartOutcome.UNANSWERED)

    def stop(self, subtask: SubtaskId, run: int) -> bool:
        """Stop a run; a start of it that arrives later is rejected.

        Returns False if the worker gave no usable response.
        """
        body = {"task": encode_subtask(subtask), "run": run, "fence": self.fence}
        try:
            return self._send_order("/v1/run-stop", body).status in (200, 400, 409, 421)
        except (CallNotSent, OutcomeUnknown, UnexpectedResponse):
            return False

    def pace(self, subtask: SubtaskId, run: int, percent: int) -> bool:
        """Limit a run to a percentage of its speed; returns whether it was accepted."""
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
        """Extend the lease and return the worker's runs and their ends.

        The lease is not extended if ``lease_until_ms`` is None. ``acknowledged`` is the
        number of the last end that the worker may forget. The worker waits up to
        ``wait_ms`` for a run to end. Raises ``StaleOwner``, ``WorkerReplaced`` or
        ``PlatformCallError``.
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
            raise OutcomeUnknown(
                f"the worker returned HTTP status {response.status} to a report call"
            )
        return _decode_report(response.body)

    def close(self) -> None:
        """Close the idle connections."""
        self.http.close()
        self.reports_http.close()

    def _send_order(self, path: str, body: dict[str, Any]) -> HttpResponse:
        return self.http.call(
            "POST", path, body, self.headers, timeout_s=ORDER_TIMEOUT_S
        )


def encode_subtask(subtask: SubtaskId) -> str:
    """Return the name of a subtask as the platform writes it."""
    return f"{subtask.job}.{subtask.occurrence}.{subtask.step}.{subtask.position}"


def decode_subtask(text: str) -> SubtaskId:
    """Parse the platform's name of a subtask; raises ``RecordInvalid``."""
    try:
        job, occurrence, step, position = text.split(".")
        return SubtaskId(job, int(occurrence), int(step), int(position))
    except ValueError as error:
        raise RecordInvalid(
            f"subtask name {text!r} is not job.occurrence.step.position"
        ) from error


def decode_worker(worker: str, value: bytes) -> WorkerRecord:
    """Decode a worker's entry in the store; raises ``RecordInvalid``."""
    with decoding_record(f"entry of worker {show(worker)}"):
        # Every call to the worker names it in a header.
        check_header_value("the name", worker)
        body = check_object("the entry", json.loads(value))
        if body["state"] not in ("ready", "draining"):
            raise FieldInvalid(f"state is {show(body['state'])}, which is unknown")
        capacity = check_object("capacity", body["capacity"])
        if "labels" not in body:
            raise FieldInvalid("labels is absent")
        return WorkerRecord(
            worker=worker,
            born_ms=read_number(body, "born", MAX_TIME_MS),
            pool=read_name(body, "service"),
            address=read_address(body, "addr"),
            zone=read_name(body, "zone"),
            capacity=decode_resources(capacity),
            labels=read_labels(body),
            is_draining=body["state"] == "draining",
            remaining_ms=_decode_remaining_time(body),
        )


def _decode_remaining_time(body: Fields) -> int | None:
    """Return the time until a draining worker stops; negative once it is over."""
    if body.get("remainingMs") is None:
        return None
    return read_number(body, "remainingMs", MAX_TIME_MS, minimum=-MAX_TIME_MS)


def decode_resources(body: Fields) -> Resources:
    """Decode amounts of resources; absent fields are 0. Raises ``FieldInvalid``."""
    return Resources(
        read_number(body, "cpu"),
        read_number(body, "memMb"),
        read_number(body, "gpu"),
    )


def _decode_report(body: dict[str, Any]) -> WorkerReport:
    with decoding_response("a worker"):
        ended = tuple(_decode_end(row) for row in body.get("ended") or ())
        return WorkerReport(
            clock_ms=check_number("clockMs", body["clockMs"], MAX_COUNTER),
            born_ms=read_number(body, "born", MAX_TIME_MS),
            running=tuple(_decode_run(row) for row in body.get("running") or ()),
            ended=ended,
            has_more_ends=len(ended) >= MAX_REPORTED_ENDS,
        )


def _decode_run(row: list[Any]) -> RunStatus:
    load = row[4] if len(row) > 4 else None
    return RunStatus(
        decode_subtask(row[0]),
        check_number("run", row[1], MAX_COUNTER),
        _decode_checkpoint(row[2]),
        check_number("percent", row[3], MAX_AMOUNT),
        check_number("load", load, MAX_COUNTER),
    )


def _decode_end(row: list[Any]) -> RunEnd:
    number, subtask, run, reason, checkpoint = row
    return RunEnd(
        check_number("number", number, MAX_COUNTER),
        decode_subtask(subtask),
        check_number("run", run, MAX_COUNTER),
        EndReason(reason),
        _decode_checkpoint(checkpoint),
    )


def _decode_checkpoint(value: object) -> str:
    """Return a checkpoint, which goes with a later start; an absent one is empty."""
    if value is None:
        return ""
    return check_text("saved", value, MAX_CHECKPOINT_BYTES)
