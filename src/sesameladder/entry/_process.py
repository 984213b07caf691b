"""Construction, start and shutdown of the components of an entry instance."""

import logging
import time
from collections.abc import Callable
from pathlib import Path
from random import Random, SystemRandom
from threading import Event, Thread

from sesameladder.entry._admin import AdminEndpoint
from sesameladder.entry._configuration_messages import PeerRestarted
from sesameladder.entry._configuration_task import ConfigurationTask
from sesameladder.entry._dispatch_messages import InstanceGone, ViewChanged
from sesameladder.entry._dispatch_task import DispatchTask
from sesameladder.entry._front_end import FrontEnd
from sesameladder.entry._grant_client import GrantClient
from sesameladder.entry._held_grants import HeldGrants
from sesameladder.entry._membership import Membership
from sesameladder.entry._planner_task import PlannerTask
from sesameladder.entry._relay_task import RelayTask
from sesameladder.entry._request import CallerRequest
from sesameladder.entry._request_path import RequestPath
from sesameladder.entry._router import Router
from sesameladder.entry._task_keeper import TaskKeeper
from sesameladder.entry._task_messages import Stop
from sesameladder.entry._token_path import TokenPath
from sesameladder.entry._upstream import UpstreamClient
from sesameladder.entry._view import FleetView
from sesameladder.environment import HttpWorkerTasks, PlatformClient
from sesameladder.idempotency import (
    ClaimBinder,
    HomeTable,
    Outcome,
    TokenIssuer,
    WitnessTable,
)
from sesameladder.observability import Metric, Metrics, StateDump, log_event
from sesameladder.peering import (
    PeerAddress,
    PeerIdentity,
    PeeringError,
    Peers,
    TokenHandOver,
)
from sesameladder.settings import EntrySettings

# Defaults of a VM in the configuration.
DEFAULT_WORKER_CONNECTIONS = 64
DEFAULT_WORKER_SLOTS = 8
TOKEN_HAND_OVER_TIMEOUT_S = 2.0
# Without a planner or store no instance takes over the cells. Callers are then
# served by the dispatchers of other availability zones.
CELL_HAND_OVER_LIMIT_S = 8.0
SHUTDOWN_POLL_INTERVAL_S = 0.1
INCARNATION_RANDOM_BITS = 10

logger = logging.getLogger(__name__)


def draw_incarnation() -> int:
    """Return an incarnation that is higher than those of earlier processes.

    It consists of the wall clock time in microseconds and, as low bits,
    ``INCARNATION_RANDOM_BITS`` random bits.
    """
    microseconds = time.time_ns() // 1000
    random_bits = SystemRandom().getrandbits(INCARNATION_RANDOM_BITS)
    return (microseconds << INCARNATION_RANDOM_BITS) | random_bits


