"""Creates the tasks of one process and shuts them down in order."""

import os
import signal
import sys
from math import inf
from pathlib import Path
from threading import Event, Lock, Thread
from time import sleep

from sesameladder.accepted_work import WorkBudget
from sesameladder.jobs import WorkerRecord
from sesameladder.node._admission import AdmissionControl
from sesameladder.node._advice_calls import AdviceCalls
from sesameladder.node._cap_task import CapTask
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._configuration_task import ConfigurationTask
from sesameladder.node._fleet_task import FleetTask
from sesameladder.node._http_servers import JobApiServer, ProbeServer
from sesameladder.node._intake import Intake
from sesameladder.node._keys import FLEET_ROLE, POOL_ROLE_PREFIX, pool_role
from sesameladder.node._pool_task import CapsChanged, PoolTask, WorkersUpdated
from sesameladder.node._registry_task import RegistryTask
from sesameladder.node._response_deadlines import ResponseDeadlines
from sesameladder.node._roles import HeldRole, RoleTask
from sesameladder.node._telemetry import (
    CONFIGURATION_AGE_SECONDS,
    SERVICE_CALLS,
    log_event,
    log_warning,
    render_metrics,
    start_logging,
)
from sesameladder.node._unrouted_pools import UnroutedPools, list_routed_pools
from sesameladder.node._vm_load import VmSize
from sesameladder.node._worker_link import WORKER_LEASE_MS
from sesameladder.organisations import Organisations
from sesameladder.platform import (
    AdviceClient,
    NodeSettings,
    SettingsInvalid,
    StoreClient,
    VmClient,
    find_settings_path,
    read_settings,
)
from sesameladder.service_calls import CallOutcome, CallRules, ClientCalls

SETTINGS_CHECK_S = 1.0  # within this time, a change without a signal is noticed
READINESS_TIMEOUT_S = 1.5  # allows one lost renewal; partitions last up to 6 s
CONNECTION_CLOSE_SHARE = 0.5  # of the grace period, after which connections are closed
EXIT_SHARE = 0.8  # of the grace period, after which the process ends
SERVER_CLOSE_TIMEOUT_S = 0.5  # for server threads; all responses are sent by then
RESPONSE_SEND_S = 0.2  # of it, to send the last responses
EXIT_INVALID_SETTINGS = 2
REGISTRY_THREAD = "registry"


