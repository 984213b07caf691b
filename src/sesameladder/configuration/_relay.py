"""Choice of the peers that get configuration messages, within byte limits."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from sesameladder.configuration._recent import RecentTicket
from sesameladder.configuration._rendezvous import rank_members
from sesameladder.configuration._replica import ConfigurationReplica
from sesameladder.configuration._transfers import Transfer, TransferRateLimiter

MAX_ZONE_PEERS = 12
MAX_REMOTE_PEERS = 4
# A relay sends heartbeats to every other instance of its zone; the target size is
# 15 instances a zone.
MAX_RELAY_ZONE_PEERS = 14
# A relay sends heartbeats to the other zones in turn. With 14 zone peers, about 160
# bytes a heartbeat and 5,900 tickets a day, two zones at once would exceed 3 KB/s.
RELAY_ZONES_PER_HEARTBEAT = 1
PEER_TIMEOUT_S = 3.0
# Longer than a relay takes to reach the 11 other zones of the target size in turn.
REMOTE_RELAY_TIMEOUT_S = 30.0
# Peers of a zone that get the announcement of a number while its relay is unknown.
MAX_PEERS_WITHOUT_RELAY = 2
PULL_TIMEOUT_S = 0.5
# A larger ticket is only announced, and each peer pulls it from one other peer.
MAX_PUSH_BYTES = 65_536


@dataclass(slots=True)
class PeerView:
    """State of a peer according to its heartbeats."""

    zone: str
    """Name of the peer's zone."""

    number: int
    """Highest configuration number that the peer has reported."""

    is_relay: bool
    """Whether the peer holds its zone's relay role, by its last heartbeat."""

    heartbeat_at: float
    """Time of the last heartbeat on the injected clock, in seconds."""


@dataclass(frozen=True, slots=True)
class Pull:
    """A request to send to a peer for the tickets after a number."""

    peer: str
    """Instance that gets the request."""

    after: int
    """Configuration number of this instance."""


@dataclass(frozen=True, slots=True)
class PeerRanking:
    """The configured peers of an instance, ranked by rendezvous hash."""

    zone_peers: tuple[str, ...] = ()
    """Other instances of the own zone."""

    remote_peers: tuple[str, ...] = ()
    """Instances of all other zones."""

    peers_by_zone: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """Instances of each other zone, by zone."""

    announced_zones: tuple[str, ...] = ()
    """Zones to which a relay of the own zone announces new numbers."""

    @classmethod
    def from_configured(
        cls, instance: str, zone: str, configured: Mapping[str, str]
    ) -> "PeerRanking":
        """Return the ranking for an instance; ``configured`` maps id to zone."""
        ranked = rank_members(instance, (p for p in configured if p != instance))
        zone_peers = tuple(peer for peer in ranked if configured[peer] == zone)
        remote_peers = tuple(peer for peer in ranked if configured[peer] != zone)
        zones = sorted({configured[peer] for peer in remote_peers})
        peers_by_zone = {
            other: tuple(peer for peer in remote_peers if configured[peer] == other)
            for other in zones
        }
        return cls(
            zone_peers,
            remote_peers,
            peers_by_zone,
            _choose_announced_zones(zone, zones),
        )


def _choose_announced_zones(zone: str, others: list[str]) -> tuple[str, ...]:
    all_zones = sorted([zone, *others])
    own_index = all_zones.index(zone)
    offsets = [2**power for power in range(len(all_zones)) if 2**power < len(all_zones)]
    return tuple(all_zones[(own_index + offset) % len(all_zones)] for offset in offsets)


