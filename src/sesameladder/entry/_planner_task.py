"""Holds the region's planner role and carries out the planner's actions."""

import logging
from collections.abc import Callable, Iterable, Set
from concurrent.futures import Future, ThreadPoolExecutor, wait
from functools import singledispatchmethod
from threading import Event, Thread
from time import time

from sesameladder.entry._configuration_task import ConfigurationTask, PlanRead
from sesameladder.entry._membership import Membership
from sesameladder.entry._view import FleetView
from sesameladder.observability import log_event
from sesameladder.peering import (
    CellQuery,
    CellReport,
    CellReports,
    PeeringError,
    Peers,
)
from sesameladder.planning import (
    AskCheckpoint,
    CheckHealth,
    DrainVm,
    HealthResult,
    Observation,
    PlanMalformed,
    Planner,
    PlannerSettings,
    PlanStore,
    PlanStoreError,
    PlanSuperseded,
    PlanWritten,
    RaiseAlarm,
    RebootVm,
    RoleLease,
    StoredPlan,
    WritePlan,
    cell_key,
)
from sesameladder.planning import CellReport as PlannerCellReport
from sesameladder.platform import (
    PlatformClient,
    PlatformError,
    WorkerTasks,
    WorkerUnavailable,
)

STEP_SECONDS = 0.5
QUERY_TIMEOUT_S = 0.5
CALL_THREADS = 8

logger = logging.getLogger(__name__)


