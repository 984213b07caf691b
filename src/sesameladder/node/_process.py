"""Wires the tasks of one process and ends them in order."""

import os
import signal
import sys
from pathlib import Path
from threading import Event, Lock, Thread
from time import sleep

from sesameladder.jobs import WorkerRecord
from sesameladder.node._clock import read_steady
from sesameladder.node._configuration_task import ConfigurationTask
from sesameladder.node._fleet_task import FleetTask
from sesameladder.node._front import CallerServer, ProbeServer
from sesameladder.node._intake import Intake
from sesameladder.node._keys import FLEET_ROLE, POOL_ROLE_PREFIX, pool_role
from sesameladder.node._pool_task import PoolTask, WorkersRead
from sesameladder.node._registry_task import RegistryTask
from sesameladder.node._roles import HeldRole, RoleTask
from sesameladder.node._telemetry import note, render_metrics, start_logging, warn
from sesameladder.node._worker_link import WORKER_LEASE_MS
from sesameladder.platform import (
    AdviceClient,
    NodeSettings,
    SettingsInvalid,
    StoreClient,
    VmClient,
    find_settings_path,
    read_settings,
)

SETTINGS_CHECK_S = 1.0  # a change without a signal is noticed within this time
READY_CUTOFF_S = 1.5  # one renewal without an answer; a cut is over within 6 s
CLOSE_SHARE = 0.5  # of the grace period, after which connections are closed
END_SHARE = 0.8  # of the grace period, after which the process ends
CLOSE_LIMIT_S = 0.5  # for the server's threads; all answers have been sent by then
EXIT_SETTINGS = 2