class NodeProcess:
    """The tasks of one process, its settings and its servers."""

    __slots__ = (
        "admission",
        "advice_calls",
        "budget",
        "cap_task",
        "client_calls",
        "configuration",
        "deadlines",
        "fleet_task",
        "is_shutting_down",
        "job_api",
        "lock",
        "pool_tasks",
        "probe_server",
        "registry",
        "reload_requested",
        "roles",
        "settings",
        "settings_path",
        "stopping",
        "store",
        "unrouted_pools",
        "vm_client",
    )

    def __init__(self, path: Path, settings: NodeSettings) -> None:
        self.settings_path = path
        self.settings = settings
        self.store = StoreClient.from_address(settings.store_address)
        self.vm_client = VmClient(settings.vm_api_address)
        address = settings.advice_address
        self.advice_calls = AdviceCalls(AdviceClient(address) if address else None)
        self.client_calls = ClientCalls(
            settings.store_writes_per_s, settings.store_reads_per_s, read_steady_clock()
        )
        self.store.http.on_outcome = self._record_outcome
        self.vm_client.http.on_outcome = self._record_outcome
        self.deadlines = ResponseDeadlines()
        self.store.limit_timeout = lambda timeout_s: self.deadlines.limit_call_timeout(
            timeout_s, read_steady_clock()
        )
        self.budget = WorkBudget.from_memory(settings.memory_mb)
        self.configuration = ConfigurationTask(self.store)
        self.roles = RoleTask(
            self.store,
            settings.node,
            self._list_roles,
            self._start_role_task,
            self._stop_role_task,
            VmSize(settings.cores, settings.link_mbps),
        )
        self.unrouted_pools = UnroutedPools(
            self.store, lambda: self.configuration.current, self.roles.has_holder
        )
        self.registry = RegistryTask(
            self.store,
            lambda: bool(self.pool_tasks),
            self._publish_workers,
            self._record_registry_pass,
        )
        self.cap_task = CapTask(self.store, self.configuration.read, self._wake_pool)
        self.admission = AdmissionControl(
            self.store,
            lambda: self._get_organisations() is not None,
            lambda pool: self.roles.get_holder_fence(pool_role(pool)),
        )
        self.job_api = JobApiServer(
            settings.job_api_address,
            settings.node,
            Intake(
                self.store,
                lambda: self.configuration.dependency.is_lost,
                self.admission,
                self.client_calls,
                settings.job_state_retention_s,
                self.unrouted_pools.list_open_pools,
            ),
            self.configuration.read,
            lambda: self.settings.key_revocation_s,
            settings.max_descriptors,
            self.deadlines,
        )
        self.client_calls.count_connections = self.job_api.server.count_connections
        CONFIGURATION_AGE_SECONDS.set_function(self._read_configuration_age)
        self.probe_server = ProbeServer(
            settings.readiness_address,
            self._is_ready,
            render_metrics,
            settings.max_descriptors,
        )
        self.lock = Lock()
        self.pool_tasks: dict[str, PoolTask] = {}
        self.fleet_task: FleetTask | None = None
        self.is_shutting_down = False
        self.stopping = Event()
        self.reload_requested = Event()

    @classmethod
    def from_settings_file(cls, path: Path) -> "NodeProcess":
        """Return a process with the settings of a file; raises ``SettingsInvalid``."""
        return cls(path, read_settings(path))

    def run(self) -> None:
        """Serve until SIGTERM, then shut down within the grace period."""
        signal.signal(signal.SIGTERM, lambda *_: self.stopping.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload_requested.set())
        self.job_api.prepare()
        self.probe_server.prepare()
        log_event(
            "started",
            zone=self.settings.zone,
            cores=self.settings.cores,
            link_mbps=self.settings.link_mbps,
            python=sys.version.split()[0],
        )
        Thread(target=self.job_api.serve, name="callers", daemon=True).start()
        Thread(target=self.probe_server.serve, name="probes", daemon=True).start()
        self.configuration.start()
        self.roles.start()
        self.unrouted_pools.start()
        self.admission.start()
        self.registry.start()
        self.cap_task.start()
        text = self._read_settings_text()
        while not self.stopping.wait(SETTINGS_CHECK_S):
            text = self._reload_changed_settings(text)
        self._shut_down()

    def _shut_down(self) -> None:
        """Give up the roles at once, keep serving callers, then close."""
        started_at = read_steady_clock()
        log_event("shutdown_started")
        self.is_shutting_down = True
        grace_s = self.settings.shutdown_grace_s
        closed_at = started_at + EXIT_SHARE * grace_s + SERVER_CLOSE_TIMEOUT_S
        # First, since to give up the roles may wait for the store.
        self.deadlines.last_response_at = closed_at - RESPONSE_SEND_S
        self.unrouted_pools.stop()
        self.registry.stop()
        self.cap_task.stop()
        self.roles.stop()
        sleep(
            max(
                0.0, started_at + CONNECTION_CLOSE_SHARE * grace_s - read_steady_clock()
            )
        )
        self.job_api.closes_connections = True
        sleep(max(0.0, started_at + EXIT_SHARE * grace_s - read_steady_clock()))
        close_thread = Thread(target=self.job_api.stop, name="closing", daemon=True)
        close_thread.start()
        close_thread.join(SERVER_CLOSE_TIMEOUT_S)
        self.configuration.stop()
        self.admission.stop()
        self.advice_calls.stop()
        log_event("shutdown_finished", in_flight=self.job_api.in_flight)

    def _record_outcome(self, rules: CallRules, outcome: CallOutcome) -> None:
        SERVICE_CALLS.labels(rules.service.value, rules.name, outcome.value).inc()
        is_limited = outcome is CallOutcome.RATE_LIMITED
        if rules.rate is not None and (is_limited or outcome is CallOutcome.ANSWERED):
            now = read_steady_clock()
            self.client_calls.record_response(rules.rate, is_limited, now)

    def _is_ready(self) -> bool:
        if self.is_shutting_down or self.configuration.current is None:
            return False
        # Callers are better served by a VM that reaches the store.
        return self.roles.is_confirmed(READINESS_TIMEOUT_S)

    def _read_configuration_age(self) -> float:
        """Return the age of the configuration in seconds; infinite without one."""
        confirmed = self.configuration.read()
        return (
            inf if confirmed is None else read_steady_clock() - confirmed.confirmed_at
        )

    # Roles -----------------------------------------------------------------

    def _list_roles(self) -> list[str]:
        configuration = self.configuration.current
        if configuration is None:
            return []
        pools = list_routed_pools(configuration) | self.unrouted_pools.with_jobs
        return [*map(pool_role, sorted(pools)), FLEET_ROLE]

    def _start_role_task(self, held: HeldRole) -> None:
        """Start the task of a gained role, and stop that of an earlier holding.

        The thread that gave the earlier holding up may stop its task only later.
        """
        with self.lock:
            if self.roles.held.get(held.role) is not held:
                return  # another thread has given it up and found no task to stop
            if held.role == FLEET_ROLE:
                if self.fleet_task is not None:
                    self.fleet_task.stop()
                self.fleet_task = self._build_fleet_task(held)
                self.fleet_task.start()
                return
            previous = self.pool_tasks.get(held.role)
            if previous is not None:
                previous.stop()
            pool = held.role.removeprefix(POOL_ROLE_PREFIX)
            self.cap_task.add_pool(pool, held.fence)
            task = self._build_pool_task(held)
            held.begin_passes(REGISTRY_THREAD)
            self.pool_tasks[held.role] = task
            task.start()
        self.registry.publish()

    def _stop_role_task(self, held: HeldRole) -> None:
        """Stop the task of a lost role, but not that of a later holding."""
        with self.lock:
            if held.role == FLEET_ROLE:
                if self.fleet_task is not None and self.fleet_task.role == held:
                    self.fleet_task.stop()
                return
            task = self.pool_tasks.get(held.role)
            if task is None or task.role != held:
                return
            del self.pool_tasks[held.role]
        task.stop()
        self.cap_task.remove_pool(task.pool, held.fence)

    def _holds(self, held: HeldRole) -> bool:
        """Return whether a role has been held without a break since it was taken.

        The process's lease alone doesn't show that: it goes on for other roles.
        """
        return self.roles.held.get(held.role) == held

    def _build_pool_task(self, held: HeldRole) -> PoolTask:
        pool = held.role.removeprefix(POOL_ROLE_PREFIX)
        return PoolTask(
            pool,
            held,
            self.store,
            self.advice_calls,
            min(WORKER_LEASE_MS, self.settings.max_lease_ms),
            self.settings.max_lease_ms,
            self.settings.job_state_retention_s,
            self.settings.stop_grace_ms / 1000,
            lambda within_s: self._holds(held) and self.roles.is_confirmed(within_s),
            lambda: self._holds(held) and self.roles.is_exclusive_holder(),
            lambda: self.roles.lease,
            lambda role, reason: self.roles.drop(role.role, role.fence, reason),
            VmSize(self.settings.cores, self.settings.link_mbps),
            lambda: self.cap_task.get_capped_starts(pool),
            self._get_organisations,
            self.budget,
        )

    def _get_organisations(self) -> Organisations | None:
        configuration = self.configuration.current
        return configuration.organisations if configuration is not None else None

    def _build_fleet_task(self, held: HeldRole) -> FleetTask:
        return FleetTask(
            held,
            self.settings.node,
            self.store,
            self.vm_client,
            self.settings.min_order_gap_ms / 1000,
            lambda: list(self.configuration.waves.values()),
            lambda: self.configuration.current,
            lambda: self._holds(held) and self.roles.is_exclusive_holder(),
        )

    def _publish_workers(
        self, records: list[WorkerRecord] | None, confirmed_at: float
    ) -> None:
        for task in self._list_pool_tasks():
            task.messages.put(WorkersUpdated(records, confirmed_at))

    def _wake_pool(self, pool: str) -> None:
        with self.lock:
            task = self.pool_tasks.get(pool_role(pool))
        if task is not None:
            task.messages.put(CapsChanged())

    def _record_registry_pass(self) -> None:
        for task in self._list_pool_tasks():
            task.role.record_pass(REGISTRY_THREAD)

    def _list_pool_tasks(self) -> list[PoolTask]:
        with self.lock:
            return list(self.pool_tasks.values())

    # Settings --------------------------------------------------------------

    def _read_settings_text(self) -> str:
        try:
            return self.settings_path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            log_warning("settings_unreadable", error=str(error))
            return ""

    def _reload_changed_settings(self, previous_text: str) -> str:
        """Apply changed settings and return the text of the file.

        An invalid file is logged and leaves the settings as they are.
        """
        signalled = self.reload_requested.is_set()
        self.reload_requested.clear()
        text = self._read_settings_text()
        if text == previous_text and not signalled:
            return previous_text
        try:
            self.settings = read_settings(self.settings_path)
        except SettingsInvalid as error:
            log_warning("settings_refused", error=str(error), signalled=signalled)
            return text
        log_event(
            "settings_reloaded", signalled=signalled, changed=text != previous_text
        )
        return text


def main() -> int:
    """Run one process; returns only if the settings are invalid, with an exit code."""
    path = find_settings_path()
    try:
        settings = read_settings(path)
    except SettingsInvalid as error:
        print(f"sesameladder-node: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    listener = start_logging(settings.node)
    try:
        NodeProcess(path, settings).run()
    finally:
        listener.stop()
    # The interpreter's exit would wait for threads with idle connections, beyond the
    # grace period.
    sys.stdout.flush()
    os._exit(0)