class PlannerTask:
    """Runs a planner step every half second while the role is held."""

    __slots__ = (
        "accepted_reboots",
        "alarms",
        "configuration",
        "executor",
        "health",
        "lease",
        "membership",
        "peers",
        "plan_store",
        "planner",
        "platform",
        "region",
        "role_key",
        "stopping",
        "stored",
        "tasks",
        "view",
        "zones",
    )

    def __init__(
        self,
        peers: Peers,
        view: FleetView,
        configuration: ConfigurationTask,
        membership: Membership,
        platform: PlatformClient,
        tasks: WorkerTasks,
        zones: tuple[str, ...],
        now: Callable[[], float],
    ) -> None:
        self.peers = peers
        self.view = view
        self.configuration = configuration
        self.membership = membership
        self.platform = platform
        self.tasks = tasks
        self.region = view.region
        self.zones = zones
        self.role_key = f"roles/planner/{view.region}"
        self.lease = RoleLease(platform, self.role_key, peers.identity.instance, now)
        self.plan_store = PlanStore(platform, view.region)
        self.planner: Planner | None = None
        self.stored: StoredPlan | None = None
        self.health: dict[str, HealthResult] = {}
        self.accepted_reboots: dict[str, float] = {}
        self.alarms: dict[tuple[str, str], str] = {}
        self.executor = ThreadPoolExecutor(CALL_THREADS, "planner-call")
        self.stopping = Event()

    def start(self) -> None:
        """Start the task."""
        Thread(target=self._run, name="planner", daemon=True).start()

    def stop(self) -> None:
        """Give the role up and end the task."""
        self.stopping.set()
        self.lease.release()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def dump(self) -> dict[str, object]:
        """Return role, fence and alarms as JSON-ready data."""
        return {
            "held": self.planner is not None,
            "fence": self.lease.fence,
            "alarms": [
                {"kind": kind, "subject": subject, "text": text}
                for (kind, subject), text in list(self.alarms.items())
            ],
        }

    def _run(self) -> None:
        while not self.stopping.wait(STEP_SECONDS):
            try:
                self._step()
            except (PlanStoreError, PlanMalformed, PlatformError) as error:
                self.stored = None
                log_event(
                    logger, logging.INFO, "planner_step_put_off", reason=str(error)
                )
            except Exception:
                self.stored = None
                logger.exception(
                    "planner step failed", extra={"event": "planner_error"}
                )

    def _step(self) -> None:
        if not self._hold_role() or self.planner is None:
            return
        if self.view.state.number == 0 or self.membership.draining:
            return
        if self.stored is None:
            self.stored = self.plan_store.read()
            self.configuration.post(PlanRead(self.stored.plan.to_bytes()))
        observation = self._observe()
        for action in self.planner.step(observation, self.stored.plan, time()):
            if self.lease.lost:
                return
            self._carry_out(action)

    def _hold_role(self) -> bool:
        if self.lease.renew():
            return True
        if self.planner is not None:
            log_event(logger, logging.INFO, "planner_role_lost")
        self.planner = None
        self.stored = None
        if self.membership.draining or self.platform.get(self.role_key) is not None:
            return False
        if not self.lease.acquire():
            return False
        settings = PlannerSettings(instances=self._list_configured())
        self.planner = Planner(self.region, self.lease.fence, settings)
        log_event(logger, logging.INFO, "planner_role_acquired", fence=self.lease.fence)
        return True

    def _observe(self) -> Observation:
        vms = self.platform.list_vms()
        reports = self._query_cells()
        draining = {name for name, report in reports.items() if report.draining}
        return Observation(
            now=time(),
            configuration=self.view.state,
            vms=vms,
            suspected=_list_suspected(reports.values()),
            unreachable=frozenset(),
            cells=_index_cells(reports),
            entries=self._list_entries(reports.keys() - draining),
            leaving_entries=frozenset(draining),
            health=dict(self.health),
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

    def _list_configured(self) -> dict[str, tuple[str, ...]]:
        """Return the configured instances of the region by zone."""
        addresses = sorted(self.peers.addresses.items())
        return {
            zone: tuple(name for name, address in addresses if address.zone == zone)
            for zone in self.zones
        }

    def _list_entries(self, usable: Set[str]) -> dict[str, tuple[str, ...]]:
        """Return the instances that may take cells, by zone."""
        return {
            zone: tuple(name for name in names if name in usable)
            for zone, names in self._list_configured().items()
        }

    @singledispatchmethod
    def _carry_out(self, action: object) -> None:
        raise TypeError(f"unexpected action {action!r}")

    @_carry_out.register
    def _(self, action: WritePlan) -> None:
        if self.stored is None:
            return
        outcome = self.plan_store.write(action.plan, self.stored.revision)
        if isinstance(outcome, PlanWritten):
            self.stored = StoredPlan(action.plan, outcome.revision)
            self.configuration.post(PlanRead(action.plan.to_bytes()))
        elif isinstance(outcome, PlanSuperseded):
            self.stored = outcome.current
        else:
            self.stored = None

    @_carry_out.register
    def _(self, action: DrainVm) -> None:
        self.platform.drain(action.vm)

    @_carry_out.register
    def _(self, action: RebootVm) -> None:
        self.platform.reboot(action.vm)
        self.accepted_reboots[action.vm] = time()

    @_carry_out.register
    def _(self, action: CheckHealth) -> None:
        configured = self.view.state.vms.get(action.vm)
        if configured is not None:
            self.executor.submit(self._check_health, action.vm, configured.address)

    @_carry_out.register
    def _(self, action: AskCheckpoint) -> None:
        log_event(logger, logging.INFO, "checkpoint_wanted", vm=action.vm)

    @_carry_out.register
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
            healthy = self.tasks.check_health(address)
        except WorkerUnavailable:
            healthy = False
        self.health[vm] = HealthResult(healthy, time())


def _list_suspected(reports: Iterable[CellReports]) -> frozenset[str]:
    return frozenset(
        grants.vm
        for report in reports
        for cell in report.items
        for grants in cell.vms
        if grants.suspected
    )


def _index_cells(reports: dict[str, CellReports]) -> dict[str, PlannerCellReport]:
    cells: dict[str, PlannerCellReport] = {}
    for instance, report in reports.items():
        for cell in report.items:
            cells[cell_key(cell.pool, cell.zone)] = _convert_report(instance, cell)
    return cells


def _convert_report(instance: str, cell: CellReport) -> PlannerCellReport:
    return PlannerCellReport(
        instance=instance,
        applied_plan_version=cell.plan_version,
        outstanding={grants.vm: grants.outstanding for grants in cell.vms},
        mean_demand_slots=cell.mean_demand_slots,
        granting=cell.granting,
    )
