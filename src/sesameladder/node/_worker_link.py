"""Sends orders to one worker and polls its reports."""

from collections.abc import Callable
from dataclasses import dataclass
from queue import SimpleQueue
from threading import Event

from sesameladder.jobs import (
    PaceCommand,
    StartCommand,
    StartOutcome,
    StopCommand,
    SubtaskId,
    WorkerRecord,
    WorkerReport,
)
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._supervision import build_thread
from sesameladder.node._telemetry import log_warning
from sesameladder.platform import (
    ConnectionLost,
    PlatformCallError,
    StaleOwner,
    WorkerClient,
    WorkerReplaced,
)

WORKER_LEASE_MS = 4000  # outlasts an owner change: 1.5 s of role lease, election, reads
CLOCK_DRIFT_FACTOR = 1.03  # a worker's clock may be 2 % slow
LEASE_EXPIRY_SLACK_S = 0.3  # for a round trip and the age of the worker's clock reading
REPORT_WAIT_MS = 400  # maximum age of the known progress and load
WATCHED_REPORT_WAIT_MS = 50  # while a suspect is tried, for up to 2 s
REPORT_PAUSE_S = 0.05  # while ends are not acknowledged, reports return at once
RETRY_PAUSE_S = 0.25
EARLIER_ORDERS_S = 12.0  # orders without a response arrive up to this late


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A worker's report; ``sent_at`` and ``received_at`` are steady times in s."""

    worker: str
    born_ms: int
    """Start of the incarnation that was asked."""

    report: WorkerReport
    sent_at: float
    received_at: float | None = None
    """Time of the arrival; None if it is that of the message's application."""


@dataclass(frozen=True, slots=True)
class ReportFailed:
    """A worker did not respond to the request for a report."""

    worker: str
    born_ms: int
    """Start of the incarnation that was asked."""

    was_reset: bool = False
    """Whether the worker's connection has ended, as opposed to its silence."""


@dataclass(frozen=True, slots=True)
class IncarnationReplaced:
    """Another incarnation of the worker responded."""

    worker: str
    born_ms: int
    """Start of the incarnation that was asked."""


@dataclass(frozen=True, slots=True)
class OwnerSuperseded:
    """A worker has accepted orders of a newer owner."""

    worker: str


@dataclass(frozen=True, slots=True)
class StartFinished:
    """Outcome of an order to start a run."""

    worker: str
    subtask: SubtaskId
    run: int
    outcome: StartOutcome
    response_age_s: float | None = None
    """Age of the worker's latest response when the order was sent, in seconds.

    None if the worker has not responded before.
    """


@dataclass(frozen=True, slots=True)
class StopConfirmed:
    """A worker has responded to an order to stop a run."""

    worker: str
    subtask: SubtaskId
    run: int


LinkMessage = (
    ReportReceived
    | ReportFailed
    | IncarnationReplaced
    | OwnerSuperseded
    | StartFinished
    | StopConfirmed
)
Order = StartCommand | StopCommand | PaceCommand


