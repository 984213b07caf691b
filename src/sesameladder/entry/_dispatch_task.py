"""The task that runs all cells which this instance dispatches."""

import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatchmethod
from queue import SimpleQueue
from random import Random
from threading import Thread

from sesameladder.dispatch import GrantOutcome, OutcomeKind
from sesameladder.entry._cell_runtime import CellRuntime
from sesameladder.entry._dispatch_messages import (
    DispatchMessage,
    GrantsReported,
    HandOverAnswered,
    InstanceGone,
    TasksReported,
    ViewChanged,
)
from sesameladder.entry._inbox import run_inbox
from sesameladder.entry._task_messages import PeerMessage
from sesameladder.entry._view import FleetView
from sesameladder.environment import WorkerTasks, WorkerUnavailable
from sesameladder.observability import Metric, Metrics, log_event
from sesameladder.peering import (
    CellQuery,
    CellReport,
    CellReports,
    CheckpointRequest,
    DemandCancel,
    Failure,
    GrantAnswer,
    GrantList,
    GrantPoll,
    GrantQuery,
    GrantRelease,
    HandOverAnswer,
    HandOverRequest,
    PeerIdentity,
    PeeringError,
    Peers,
    SendReply,
    VmGrants,
)
from sesameladder.planning import DispatcherRow, cell_key

MAX_WAIT_S = 0.5
RECONCILE_INTERVAL_S = 1.0
QUERY_TIMEOUT_S = 1.0
CALL_THREADS = 4
MEAN_DEMAND_TIME_CONSTANT_S = 60.0

logger = logging.getLogger(__name__)


