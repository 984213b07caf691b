"""The task that holds the region's planner role and executes planner actions."""

import logging
from collections.abc import Callable, Iterable, Set
from concurrent.futures import Future, ThreadPoolExecutor, wait
from functools import singledispatchmethod
from random import Random
from threading import Event, Thread
from time import time

from sesameladder.entry._configuration_messages import PlanRead
from sesameladder.entry._configuration_task import ConfigurationTask
from sesameladder.entry._membership import Membership
from sesameladder.entry._view import FleetView
from sesameladder.environment import (
    PlatformClient,
    PlatformError,
    WorkerTasks,
    WorkerUnavailable,
)
from sesameladder.observability import Metric, Metrics, log_event
from sesameladder.peering import (
    CellQuery,
    CellReport,
    CellReports,
    CheckpointRequest,
    PeeringError,
    Peers,
)
from sesameladder.planning import (
    Action,
    CheckHealth,
    DrainVm,
    HealthResult,
    Observation,
    PlanMalformed,
    PlannerSession,
    PlannerSettings,
    RaiseAlarm,
    RebootVm,
    RegionPlan,
    RequestCheckpoint,
    cell_key,
)
from sesameladder.planning import CellReport as PlannerCellReport

STEP_INTERVAL_S = 0.5
# Limits the store reads of standby instances. A vacant role is acquired within
# this time.
STANDBY_INTERVAL_S = 3.0
QUERY_TIMEOUT_S = 0.5
CALL_THREADS = 8

logger = logging.getLogger(__name__)