class NodeProcess:
    """All tasks of one process."""

    __slots__ = (
        "advice",
        "callers",
        "configuration",
        "draining",
        "fleet",
        "lock",
        "machines",
        "path",
        "pools",
        "probes",
        "registry",
        "reload",
        "roles",
        "settings",
        "stopping",
        "store",
    )

    def __init__(self, path: Path, settings: NodeSettings) -> None:
        self.path = path
        self.settings = settings
        self.store = StoreClient.from_address(settings.store_address)
        self.machines = VmClient(settings.vm_api_address)
        self.advice = (
            AdviceClient(settings.advice_address) if settings.advice_address else None
        )
        self.configuration = ConfigurationTask(self.store)
        self.roles = RoleTask(
            self.store,
            settings.node,
            self._list_roles,
            self._gain_role,
            self._lose_role,
        )
        self.registry = RegistryTask(
            self.store, lambda: bool(self.pools), self._pass_workers
        )
        self.callers = CallerServer(
            settings.client_address,
            settings.node,
            Intake(self.store, lambda: self.configuration.dependency.is_lost),
            lambda: self.configuration.current,
        )
        self.probes = ProbeServer(
            settings.readiness_address, self._is_ready, render_metrics
        )
        self.lock = Lock()
        self.pools: dict[str, PoolTask] = {}
        self.fleet: FleetTask | None = None
        self.draining = False
        self.stopping = Event()
        self.reload = Event()

    @classmethod
    def from_settings_file(cls, path: Path) -> "NodeProcess":
        """Return a process with the settings of a file; raises ``SettingsInvalid``."""
        return cls(path, read_settings(path))

    def run(self) -> None:
        """Serve until SIGTERM, then drain within the grace period."""
        signal.signal(signal.SIGTERM, lambda *_: self.stopping.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload.set())
        self.callers.prepare()
        self.probes.prepare()
        note("started", zone=self.settings.zone, python=sys.version.split()[0])
        Thread(target=self.callers.serve, name="callers", daemon=True).start()
        Thread(target=self.probes.serve, name="probes", daemon=True).start()
        self.configuration.start()
        self.roles.start()
        self.registry.start()
        text = self._read_text()
        while not self.stopping.wait(SETTINGS_CHECK_S):
            text = self._check_settings(text)
        self._drain()

    def _drain(self) -> None:
        """Hand over the roles at once, keep serving callers, then close."""
        started = read_steady()
        note("shutdown_started")
        self.draining = True
        self.registry.stop()
        self.roles.stop()
        grace_s = self.settings.shutdown_grace_s
        sleep(max(0.0, started + CLOSE_SHARE * grace_s - read_steady()))
        self.callers.closing = True
        sleep(max(0.0, started + END_SHARE * grace_s - read_steady()))
        closing = Thread(target=self.callers.stop, name="closing", daemon=True)
        closing.start()
        closing.join(CLOSE_LIMIT_S)
        self.configuration.stop()
        note("shutdown_finished", in_flight=self.callers.in_flight)

    def _is_ready(self) -> bool:
        if self.draining or self.configuration.current is None:
            return False
        # Callers are better off at a VM that reaches the store.
        return self.roles.is_confirmed(READY_CUTOFF_S)

    # Roles -----------------------------------------------------------------

    def _list_roles(self) -> list[str]:
        configuration = self.configuration.current
        if configuration is None:
            return []
        pools = sorted({queue.pool for queue in configuration.queues})
        return [*map(pool_role, pools), FLEET_ROLE]

    def _gain_role(self, held: HeldRole) -> None:
        with self.lock:
            if held.role == FLEET_ROLE:
                self.fleet = self._build_fleet(held)
                self.fleet.start()
                return
            task = self._build_pool(held)
            self.pools[held.role] = task
            task.start()
        self.registry.pass_now()

    def _lose_role(self, held: HeldRole) -> None:
        with self.lock:
            if held.role == FLEET_ROLE:
                if self.fleet is not None:
                    self.fleet.stop()
                return
            task = self.pools.pop(held.role, None)
        if task is not None:
            task.stop()

    def _build_pool(self, held: HeldRole) -> PoolTask:
        return PoolTask(
            held.role.removeprefix(POOL_ROLE_PREFIX),
            held,
            self.store,
            self.advice,
            min(WORKER_LEASE_MS, self.settings.max_lease_ms),
            self.settings.job_state_retention_s,
            self.roles.is_confirmed,
            self.roles.is_sure,
            lambda: self.roles.lease,
            lambda role, reason: self.roles.drop(role.role, role.fence, reason),
        )

    def _build_fleet(self, held: HeldRole) -> FleetTask:
        return FleetTask(
            held,
            self.settings.node,
            self.store,
            self.machines,
            self.settings.min_order_gap_ms / 1000,
            lambda: list(self.configuration.waves.values()),
            lambda: self.configuration.current,
            self.roles.is_sure,
        )

    def _pass_workers(self, records: list[WorkerRecord]) -> None:
        with self.lock:
            tasks = list(self.pools.values())
        for task in tasks:
            task.inbox.put(WorkersRead(records))

    # Settings --------------------------------------------------------------

    def _read_text(self) -> str:
        try:
            return self.path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            warn("settings_unreadable", error=str(error))
            return ""

    def _check_settings(self, known: str) -> str:
        """Take over changed settings; a file that is invalid changes nothing."""
        signalled = self.reload.is_set()
        self.reload.clear()
        text = self._read_text()
        if text == known and not signalled:
            return known
        try:
            self.settings = read_settings(self.path)
        except SettingsInvalid as error:
            warn("settings_refused", error=str(error), signalled=signalled)
            return text
        note("settings_reloaded", signalled=signalled, changed=text != known)
        return text


def main() -> int:
    """Run one process; returns its exit code when the settings are invalid."""
    path = find_settings_path()
    try:
        settings = read_settings(path)
    except SettingsInvalid as error:
        print(f"sesameladder-node: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    listener = start_logging(settings.node)
    try:
        NodeProcess(path, settings).run()
    finally:
        listener.stop()
    # Threads that wait for idle connections would hold up the interpreter's exit
    # beyond the grace period.
    sys.stdout.flush()
    os._exit(0)
