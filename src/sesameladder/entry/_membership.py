"""Heartbeats between entry instances and the set of live peers."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from threading import Event, Lock, Thread

from sesameladder.configuration import rank_members
from sesameladder.entry._configuration_task import ConfigurationTask
from sesameladder.entry._view import FleetView
from sesameladder.peering import Heartbeat, PeerIdentity, Peers

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 3.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Last heartbeat of a peer."""

    identity: PeerIdentity
    """Instance and incarnation that sent the heartbeat."""

    heartbeat: Heartbeat
    """Content of the heartbeat."""

    received_at: float
    """Monotonic time in seconds at which the heartbeat arrived."""


class Membership:
    """Sends heartbeats and records the last one of each peer.

    A peer is live if its last heartbeat is at most ``HEARTBEAT_TIMEOUT_S`` old.
    """

    __slots__ = (
        "clock",
        "configuration",
        "draining",
        "lock",
        "on_new_incarnation",
        "peer_statuses",
        "peers",
        "stopping",
        "view",
        "zone",
    )

    def __init__(
        self,
        peers: Peers,
        view: FleetView,
        configuration: ConfigurationTask,
        zone: str,
        clock: Callable[[], float],
        on_new_incarnation: Callable[[PeerIdentity], None],
    ) -> None:
        self.peers = peers
        self.view = view
        self.configuration = configuration
        self.zone = zone
        self.clock = clock
        self.on_new_incarnation = on_new_incarnation
        self.draining = False
        self.peer_statuses: dict[str, PeerStatus] = {}
        self.lock = Lock()
        self.stopping = Event()

    def start(self) -> None:
        """Start the thread that sends heartbeats."""
        Thread(target=self._run, name="membership", daemon=True).start()

    def stop(self) -> None:
        """Stop the thread that sends heartbeats."""
        self.stopping.set()

    def record_heartbeat(self, sender: PeerIdentity, heartbeat: Heartbeat) -> None:
        """Record a heartbeat and call ``on_new_incarnation`` once per restart.

        Heartbeats of an earlier incarnation are ignored.
        """
        with self.lock:
            known = self.peer_statuses.get(sender.instance)
            if known is not None and known.identity.incarnation > sender.incarnation:
                return
            self.peer_statuses[sender.instance] = PeerStatus(
                sender, heartbeat, self.clock()
            )
        if known is not None and known.identity != sender:
            self.on_new_incarnation(sender)

    def list_live_peers(self) -> list[PeerStatus]:
        """Return the status of the live peers."""
        received_since = self.clock() - HEARTBEAT_TIMEOUT_S
        with self.lock:
            return [
                peer
                for peer in self.peer_statuses.values()
                if peer.received_at >= received_since
            ]

    def find_live_peer(self, instance: str) -> PeerStatus | None:
        """Return the status of a peer, or None if it is not live."""
        peers = {peer.identity.instance: peer for peer in self.list_live_peers()}
        return peers.get(instance)

    def choose_zone_peer(self) -> PeerIdentity | None:
        """Return a live peer of the zone that is not draining, or None.

        Each instance ranks its peers in a different order, so that the choices
        are spread over the zone.
        """
        candidates = {
            peer.identity.instance: peer.identity
            for peer in self.list_live_peers()
            if peer.heartbeat.zone == self.zone and not peer.heartbeat.draining
        }
        ranked = rank_members(self.peers.identity.instance, list(candidates))
        return candidates[ranked[0]] if ranked else None

    def dump(self) -> dict[str, object]:
        """Return the age of each peer's last heartbeat as JSON-ready data."""
        now = self.clock()
        with self.lock:
            peer_statuses = dict(self.peer_statuses)
        return {
            instance: {
                "age_s": round(now - peer.received_at, 3),
                "incarnation": peer.identity.incarnation,
                "configuration_number": peer.heartbeat.configuration_number,
                "draining": peer.heartbeat.draining,
                "relay": peer.heartbeat.relay,
            }
            for instance, peer in peer_statuses.items()
        }

    def _run(self) -> None:
        while True:
            self.send_heartbeats()
            if self.stopping.wait(HEARTBEAT_INTERVAL_S):
                return

    def send_heartbeats(self) -> None:
        """Send one heartbeat to each peer that the configuration task selected."""
        self.announce(self.configuration.heartbeat_peers)

    def announce(self, peers: list[str]) -> None:
        """Send one heartbeat to each of the given peers."""
        heartbeat = Heartbeat(
            zone=self.zone,
            configuration_number=self.view.state.number,
            plan_version=self.view.plan.version if self.view.plan else 0,
            draining=self.draining,
            relay=self.configuration.rules.is_relay,
            vm_list_sequence=self.view.vm_list_sequence,
        )
        for instance in peers:
            self.peers.send(instance, heartbeat)