class DispatchTask:
    """Runs the cells of this instance in one thread with an inbox.

    ``awaiting_hand_over`` holds the rows of cells whose previous owner has not
    confirmed that it stopped. ``handed_over_epochs`` holds the epoch from which
    another instance dispatches a cell. ``mean_demand_slots`` is an exponential
    moving average of the demand of each cell, in slots.
    """

    __slots__ = (
        "awaiting_hand_over",
        "cells",
        "clock",
        "draining",
        "executor",
        "handed_over_epochs",
        "inbox",
        "mean_demand_slots",
        "metrics",
        "next_reconcile_at",
        "peers",
        "random",
        "unconfirmed_hand_overs",
        "view",
        "worker_tasks",
    )

    def __init__(
        self,
        peers: Peers,
        view: FleetView,
        worker_tasks: WorkerTasks,
        clock: Callable[[], float],
        random: Random,
        metrics: Metrics,
    ) -> None:
        self.peers = peers
        self.view = view
        self.worker_tasks = worker_tasks
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.inbox: SimpleQueue[DispatchMessage] = SimpleQueue()
        self.cells: dict[str, CellRuntime] = {}
        self.awaiting_hand_over: dict[str, DispatcherRow] = {}
        self.handed_over_epochs: dict[str, int] = {}
        # Cells that were handed over but not yet requested by their new owner.
        self.unconfirmed_hand_overs: set[str] = set()
        self.draining = False
        self.mean_demand_slots: dict[str, float] = {}
        self.executor = ThreadPoolExecutor(CALL_THREADS, "dispatch-call")
        self.next_reconcile_at = 0.0

    def start(self) -> None:
        """Start the thread of the task."""
        Thread(target=self._run, name="dispatch", daemon=True).start()

    def post(self, message: DispatchMessage) -> None:
        """Add a message to the inbox; may be called from any thread."""
        self.inbox.put(message)

    def dump(self) -> dict[str, object]:
        """Return the state of all cells as JSON-ready data."""
        return {
            key: {"epoch": cell.epoch, **cell.dispatcher.dump()}
            for key, cell in list(self.cells.items())
        }

    def _run(self) -> None:
        run_inbox(self.inbox, self._compute_wait_s, self._step, "dispatch_error")
        self.executor.shutdown(wait=False, cancel_futures=True)

    def _compute_wait_s(self) -> float:
        """Return the time in seconds until a cell is due, at most ``MAX_WAIT_S``."""
        now = self.clock()
        wakeups = [cell.next_wakeup(now) for cell in self.cells.values()]
        return min([*wakeups, now + MAX_WAIT_S]) - now

    def _step(self, message: DispatchMessage | None) -> None:
        if message is not None:
            self._handle(message)
        self._advance()

    def _advance(self) -> None:
        now = self.clock()
        for cell in self.cells.values():
            cell.advance(now)
        if now >= self.next_reconcile_at:
            self.next_reconcile_at = now + RECONCILE_INTERVAL_S
            for key, cell in self.cells.items():
                self._reconcile(key, cell, now)
                self._update_mean_demand(key, cell)
                self._request_task_reports(key, cell, now)
                self._record_metrics(cell)

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {message!r}")

    @_handle.register
    def _(self, message: PeerMessage) -> None:
        self._handle_peer_message(message.message, message.sender, message.reply)

    @_handle.register
    def _(self, _message: ViewChanged) -> None:
        plan = self.view.plan
        if plan is None:
            return
        own = self.peers.identity.instance
        rows = {
            key: row for key, row in plan.dispatchers.items() if row.instance == own
        }
        for key in [key for key in self.cells if key not in rows]:
            self._hand_over_cell(key, self.cells[key].epoch + 1)
        for key, row in rows.items():
            self._adopt_cell(key, row)
        now = self.clock()
        for cell in self.cells.values():
            cell.apply_view(self.view, now)

    @_handle.register
    def _(self, message: GrantsReported) -> None:
        cell = self._find_cell(message.cell, message.epoch)
        if cell is None:
            return
        now = self.clock()
        cell.reconcile_grants(
            message.forwarder,
            {item.grant_id for item in message.items},
            message.demand_ids,
            message.queried_grant_ids,
            now,
        )
        cell.adopt_grants(message.forwarder, message.items, now)

    @_handle.register
    def _(self, message: TasksReported) -> None:
        cell = self._find_cell(message.cell, message.epoch)
        if cell is not None:
            cell.dispatcher.apply_task_report(
                message.vm, message.task_count, self.clock()
            )

    @_handle.register
    def _(self, message: HandOverAnswered) -> None:
        row = self.awaiting_hand_over.get(message.cell)
        if row is None or row.epoch != message.epoch:
            return
        if message.answer is not None and message.answer.accepted:
            del self.awaiting_hand_over[message.cell]
            self._start_recovery(message.cell)

    @_handle.register
    def _(self, message: InstanceGone) -> None:
        now = self.clock()
        for cell in self.cells.values():
            cell.dispatcher.mark_forwarder_gone(
                message.instance, message.incarnation, now
            )

    @singledispatchmethod
    def _handle_peer_message(
        self, message: object, sender: PeerIdentity, reply: SendReply
    ) -> None:
        del sender
        reply(Failure(f"unexpected message {type(message).__name__}"))

    @_handle_peer_message.register
    def _(self, message: GrantPoll, sender: PeerIdentity, reply: SendReply) -> None:
        key = cell_key(message.pool, message.zone)
        cell = self.cells.get(key)
        if cell is not None and message.epoch > cell.epoch:
            # The forwarder's plan is newer and assigns the cell to another owner.
            self._hand_over_cell(key, message.epoch)
            cell = None
        if cell is None or message.epoch != cell.epoch:
            reason = "this instance does not dispatch the cell in this epoch"
            reply(GrantAnswer("refused", message.demand_id, reason=reason))
            return
        cell.poll(sender, message, reply, self.clock())

    @_handle_peer_message.register
    def _(self, message: GrantRelease, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        cell = self.cells.get(cell_key(message.pool, message.zone))
        if cell is not None:
            outcome = GrantOutcome(OutcomeKind(message.outcome), message.ran_ms)
            cell.release(message.grant_id, outcome, self.clock())

    @_handle_peer_message.register
    def _(self, message: DemandCancel, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        cell = self.cells.get(cell_key(message.pool, message.zone))
        if cell is not None:
            cell.cancel(message.demand_id, self.clock())

    @_handle_peer_message.register
    def _(
        self, message: HandOverRequest, sender: PeerIdentity, reply: SendReply
    ) -> None:
        del sender
        key = cell_key(message.pool, message.zone)
        cell = self.cells.get(key)
        if cell is not None and cell.epoch < message.epoch:
            self._hand_over_cell(key, message.epoch)
        if key in self.cells:
            reply(HandOverAnswer(False))
            return
        self.handed_over_epochs[key] = max(
            message.epoch, self.handed_over_epochs.get(key, 0)
        )
        self.unconfirmed_hand_overs.discard(key)
        reply(HandOverAnswer(True))

    @_handle_peer_message.register
    def _(
        self, message: CheckpointRequest, sender: PeerIdentity, reply: SendReply
    ) -> None:
        del sender, reply
        cell = self.cells.get(cell_key(message.pool, message.zone))
        if cell is not None:
            cell.request_checkpoints(message.vm)

    @_handle_peer_message.register
    def _(self, message: CellQuery, sender: PeerIdentity, reply: SendReply) -> None:
        del message, sender
        reply(
            CellReports(
                self.draining,
                tuple(
                    self._build_cell_report(key, cell)
                    for key, cell in self.cells.items()
                ),
            )
        )

    def _build_cell_report(self, key: str, cell: CellRuntime) -> CellReport:
        workers = cell.dispatcher.cell.workers.by_vm
        ejected_vms = cell.dispatcher.cell.outliers.ejected
        checkpointable_vms = {
            grant.vm
            for grant in cell.dispatcher.outstanding_grants()
            if grant.checkpointable
        }
        vms = tuple(
            VmGrants(
                vm,
                cell.dispatcher.slots_in_use(vm),
                vm in ejected_vms,
                vm in checkpointable_vms,
            )
            for vm in sorted(workers)
        )
        return CellReport(
            cell.pool,
            cell.zone,
            cell.applied_plan_version,
            cell.epoch,
            self.mean_demand_slots.get(key, 0.0),
            cell.dispatcher.recovery.is_over(self.clock()),
            vms,
        )

    def _adopt_cell(self, key: str, row: DispatcherRow) -> None:
        if self.handed_over_epochs.get(key, 0) > row.epoch:
            return
        cell = self.cells.get(key)
        if cell is not None and cell.epoch == row.epoch:
            self._stop_awaiting_previous_owner(key, row)
            return
        pool = self.view.state.pools.get(row.pool)
        if pool is None:
            return
        grant_prefix = f"{self.peers.identity.incarnation:x}-"
        self.cells[key] = CellRuntime.create(
            pool, row.zone, row.epoch, self.random, grant_prefix, self.peers.send
        )
        log_event(
            logger,
            logging.INFO,
            "cell_adopted",
            pool=row.pool,
            zone=row.zone,
            epoch=row.epoch,
        )
        if row.previous_owner is not None and not row.previous_owner_gone:
            self.awaiting_hand_over[key] = row
            self._request_hand_over(key, row)
        else:
            self._start_recovery(key)

    def _stop_awaiting_previous_owner(self, key: str, row: DispatcherRow) -> None:
        if key in self.awaiting_hand_over and (
            row.previous_owner is None or row.previous_owner_gone
        ):
            del self.awaiting_hand_over[key]
            self._start_recovery(key)

    def _hand_over_cell(self, key: str, epoch: int) -> None:
        cell = self.cells.pop(key)
        self.awaiting_hand_over.pop(key, None)
        hand_over = cell.dispatcher.hand_over()
        for demand_id in hand_over.queued_demand_ids:
            poll = cell.polls.pop(demand_id, None)
            if poll is not None and poll.reply is not None:
                poll.reply(GrantAnswer("refused", demand_id, reason="handed_over"))
        self.handed_over_epochs[key] = epoch
        self.unconfirmed_hand_overs.add(key)

    def _start_recovery(self, key: str) -> None:
        cell = self.cells[key]
        cell.dispatcher.recover([], self.clock())
        for instance in self.peers.addresses:
            self._query_grants(key, cell, instance, frozenset())

    def _reconcile(self, key: str, cell: CellRuntime, now: float) -> None:
        row = self.awaiting_hand_over.get(key)
        if row is not None:
            self._request_hand_over(key, row)
        for forwarder, grant_ids in cell.list_grants_to_reconcile(now).items():
            self._query_grants(key, cell, forwarder.instance, frozenset(grant_ids))

    def _query_grants(
        self,
        key: str,
        cell: CellRuntime,
        instance: str,
        queried_grant_ids: frozenset[str],
    ) -> None:
        epoch = cell.epoch
        query = GrantQuery(cell.pool, cell.zone)

        def send_query() -> None:
            try:
                answer = self.peers.call(instance, query, QUERY_TIMEOUT_S)
            except PeeringError:
                return
            if isinstance(answer, GrantList) and answer.complete:
                forwarder = PeerIdentity(instance, answer.incarnation)
                self.post(
                    GrantsReported(
                        key,
                        epoch,
                        forwarder,
                        answer.items,
                        answer.demand_ids,
                        queried_grant_ids,
                    )
                )

        self.executor.submit(send_query)

    def _request_hand_over(self, key: str, row: DispatcherRow) -> None:
        plan = self.view.plan
        request = HandOverRequest(
            row.pool, row.zone, row.epoch, plan.version if plan else 0
        )
        previous_owner = row.previous_owner or ""

        def send_request() -> None:
            try:
                answer = self.peers.call(previous_owner, request, QUERY_TIMEOUT_S)
            except PeeringError:
                return
            if isinstance(answer, HandOverAnswer):
                self.post(HandOverAnswered(key, row.epoch, previous_owner, answer))

        self.executor.submit(send_request)

    def _request_task_reports(self, key: str, cell: CellRuntime, now: float) -> None:
        for worker in cell.dispatcher.workers_awaiting_report(now):
            self.executor.submit(
                self._query_running_tasks, key, cell.epoch, worker.vm, worker.address
            )

    def _query_running_tasks(self, key: str, epoch: int, vm: str, address: str) -> None:
        try:
            reports = self.worker_tasks.list_tasks(address)
        except WorkerUnavailable:
            return
        self.post(TasksReported(key, epoch, vm, len(reports)))

    def _update_mean_demand(self, key: str, cell: CellRuntime) -> None:
        current_slots = len(cell.dispatcher.outstanding_grants()) + len(cell.polls)
        mean_slots = self.mean_demand_slots.get(key, 0.0)
        weight = RECONCILE_INTERVAL_S / MEAN_DEMAND_TIME_CONSTANT_S
        self.mean_demand_slots[key] = mean_slots + weight * (current_slots - mean_slots)

    def _record_metrics(self, cell: CellRuntime) -> None:
        outstanding = len(cell.dispatcher.outstanding_grants())
        ejected = len(cell.dispatcher.cell.outliers.ejected)
        self.metrics.set_gauge(Metric.QUEUE_LENGTH, len(cell.polls), cell.pool)
        self.metrics.set_gauge(Metric.SLOTS_BUSY, outstanding, cell.pool)
        self.metrics.set_gauge(Metric.WORKERS_EJECTED, ejected, cell.pool)

    def _find_cell(self, key: str, epoch: int) -> CellRuntime | None:
        cell = self.cells.get(key)
        if cell is None or cell.epoch != epoch:
            return None
        return cell