class WorkerLink:
    """Two threads for an incarnation of a worker: one for orders, one for reports."""

    __slots__ = (
        "acknowledged_end",
        "client",
        "clock_offset_s",
        "is_lease_extension_suspended",
        "is_watched",
        "lease_expires_at",
        "lease_ms",
        "lease_until_ms",
        "long_lease_until",
        "max_lease_ms",
        "may_extend_lease",
        "orders",
        "post",
        "record",
        "responded_at",
        "stopping",
        "threads",
        "withdrawn_starts",
    )

    def __init__(
        self,
        record: WorkerRecord,
        fence: int,
        lease_ms: int,
        max_lease_ms: int,
        may_extend_lease: Callable[[], bool],
        post: Callable[[LinkMessage], None],
        long_lease_until: float = 0.0,
    ) -> None:
        self.record = record
        self.client = WorkerClient(record.address, record.worker, fence)
        self.lease_ms = lease_ms
        self.max_lease_ms = max_lease_ms
        """Maximum to which the worker shortens a lease, in milliseconds."""

        self.long_lease_until = long_lease_until
        """Steady time until which the worker may hold a lease of ``max_lease_ms``.

        An order to an earlier incarnation names the end of a lease by another clock,
        which may lie far ahead of this incarnation's. The worker shortens it.
        """

        self.may_extend_lease = may_extend_lease
        self.post = post
        self.orders: SimpleQueue[Order | None] = SimpleQueue()
        self.withdrawn_starts: set[tuple[SubtaskId, int]] = set()
        """Runs whose stop is queued in ``orders``; their start is no longer sent."""

        self.acknowledged_end = 0
        """Number of the last end that the worker may forget."""

        self.clock_offset_s: float | None = None
        """Worker's clock minus this VM's steady clock, in seconds; None if unknown.

        Unknown again after a failed report: each incarnation has a clock of its own,
        and another one may answer next.
        """

        self.responded_at: float | None = None
        """Steady time of the latest response of the worker; None before the first."""

        self.is_watched = False
        """Whether reports are to come often; set by the pool's task."""

        self.lease_until_ms: int | None = None
        """End of the latest lease, in milliseconds of the worker's clock."""

        self.is_lease_extension_suspended = False
        """Whether the lease is not extended, since a report failed.

        The link sets it. The pool's task clears it once no late start can reach the
        worker any more.
        """

        # An earlier owner may have extended the lease until now.
        self.lease_expires_at = 0.0
        self._count_lease(read_steady_clock())
        self.stopping = Event()
        name = record.worker
        self.threads = [
            build_thread(f"orders {name}", self._send_orders, self.stopping),
            build_thread(f"reports {name}", self._read_reports, self.stopping),
        ]

    def start(self) -> None:
        """Start both threads; raises ``RuntimeError`` if the VM allows no more."""
        try:
            for thread in self.threads:
                thread.start()
        except RuntimeError:
            self.stop()
            raise

    def stop(self) -> None:
        """Ask both threads to end after the calls under way."""
        self.stopping.set()
        self.orders.put(None)

    def send(self, order: Order) -> None:
        """Queue an order; a stop withdraws the start of its run if that is queued."""
        if isinstance(order, StopCommand):
            self.withdrawn_starts.add((order.subtask, order.run))
        self.orders.put(order)

    def _extend_lease(self) -> int | None:
        """Extend the lease unless that is suspended; return its end.

        The end is in milliseconds of the worker's clock. It is None if the clock's
        offset is unknown or ``may_extend_lease`` returns False.
        """
        if self.clock_offset_s is None or not self.may_extend_lease():
            return None
        if self.is_lease_extension_suspended:
            # A delayed start may still reach the worker. Under a new lease its run
            # would end later than the time at which it is given up.
            return self.lease_until_ms
        now = read_steady_clock()
        self._count_lease(now)
        self.lease_until_ms = int((now + self.clock_offset_s) * 1000) + self.lease_ms
        return self.lease_until_ms

    def _count_lease(self, now: float) -> None:
        """Record that the worker may be granted a lease now."""
        may_be_long = now < self.long_lease_until
        lease_ms = self.max_lease_ms if may_be_long else self.lease_ms
        self.lease_expires_at = max(
            self.lease_expires_at, now + compute_lease_time(lease_ms)
        )

    def _send_orders(self) -> None:
        while True:
            order = self.orders.get()
            if order is None or self.stopping.is_set():
                self.client.close()
                return
            if isinstance(order, StartCommand):
                self._send_start(order)
            elif isinstance(order, StopCommand):
                self.withdrawn_starts.discard((order.subtask, order.run))
                if self.client.stop(order.subtask, order.run):
                    self.post(StopConfirmed(order.worker, order.subtask, order.run))
                else:
                    _log_order_failure("stop_unanswered", order)
            elif not self.client.pace(order.subtask, order.run, order.percent):
                _log_order_failure("pace_refused", order)

    def _send_start(self, command: StartCommand) -> None:
        order = command.order
        lease_until_ms = self._extend_lease()
        outcome = StartOutcome.UNANSWERED
        responded_at, response_age_s = self.responded_at, None
        if responded_at is not None:
            response_age_s = read_steady_clock() - responded_at
        try:
            is_late = read_steady_clock() > command.send_before
            if is_late or (order.subtask, order.run) in self.withdrawn_starts:
                outcome = StartOutcome.WITHDRAWN
            elif lease_until_ms is None:
                outcome = StartOutcome.NOT_SENT
            else:
                outcome = self.client.start(order, lease_until_ms)
        finally:
            # Without a message, the start would never be repeated.
            self.post(
                StartFinished(
                    command.worker, order.subtask, order.run, outcome, response_age_s
                )
            )
        if outcome is StartOutcome.FENCED:
            self.post(OwnerSuperseded(command.worker))

    def _read_reports(self) -> None:
        name = self.record.worker
        # After a failure another incarnation may answer, which numbers its ends anew.
        is_same_incarnation = False
        while not self.stopping.is_set():
            sent_at = read_steady_clock()
            acknowledged_end = self.acknowledged_end if is_same_incarnation else 0
            wait_ms = 0
            if self.clock_offset_s is not None:
                wait_ms = WATCHED_REPORT_WAIT_MS if self.is_watched else REPORT_WAIT_MS
            try:
                report = self.client.poll_report(
                    acknowledged_end, self._extend_lease(), wait_ms
                )
            except WorkerReplaced:
                self.post(IncarnationReplaced(name, self.record.born_ms))
                return
            except StaleOwner:
                is_same_incarnation = False
                self.clock_offset_s = None
                self.post(OwnerSuperseded(name))
                self.stopping.wait(RETRY_PAUSE_S)
                continue
            except PlatformCallError as error:
                is_same_incarnation = False
                self._record_report_failure(isinstance(error, ConnectionLost))
                self.stopping.wait(RETRY_PAUSE_S)
                continue
            except Exception:
                self._record_report_failure()
                raise
            is_same_incarnation = report.born_ms in (0, self.record.born_ms)
            if is_same_incarnation:
                self.clock_offset_s = report.clock_ms / 1000 - read_steady_clock()
            else:
                self.clock_offset_s = None
            self.responded_at = received_at = read_steady_clock()
            if received_at < self.long_lease_until:
                # An order to an earlier incarnation may have arrived until now.
                self._count_lease(received_at)
            message = ReportReceived(
                name, self.record.born_ms, report, sent_at, received_at
            )
            self.post(message)
            self.stopping.wait(REPORT_PAUSE_S)

    def _record_report_failure(self, was_reset: bool = False) -> None:
        self.is_lease_extension_suspended = True
        self.clock_offset_s = None
        worker, born_ms = self.record.worker, self.record.born_ms
        self.post(ReportFailed(worker, born_ms, was_reset))


def compute_lease_time(lease_ms: int) -> float:
    """Return the time after which a lease has certainly expired, in seconds."""
    return lease_ms / 1000 * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_SLACK_S


def _log_order_failure(event: str, order: StopCommand | PaceCommand) -> None:
    log_warning(
        event,
        job=order.subtask.job,
        subtask=order.subtask[1:],
        run=order.run,
        worker=order.worker,
    )
