"""A small deployment on loopback in one process, for the demo and measurements."""

import json
import socket
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace

from urllib3 import PoolManager, Retry, Timeout

from sesameladder.entry import EntryProcess
from sesameladder.environment import PlatformClient
from sesameladder.measure._load_generator import EntryEndpoint
from sesameladder.model import Link, Region
from sesameladder.settings import (
    EntrySettings,
    InstanceSettings,
    PlatformStandinSettings,
    UpstreamSettings,
    UpstreamStandinSettings,
    VmRow,
)
from sesameladder.standins.platform import PlatformStandin
from sesameladder.standins.upstream import UpstreamStandin
from sesameladder.tickets import (
    FilingOutcome,
    NotFiled,
    TicketLog,
    TicketLogError,
    parse_ticket,
)

ENTRIES_PER_ZONE = 3
POLL_INTERVAL_S = 0.05
STOP_THREADS = 16
VMS_PER_POOL = 6
WORKERS_PER_RACK = 4
FIRST_TICKET_BUDGET = {"min_available": 4, "max_unavailable": 1, "survive": "rack"}
REBOOT_MS = 500


@dataclass(frozen=True, slots=True)
class DeploymentSpec:
    """Names and link delay of a deployment."""

    deployment: str
    """Name of the deployment."""

    region: str
    """Name of the region."""

    zones: tuple[str, ...]
    """Names of the availability zones."""

    link_delay_ms: float
    """One-way delay between two zones in milliseconds."""

    pools: tuple[str, ...]
    """Names of the pools; the last is the spare pool."""

    teams: tuple[str, ...]
    """Names of the teams."""


DEPLOYMENT_SPECS = {
    "coral-strand": DeploymentSpec(
        "coral-strand",
        "queensland",
        ("qld-a", "qld-b", "qld-c"),
        0.5,
        ("scalp-maps", "base-caps", "colour-blends", "orders", "clinic-desk"),
        ("chair", "workshop"),
    ),
    "pfennigblatt": DeploymentSpec(
        "pfennigblatt",
        "bavaria",
        ("by-a", "by-b", "by-c"),
        1.5,
        ("issuance", "redemption", "catalogue", "settlement", "staff-tools"),
        ("schools", "bookshops"),
    ),
}