class RelayRules:
    """Chooses the receivers and contents of configuration messages.

    The caller records heartbeats, sends what the methods return and calls
    ``set_configured`` when the configured instances change. Not thread-safe.
    """

    __slots__ = (
        "clock",
        "highest_number",
        "instance",
        "is_relay",
        "peers",
        "pull_expires_at",
        "ranking",
        "rate_limiter",
        "zone",
    )

    def __init__(
        self,
        instance: str,
        zone: str,
        configured: Mapping[str, str],
        clock: Callable[[], float],
    ) -> None:
        self.instance = instance
        self.zone = zone
        self.clock = clock
        self.is_relay = False
        self.peers: dict[str, PeerView] = {}
        self.highest_number = 0
        self.pull_expires_at: float = 0.0
        self.rate_limiter = TransferRateLimiter(clock)
        self.ranking = PeerRanking()
        self.set_configured(configured)

    def set_configured(self, configured: Mapping[str, str]) -> None:
        """Replace the configured instances; ``configured`` maps id to zone."""
        self.ranking = PeerRanking.from_configured(self.instance, self.zone, configured)

    def record_heartbeat(
        self, peer: str, zone: str, number: int, is_relay: bool
    ) -> None:
        """Record a heartbeat; a late one doesn't lower the peer's number."""
        view = self.peers.get(peer)
        highest_number = max(number, view.number) if view else number
        self.peers[peer] = PeerView(zone, highest_number, is_relay, self.clock())
        self.highest_number = max(self.highest_number, number)

    def record_restart(self, peer: str) -> None:
        """Remove the state of a restarted peer, which may have no configuration."""
        self.peers.pop(peer, None)

    def zone_has_relay(self) -> bool:
        """Return whether this instance or a live peer is the relay of its zone."""
        return self.is_relay or self.find_relay(self.zone) is not None

    def find_relay(self, zone: str) -> str | None:
        """Return the relay of a zone with the latest heartbeat, or None.

        Heartbeats older than the timeout don't count.
        """
        limit = PEER_TIMEOUT_S if zone == self.zone else REMOTE_RELAY_TIMEOUT_S
        earliest = self.clock() - limit
        live_relays = [
            (view.heartbeat_at, peer)
            for peer, view in self.peers.items()
            if view.is_relay and view.zone == zone and view.heartbeat_at >= earliest
        ]
        return max(live_relays)[1] if live_relays else None

    def choose_heartbeat_peers(self) -> list[str]:
        """Return the peers that get a heartbeat now; to be called once a second.

        Each instance sends to fixed peers of its own zone, up to a limit. A relay
        also sends to one other zone at a time, to the relay there if it is known.
        Any other instance also sends to a few fixed peers of other zones.
        """
        if not self.is_relay:
            zone_peers = self.ranking.zone_peers[:MAX_ZONE_PEERS]
            return [*zone_peers, *self.ranking.remote_peers[:MAX_REMOTE_PEERS]]
        zone_peers = self.ranking.zone_peers[:MAX_RELAY_ZONE_PEERS]
        return [*zone_peers, *self._choose_remote_peers()]

    def choose_announce_peers(self, number: int) -> list[str]:
        """Return the peers that get a heartbeat immediately after a new number.

        A relay announces to the zones 1, 2, 4, 8 and so on places after its own
        in the sorted ring of zones, and their relays do the same. So each relay
        sends few announcements, and each zone gets several. Any other instance
        announces to its relay. The announcement has no ticket, since peers that
        lag behind pull it. So no relay sends a ticket to another zone if all relays
        have read it from the store.
        """
        peers: list[str] = []
        for zone in self.ranking.announced_zones if self.is_relay else (self.zone,):
            relay = self.find_relay(zone)
            fallback_peers = self.ranking.peers_by_zone.get(zone, ())[
                :MAX_PEERS_WITHOUT_RELAY
            ]
            peers += [relay] if relay else fallback_peers
        return [peer for peer in peers if self._is_behind(peer, number)]

    def choose_pushes(
        self, replica: ConfigurationReplica
    ) -> list[tuple[str, RecentTicket]]:
        """Return the peers and tickets to send when the replica's number has increased.

        A relay sends the ticket to half of its zone, and each of these instances
        forwards it to one instance of the other half. This halves the bytes
        that the relay sends.
        """
        latest = replica.recent.tickets.get(replica.number)
        if latest is None or len(latest.raw) > MAX_PUSH_BYTES:
            return []
        if self.is_relay:
            receivers = self.ranking.zone_peers[: -(-len(self.ranking.zone_peers) // 2)]
        else:
            receivers = self._find_forward_peers()
        behind = [peer for peer in receivers if self._is_behind(peer, latest.number)]
        return [
            (p, latest)
            for p in behind
            if self.rate_limiter.try_consume(len(latest.raw))
        ]

    def choose_pull(self, number: int) -> Pull | None:
        """Return a pull of missing tickets, or None if no live peer is ahead.

        Only one pull is in progress at a time, for up to ``PULL_TIMEOUT_S``, so
        that many heartbeats with a higher number cause one transfer.
        """
        now = self.clock()
        if number >= self.highest_number or now < self.pull_expires_at:
            return None
        ahead = [
            peer
            for peer, view in self.peers.items()
            if view.number > number and now - view.heartbeat_at <= PEER_TIMEOUT_S
        ]
        if not ahead:
            return None
        self.pull_expires_at = now + PULL_TIMEOUT_S
        zone_peers = [peer for peer in ahead if self.peers[peer].zone == self.zone]
        key = f"{self.instance}/{int(now / PULL_TIMEOUT_S)}"
        return Pull(rank_members(key, zone_peers or ahead)[0], number)

    def end_pull(self) -> None:
        """Record that the pull in progress was answered."""
        self.pull_expires_at = 0.0

    def answer_pull(self, after: int, replica: ConfigurationReplica) -> Transfer:
        """Return the response to a pull of the tickets after a number."""
        return self.rate_limiter.answer_pull(after, replica)

    def _choose_remote_peers(self) -> list[str]:
        zones = list(self.ranking.peers_by_zone)
        turn = int(self.clock())
        count = min(RELAY_ZONES_PER_HEARTBEAT, len(zones))
        chosen = [zones[(turn * count + i) % len(zones)] for i in range(count)]
        return [self._choose_remote_peer(zone, turn) for zone in chosen]

    def _choose_remote_peer(self, zone: str, turn: int) -> str:
        """Return a zone's relay; while it is unknown, one of its instances in turn."""
        members = self.ranking.peers_by_zone[zone]
        return self.find_relay(zone) or members[turn % len(members)]

    def _find_forward_peers(self) -> tuple[str, ...]:
        """Return the instance that this one forwards tickets to, if there is one."""
        relay = self.find_relay(self.zone)
        if relay is None:
            return ()
        members = (*self.ranking.zone_peers, self.instance)
        ranked = rank_members(relay, (peer for peer in members if peer != relay))
        partner_index = ranked.index(self.instance) + -(-len(ranked) // 2)
        return tuple(ranked[partner_index : partner_index + 1])

    def _is_behind(self, peer: str, number: int) -> bool:
        view = self.peers.get(peer)
        return view is None or view.number < number