class PlannerTask:
    """Runs a planner step every ``STEP_INTERVAL_S`` while it holds the role.

    Other instances try to acquire the role after random waits of at most
    ``STANDBY_INTERVAL_S``.
    """

    __slots__ = (
        "accepted_reboots",
        "alarms",
        "configuration",
        "executor",
        "health_results",
        "holds_role",
        "membership",
        "metrics",
        "peers",
        "platform",
        "published_version",
        "random",
        "session",
        "stopping",
        "view",
        "worker_tasks",
        "zones",
    )

    def __init__(
        self,
        peers: Peers,
        view: FleetView,
        configuration: ConfigurationTask,
        membership: Membership,
        platform: PlatformClient,
        worker_tasks: WorkerTasks,
        zones: tuple[str, ...],
        clock: Callable[[], float],
        random: Random,
        metrics: Metrics,
    ) -> None:
        self.metrics = metrics
        self.peers = peers
        self.view = view
        self.configuration = configuration
        self.membership = membership
        self.platform = platform
        self.worker_tasks = worker_tasks
        self.zones = zones
        self.random = random
        self.session = PlannerSession(
            platform,
            view.region,
            peers.identity.instance,
            clock,
            PlannerSettings(instances=self._list_configured_instances()),
            time,
        )
        self.holds_role = False
        self.published_version = 0
        self.health_results: dict[str, HealthResult] = {}
        self.accepted_reboots: dict[str, float] = {}
        self.alarms: dict[tuple[str, str], str] = {}
        self.executor = ThreadPoolExecutor(CALL_THREADS, "planner-call")
        self.stopping = Event()

    def start(self) -> None:
        """Start the thread of the task."""
        Thread(target=self._run, name="planner", daemon=True).start()

    def stop(self) -> None:
        """Release the role and stop the thread."""
        self.stopping.set()
        self.session.role.release()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def dump(self) -> dict[str, object]:
        """Return the state of the role and the alarms as JSON-ready data."""
        return {
            "held": self.holds_role,
            "fence": self.session.role.fence,
            "alarms": [
                {"kind": kind, "subject": subject, "text": text}
                for (kind, subject), text in list(self.alarms.items())
            ],
        }

    def _run(self) -> None:
        while not self.stopping.wait(
            STEP_INTERVAL_S if self.holds_role else self._draw_standby_wait_s()
        ):
            try:
                self._step()
            except (PlanMalformed, PlatformError) as error:
                log_event(
                    logger, logging.INFO, "planner_step_put_off", reason=str(error)
                )
            except Exception:
                logger.exception(
                    "planner step failed", extra={"event": "planner_error"}
                )

    def _draw_standby_wait_s(self) -> float:
        """Return a random time in seconds to wait before trying to acquire the role."""
        return STANDBY_INTERVAL_S * self.random.uniform(0.5, 1.0)

    def _step(self) -> None:
        if self.view.state.number == 0 or self.membership.draining:
            return
        actions = self.session.run(self._observe)
        self._record_role_change()
        self._publish_plan()
        self.execute_actions(actions)

    def execute_actions(self, actions: Iterable[Action]) -> None:
        """Execute actions while the role is held.

        A failed action is logged and doesn't prevent the following ones.
        """
        for action in actions:
            if self.session.role.lost:
                return
            try:
                self._execute(action)
            except PlatformError as error:
                log_event(
                    logger, logging.WARNING, "planner_action_failed", reason=str(error)
                )

    def _record_role_change(self) -> None:
        holds_role = not self.session.role.lost
        if holds_role == self.holds_role:
            return
        self.holds_role = holds_role
        event = "planner_role_acquired" if holds_role else "planner_role_lost"
        log_event(logger, logging.INFO, event, fence=self.session.role.fence)

    def _publish_plan(self) -> None:
        stored = self.session.stored
        if stored is not None and stored.plan.version != self.published_version:
            self.published_version = stored.plan.version
            self.configuration.post(PlanRead(stored.plan.to_bytes()))
            self._record_permits(stored.plan)

    def _record_permits(self, plan: RegionPlan) -> None:
        for pool in self.view.state.pools:
            rows = [row for row in plan.rows.values() if row.pool == pool]
            permits = sum(row.permit is not None for row in rows)
            self.metrics.set_gauge(Metric.PERMITS, permits, pool)

    def _observe(self, plan: RegionPlan) -> Observation:
        vms = self.platform.list_vms()
        reports = self._query_cells()
        draining = {name for name, report in reports.items() if report.draining}
        return Observation(
            now=time(),
            configuration=self.view.state,
            vms=vms,
            suspected=_list_suspected(reports.values()),
            unreachable=frozenset(),
            cells=_index_reports_by_cell(reports, plan),
            checkpointable=_list_checkpointable(reports.values()),
            live_entries=self._list_usable_instances(reports.keys() - draining),
            leaving_entries=frozenset(draining),
            health=dict(self.health_results),
            accepted_reboots=dict(self.accepted_reboots),
        )

    def _query_cells(self) -> dict[str, CellReports]:
        futures: dict[str, Future[CellReports | None]] = {
            instance: self.executor.submit(self._query_instance, instance)
            for instance, address in self.peers.addresses.items()
            if address.zone in self.zones
        }
        wait(futures.values(), timeout=QUERY_TIMEOUT_S * 4)
        reports: dict[str, CellReports] = {}
        for instance, future in futures.items():
            answer = future.result() if future.done() else None
            if answer is not None:
                reports[instance] = answer
        return reports

    def _query_instance(self, instance: str) -> CellReports | None:
        try:
            query = CellQuery(self.zones)
            answer = self.peers.call(instance, query, QUERY_TIMEOUT_S)
        except PeeringError:
            return None
        return answer if isinstance(answer, CellReports) else None

    def _list_configured_instances(self) -> dict[str, tuple[str, ...]]:
        """Return the sorted ids of the region's configured instances by zone."""
        addresses = sorted(self.peers.addresses.items())
        return {
            zone: tuple(name for name, address in addresses if address.zone == zone)
            for zone in self.zones
        }

    def _list_usable_instances(self, usable: Set[str]) -> dict[str, tuple[str, ...]]:
        """Return those of the configured instances that are usable, by zone."""
        return {
            zone: tuple(name for name in names if name in usable)
            for zone, names in self._list_configured_instances().items()
        }

    @singledispatchmethod
    def _execute(self, action: object) -> None:
        raise TypeError(f"unexpected action {action!r}")

    @_execute.register
    def _(self, action: DrainVm) -> None:
        self.platform.drain(action.vm)

    @_execute.register
    def _(self, action: RebootVm) -> None:
        self.platform.reboot(action.vm)
        self.accepted_reboots[action.vm] = time()

    @_execute.register
    def _(self, action: CheckHealth) -> None:
        configured = self.view.state.vms.get(action.vm)
        if configured is not None:
            self.executor.submit(self._check_health, action.vm, configured.address)

    @_execute.register
    def _(self, action: RequestCheckpoint) -> None:
        log_event(logger, logging.INFO, "checkpoint_wanted", vm=action.vm)
        configured = self.view.state.vms.get(action.vm)
        plan = self.view.plan
        row = plan.rows.get(action.vm) if plan else None
        if configured is None or row is None or row.pool is None:
            return
        owner = self.view.find_dispatcher(row.pool, configured.zone)
        if owner is not None:
            order = CheckpointRequest(row.pool, configured.zone, action.vm)
            self.peers.send(owner.instance, order)

    @_execute.register
    def _(self, action: RaiseAlarm) -> None:
        key = (action.kind, action.subject)
        if self.alarms.get(key) == action.text:
            return
        self.alarms[key] = action.text
        log_event(
            logger,
            logging.WARNING,
            f"alarm_{action.kind}",
            subject=action.subject,
            text=action.text,
        )

    def _check_health(self, vm: str, address: str) -> None:
        try:
            healthy = self.worker_tasks.check_health(address)
        except WorkerUnavailable:
            healthy = False
        self.health_results[vm] = HealthResult(healthy, time())


def _list_suspected(reports: Iterable[CellReports]) -> frozenset[str]:
    return frozenset(
        grants.vm
        for report in reports
        for cell in report.items
        for grants in cell.vms
        if grants.suspected
    )


def _list_checkpointable(reports: Iterable[CellReports]) -> frozenset[str]:
    return frozenset(
        grants.vm
        for report in reports
        for cell in report.items
        for grants in cell.vms
        if grants.checkpointable
    )


def _index_reports_by_cell(
    reports: dict[str, CellReports], plan: RegionPlan
) -> dict[str, PlannerCellReport]:
    """Return one report per cell, the owner's if there is one."""
    cells: dict[str, PlannerCellReport] = {}
    for instance, report in reports.items():
        for cell in report.items:
            key = cell_key(cell.pool, cell.zone)
            owner = plan.dispatchers.get(key)
            if key not in cells or (owner and owner.instance == instance):
                cells[key] = _convert_report(instance, cell)
    return cells


def _convert_report(instance: str, cell: CellReport) -> PlannerCellReport:
    return PlannerCellReport(
        instance=instance,
        applied_plan_version=cell.plan_version,
        outstanding={grants.vm: grants.outstanding for grants in cell.vms},
        mean_demand_slots=cell.mean_demand_slots,
        granting=cell.granting,
    )