class EntryProcess:
    """One entry instance; creates all components and connects them."""

    __slots__ = (
        "admin",
        "configuration",
        "dispatch",
        "front_end",
        "held_grants",
        "membership",
        "metrics",
        "peers",
        "planner",
        "platform",
        "random",
        "relay",
        "request_path",
        "router",
        "settings",
        "state_dump",
        "stopped",
        "task_keeper",
        "token_path",
        "upstream",
        "view",
        "worker_tasks",
    )

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.stopped = Event()
        self.random = Random(SystemRandom().getrandbits(64))
        self.metrics = Metrics.from_settings(settings.statsd)
        self.platform = PlatformClient.from_address(
            settings.platform_address, settings.zone
        )
        self.platform.on_call_finished = self._count_platform_call
        self.worker_tasks = HttpWorkerTasks.create()
        self.view = FleetView(settings.region)
        self._build_peers()
        self._build_control_tasks()
        self._build_request_path()
        self._build_endpoints()
        self.state_dump = StateDump()
        self._register_dump()
        self._connect_components()

    def _build_peers(self) -> None:
        settings = self.settings
        identity = PeerIdentity(settings.instance, draw_incarnation())
        self.router = Router(identity, settings.http_threads, time.monotonic)
        addresses = [
            PeerAddress(item.instance, item.zone, item.peer_address)
            for item in settings.instances
        ]
        self.peers = Peers(
            settings.deployment,
            identity,
            addresses,
            self.router,
            lambda cause: self.metrics.count(Metric.CONNECTIONS_REFUSED, cause),
        )

    def _build_control_tasks(self) -> None:
        settings = self.settings
        clock = time.monotonic
        self.configuration = ConfigurationTask(
            self.peers, self.view, settings.zone, clock, self.metrics
        )
        self.membership = Membership(
            self.peers,
            self.view,
            self.configuration,
            settings.zone,
            clock,
            self._handle_new_incarnation,
        )
        self.dispatch = DispatchTask(
            self.peers, self.view, self.worker_tasks, clock, self.random, self.metrics
        )
        self.relay = RelayTask(
            self.configuration,
            self.platform,
            settings.region,
            settings.zone,
            clock,
            self.random,
        )
        self.planner = PlannerTask(
            self.peers,
            self.view,
            self.configuration,
            self.membership,
            self.platform,
            self.worker_tasks,
            _list_region_zones(settings),
            clock,
            self.random,
            self.metrics,
        )

    def _build_request_path(self) -> None:
        settings = self.settings
        clock = time.monotonic
        identity = self.peers.identity
        self.held_grants = HeldGrants()
        zones = _order_zones(settings)
        grant_client = GrantClient(
            self.peers, self.view, self.held_grants, zones, clock, self.metrics
        )
        self.task_keeper = TaskKeeper(grant_client, self.worker_tasks, clock)
        self.upstream = UpstreamClient(_compute_idle_connection_limit(settings))
        self.request_path = RequestPath(
            grant_client,
            self.upstream,
            self.task_keeper,
            clock,
            time.sleep,
            self.random,
        )
        self.token_path = TokenPath(
            self.peers,
            self.membership,
            self.request_path,
            ClaimBinder(self.platform),
            HomeTable(identity.instance, identity.incarnation),
            WitnessTable(identity.instance, identity.incarnation),
            TokenIssuer(identity.instance, identity.incarnation),
            clock,
        )

    def _build_endpoints(self) -> None:
        settings = self.settings
        self.front_end = FrontEnd(
            settings.http_address,
            settings.http_threads,
            f"{settings.instance}-{self.peers.identity.incarnation:x}",
            settings.max_body_bytes,
            settings.request_timeout_ms,
            self._serve,
            lambda: self.token_path.issue().to_text(),
            lambda: self.view.plan is not None,
            self.metrics,
        )
        self.admin = AdminEndpoint(
            settings.admin_address,
            self.read_status,
            self.read_dump,
            self._block_zones if settings.fault_injection else None,
            self.metrics,
        )

    @classmethod
    def from_file(cls, path: Path) -> "EntryProcess":
        """Return a process with the settings in a file, not started yet.

        Raises ``SettingsInvalid``.
        """
        return cls(EntrySettings.from_file(path))

    def start(self) -> None:
        """Bind all addresses and start all tasks.

        Raises ``OSError`` if an address can't be bound.
        """
        self.front_end.prepare()
        self.admin.prepare()
        self.peers.start()
        self.configuration.start()
        self.dispatch.start()
        self.membership.start()
        self.relay.start()
        self.planner.start()
        self.task_keeper.start()
        Thread(target=self.admin.serve, name="admin", daemon=True).start()
        Thread(target=self.front_end.serve, name="front-end", daemon=True).start()
        log_event(logger, logging.INFO, "started")

    def shut_down(self) -> bool:
        """Stop gracefully; return False if requests or grants remain at the limit.

        The limit is ``shutdown_limit_s`` of the settings.
        """
        log_event(logger, logging.INFO, "shutdown_started")
        deadline = time.monotonic() + self.settings.shutdown_limit_s
        self.front_end.start_draining()
        self.membership.draining = True
        self.dispatch.draining = True
        self.membership.send_heartbeats()
        self.planner.stop()
        # The load balancer needs this time to notice that the health check fails.
        time.sleep(self.settings.drain_delay_ms / 1000)
        self._wait_for_hand_over(deadline)
        finished = self.front_end.wait_until_idle(deadline - time.monotonic())
        finished = self._wait_for_grants(deadline) and finished
        self.front_end.stop()
        self._hand_over_tokens()
        self._stop_tasks()
        log_event(logger, logging.INFO, "shutdown_finished", clean=finished)
        return finished

    def kill(self) -> None:
        """Stop immediately, as if the VM was lost; for tests in one process."""
        self.relay.stopping.set()
        self.planner.stopping.set()
        self.membership.stop()
        self.peers.stop()
        self.dispatch.post(Stop())
        self.configuration.post(Stop())
        self.task_keeper.stop()
        self.front_end.stop(0)
        self.admin.stop()
        self.stopped.set()

    def read_status(self) -> dict[str, object]:
        """Return the status that the operators' client shows for an instance."""
        plan = self.view.plan
        return {
            "instance": self.settings.instance,
            "incarnation": self.peers.identity.incarnation,
            "zone": self.settings.zone,
            "configuration_number": self.view.state.number,
            "plan_version": plan.version if plan else 0,
            "behind_since": self.configuration.behind_since,
            "draining": self.membership.draining,
            "cells": sorted(self.dispatch.cells),
            "relay": self.relay.holds_role,
            "planner": self.planner.holds_role,
        }

    def read_dump(self) -> dict[str, object]:
        """Return the state of all components without waiting for a busy one."""
        return self.state_dump.collect()

    def _register_dump(self) -> None:
        dump_readers: dict[str, Callable[[], object]] = {
            "status": self.read_status,
            "configuration": self.configuration.dump,
            "membership": self.membership.dump,
            "cells": self.dispatch.dump,
            "planner": self.planner.dump,
            "home": self.token_path.home_table.dump,
            "witness": self.token_path.witness_table.dump,
            "requests": lambda: {"in_flight": self.front_end.in_flight},
            "grants": self.held_grants.dump,
        }
        for name, read in dump_readers.items():
            self.state_dump.register(name, read)

    def _connect_components(self) -> None:
        self.router.configuration = self.configuration
        self.router.dispatch = self.dispatch
        self.router.held_grants = self.held_grants
        self.router.task_keeper = self.task_keeper
        self.router.membership = self.membership
        self.router.token_path = self.token_path
        self.configuration.announce = self.membership.announce
        self.view.listeners.append(lambda: self.dispatch.post(ViewChanged()))

    def _serve(self, request: CallerRequest) -> Outcome:
        deadline = time.monotonic() + request.deadline_ms / 1000
        if request.idempotency_key:
            return self.token_path.serve(request, deadline)
        return self.request_path.execute(request, deadline)

    def _count_platform_call(self, method: str, failed: bool) -> None:
        self.metrics.count(Metric.PLATFORM_CALLS, method)
        if failed:
            self.metrics.count(Metric.PLATFORM_ERRORS, method)

    def _handle_new_incarnation(self, peer: PeerIdentity) -> None:
        self.dispatch.post(InstanceGone(peer.instance, peer.incarnation - 1))
        self.configuration.post(PeerRestarted(peer.instance))

    def _block_zones(self, zones: frozenset[str]) -> None:
        self.peers.blocked_zones = zones

    def _wait_for_hand_over(self, deadline: float) -> None:
        """Wait until other instances have taken over this instance's cells.

        Returns earlier if no peer is live, and at the latest after
        ``CELL_HAND_OVER_LIMIT_S`` or at the deadline.
        """
        wait_until = min(deadline, time.monotonic() + CELL_HAND_OVER_LIMIT_S)
        while self.dispatch.cells or self.dispatch.unconfirmed_hand_overs:
            if time.monotonic() >= wait_until or not self.membership.list_live_peers():
                return
            time.sleep(SHUTDOWN_POLL_INTERVAL_S)

    def _wait_for_grants(self, deadline: float) -> bool:
        while self.held_grants.list_held():
            if time.monotonic() >= deadline:
                return False
            time.sleep(SHUTDOWN_POLL_INTERVAL_S)
        return True

    def _hand_over_tokens(self) -> None:
        peer = self.membership.choose_zone_peer()
        if peer is None:
            return
        identity = self.peers.identity
        for chunk in self.token_path.home_table.export_chunks():
            message = TokenHandOver(identity.instance, identity.incarnation, chunk)
            try:
                self.peers.call(peer.instance, message, TOKEN_HAND_OVER_TIMEOUT_S)
            except PeeringError as error:
                log_event(
                    logger, logging.WARNING, "token_hand_over_failed", reason=str(error)
                )
                return

    def _stop_tasks(self) -> None:
        self.relay.stop()
        self.membership.stop()
        self.task_keeper.stop()
        self.router.stop()
        self.dispatch.post(Stop())
        self.configuration.post(Stop())
        self.peers.stop()
        self.admin.stop()
        self.upstream.close()
        self.stopped.set()


def _list_region_zones(settings: EntrySettings) -> tuple[str, ...]:
    for region in settings.regions:
        if region.name == settings.region:
            return region.zones
    return (settings.zone,)


def _order_zones(settings: EntrySettings) -> list[str]:
    """Return the region's zones: the own zone first, then by link delay."""
    delays = {settings.zone: -1.0}
    for link in settings.links:
        link_zones = (link.first_zone, link.second_zone)
        if settings.zone in link_zones:
            other_zone = (
                link_zones[0] if link_zones[1] == settings.zone else link_zones[1]
            )
            delays[other_zone] = link.delay_ms
    zones = _list_region_zones(settings)
    return sorted(zones, key=lambda zone: (delays.get(zone, float("inf")), zone))


def _compute_idle_connection_limit(settings: EntrySettings) -> int:
    """Return the number of idle connections that an instance keeps per worker.

    The region's instances share the worker's connections that exceed its slots.
    """
    region_zones = _list_region_zones(settings)
    region_instances = [
        item for item in settings.instances if item.zone in region_zones
    ]
    return (DEFAULT_WORKER_CONNECTIONS - DEFAULT_WORKER_SLOTS) // max(
        1, len(region_instances)
    )