@dataclass(slots=True)
class Deployment:
    """Stand-ins and entry instances that communicate over loopback sockets."""

    spec: DeploymentSpec
    """Names and link delay."""

    platform: PlatformStandin
    """Platform stand-in."""

    upstreams: dict[str, UpstreamStandin]
    """Upstream stand-ins by VM name."""

    entries: dict[str, EntryProcess]
    """Entry instances that were started, by id."""

    instances: tuple[InstanceSettings, ...]
    """Zones and addresses of all entry instances."""

    vms: dict[str, dict[str, object]]
    """VMs by name, in the format of tickets."""

    http: PoolManager = field(
        default_factory=lambda: PoolManager(
            maxsize=64,
            timeout=Timeout(connect=1.0, read=60.0),
            retries=Retry(0, redirect=0),
        )
    )
    """HTTP client that controls stand-ins and sends single requests."""

    @classmethod
    def create(cls, spec: DeploymentSpec) -> "Deployment":
        """Start the stand-ins; return a deployment without running entry instances."""
        upstreams = _start_upstreams(spec)
        vms = _build_vms(spec, upstreams)
        instances = _build_instances(spec)
        platform = _start_platform(instances, vms)
        return cls(spec, platform, upstreams, {}, instances, vms)

    def start_entries(self) -> None:
        """Start all entry instances."""
        for item in self.instances:
            self.start_entry(item.instance)

    def start_entry(self, instance: str) -> EntryProcess:
        """Start an entry instance without any stored state."""
        process = EntryProcess(self._build_settings(instance))
        process.start()
        self.entries[instance] = process
        return process

    def stop(self) -> None:
        """Stop all entry instances and stand-ins without draining."""
        with ThreadPoolExecutor(STOP_THREADS) as executor:
            for entry in self.list_running():
                executor.submit(entry.kill)
            for upstream in self.upstreams.values():
                executor.submit(upstream.stop)
        self.platform.stop()

    def open_platform_client(self) -> PlatformClient:
        """Return a platform client like that of the operators' command."""
        zone = self.spec.zones[0]
        return PlatformClient.from_address(self.platform.address, zone)

    def file_ticket(self, content: dict[str, object]) -> FilingOutcome:
        """File a ticket with the next number."""
        log = TicketLog(self.open_platform_client())
        try:
            number = log.read_head().number + 1
        except TicketLogError as error:
            return NotFiled(str(error))
        ticket = {"author": "demo", "reason": "demo", "number": number, **content}
        return log.file_ticket(parse_ticket(json.dumps(ticket).encode()))

    def build_first_ticket(self) -> dict[str, object]:
        """Return the content of the ticket with all pools, VMs, budgets and teams."""
        spec = self.spec
        spare = spec.pools[-1]
        return {
            "pools": {
                pool: {"service": pool, "floor_slots": 24, "spare": pool == spare}
                for pool in spec.pools
            },
            "vms": self.vms,
            "budgets": dict.fromkeys(spec.pools, FIRST_TICKET_BUDGET),
            "teams": {
                team: {"weight": 1, "share_cap": 1.0, "urgent_allowed": True}
                for team in spec.teams
            },
        }

    def wait_for(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Wait until a condition holds; return False at the time limit."""
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() >= end:
                return False
            time.sleep(POLL_INTERVAL_S)
        return True

    def list_running(self) -> list[EntryProcess]:
        """Return the running entry instances."""
        return [e for e in self.entries.values() if not e.stopped.is_set()]

    def list_endpoints(self) -> list[EntryEndpoint]:
        """Return the instances that have a plan and are not draining."""
        return [
            EntryEndpoint(entry.settings.instance, entry.settings.http_address)
            for entry in self.list_running()
            if not entry.front_end.draining and entry.view.plan is not None
        ]

    def read_head_number(self) -> int:
        """Return the number of the latest accepted ticket."""
        return TicketLog(self.open_platform_client()).read_head().number

    def set_platform_fault(self, fault: dict[str, object]) -> None:
        """Inject a fault into the platform stand-in."""
        url = f"http://{self.platform.address}/faults"
        self.http.request("POST", url, json=fault)

    def partition_zone(self, zone: str) -> None:
        """Separate a zone from the platform and the other zones."""
        self.set_platform_fault({"mode": "cut", "zones": [zone]})
        others = frozenset(self.spec.zones) - {zone}
        for entry in self.list_running():
            is_inside = entry.settings.zone == zone
            entry.peers.blocked_zones = others if is_inside else frozenset({zone})

    def end_partition(self, zone: str) -> None:
        """Reconnect a zone after ``partition_zone``."""
        self.set_platform_fault({"mode": "up", "zones": [zone]})
        for entry in self.list_running():
            entry.peers.blocked_zones = frozenset()

    def is_serving(self, entry: EntryProcess) -> bool:
        """Return whether an entry instance serves a request to each pool."""
        url = f"http://{entry.settings.http_address}/pools"
        statuses = [
            self.http.request("GET", f"{url}/{pool}/preview").status
            for pool in self.spec.pools
        ]
        return all(status == 200 for status in statuses)

    def _build_settings(self, instance: str) -> EntrySettings:
        spec = self.spec
        item = next(item for item in self.instances if item.instance == instance)
        http_port = int(item.admin_address.rpartition(":")[2]) - 1
        return EntrySettings(
            deployment=spec.deployment,
            region=spec.region,
            zone=item.zone,
            instance=instance,
            http_address=f"127.0.0.1:{http_port}",
            admin_address=item.admin_address,
            peer_address=item.peer_address,
            platform_address=self.platform.address,
            regions=(Region(spec.region, spec.zones),),
            links=_build_links(spec),
            instances=self.instances,
            http_threads=32,
            drain_delay_ms=200,
            shutdown_limit_s=30,
        )


def _start_upstreams(spec: DeploymentSpec) -> dict[str, UpstreamStandin]:
    names = [f"{pool}-{index}" for pool in spec.pools for index in range(VMS_PER_POOL)]
    settings = UpstreamStandinSettings(
        upstreams=tuple(UpstreamSettings(name, "127.0.0.1:0") for name in names),
        reboot_ms=REBOOT_MS,
    )
    standins = {
        upstream.name: UpstreamStandin(upstream, settings)
        for upstream in settings.upstreams
    }
    for standin in standins.values():
        standin.start()
    return standins


def _build_vms(
    spec: DeploymentSpec, upstreams: dict[str, UpstreamStandin]
) -> dict[str, dict[str, object]]:
    """Distribute each pool evenly over the zones, with up to four VMs to a rack."""
    vms_per_zone: dict[str, int] = {}
    vms: dict[str, dict[str, object]] = {}
    for name, standin in upstreams.items():
        pool, _, index = name.rpartition("-")
        zone = spec.zones[int(index) % len(spec.zones)]
        rack = vms_per_zone.get(zone, 0) // WORKERS_PER_RACK
        vms_per_zone[zone] = vms_per_zone.get(zone, 0) + 1
        vms[name] = {
            "pool": pool,
            "zone": zone,
            "rack": f"{zone}-rack-{rack}",
            "address": standin.address,
            "slots": 8,
            "connections": 64,
        }
    return vms


def _build_instances(spec: DeploymentSpec) -> tuple[InstanceSettings, ...]:
    instances = []
    for zone in spec.zones:
        for index in range(ENTRIES_PER_ZONE):
            admin_port = _reserve_ports()
            instances.append(
                InstanceSettings(
                    f"{zone}-entry-{index}",
                    zone,
                    f"127.0.0.1:{admin_port + 1}",
                    f"127.0.0.1:{admin_port}",
                )
            )
    return tuple(instances)


def _reserve_ports() -> int:
    """Reserve three adjacent free ports and return the middle one."""
    while True:
        with socket.create_server(("127.0.0.1", 0)) as middle:
            port = int(middle.getsockname()[1])
            try:
                for neighbour in (port - 1, port + 1):
                    socket.create_server(("127.0.0.1", neighbour)).close()
            except OSError:
                continue
            if port not in _reserved and not {port - 1, port + 1} & _reserved:
                _reserved.update((port - 1, port, port + 1))
                return port


_reserved: set[int] = set()


def _start_platform(
    instances: tuple[InstanceSettings, ...], vms: dict[str, dict[str, object]]
) -> PlatformStandin:
    rows = [
        VmRow(item.instance, item.zone, item.admin_address, "entry")
        for item in instances
    ]
    rows += [
        VmRow(name, str(vm["zone"]), str(vm["address"]), "upstream")
        for name, vm in vms.items()
    ]
    settings = PlatformStandinSettings(address="127.0.0.1:0")
    platform = PlatformStandin(replace(settings, vms=tuple(rows)))
    platform.start()
    return platform


def _build_links(spec: DeploymentSpec) -> tuple[Link, ...]:
    zones = spec.zones
    return tuple(
        Link(first, second, spec.link_delay_ms)
        for index, first in enumerate(zones)
        for second in zones[index + 1 :]
    )
