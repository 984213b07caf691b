"""Which peer is sent what, so that the bytes stay bounded."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from sesameladder.configuration._recent import RecentTicket
from sesameladder.configuration._rendezvous import rank_members
from sesameladder.configuration._replica import ConfigurationReplica
from sesameladder.configuration._transfers import Transfer, TransferRateLimiter

MAX_ZONE_PEERS = 12
MAX_REMOTE_PEERS = 4
# A relay has to be heard by every instance of its zone, 15 at the target size.
MAX_RELAY_ZONE_PEERS = 14
# Other zones get a relay's heartbeat in turn. With 14 zone peers, heartbeats of
# about 160 bytes and 5,900 tickets a day, two at once would exceed 3 KB/s.
RELAY_ZONES_PER_HEARTBEAT = 1
PEER_TIMEOUT_S = 3.0
# Longer than one turn over the 11 other zones of the target size.
REMOTE_RELAY_TIMEOUT_S = 30.0
# Instances of a zone that are told of a new number while its relay is unknown.
MAX_PEERS_WITHOUT_RELAY = 2
PULL_TIMEOUT_S = 0.5
# A larger ticket is only announced; peers pull it, each from one other peer.
MAX_PUSH_BYTES = 65_536


@dataclass(slots=True)
class PeerView:
    """What this instance knows about a peer."""

    zone: str
    """Name of the peer's zone."""

    number: int
    """Configuration number of the last heartbeat."""

    relay: bool
    """Whether the peer holds its zone's relay role."""

    heartbeat_at: float
    """Time of the last heartbeat, by the injected clock."""


@dataclass(frozen=True, slots=True)
class Pull:
    """A request for the tickets after a number."""

    peer: str
    """Instance to ask."""

    after: int
    """Number of this instance."""


@dataclass(frozen=True, slots=True)
class PeerRanking:
    """The configured instances as one instance ranks them."""

    zone_peers: tuple[str, ...] = ()
    """Other instances of the own zone, by rendezvous hash."""

    remote_peers: tuple[str, ...] = ()
    """Instances of other zones, by rendezvous hash."""

    peers_by_zone: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """Instances of each other zone, by rendezvous hash."""

    announced_zones: tuple[str, ...] = ()
    """Zones that a relay of the own zone tells of new numbers."""

    @classmethod
    def from_configured(
        cls, instance: str, zone: str, configured: Mapping[str, str]
    ) -> "PeerRanking":
        """Return the ranking of an instance; ``configured`` maps id to zone."""
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
    """Chooses receivers and contents of configuration messages.

    The caller reports heartbeats, sends what is returned and calls
    ``set_configured`` when the configured instances change. Not safe to
    share by threads.
    """

    __slots__ = (
        "clock",
        "highest_number",
        "instance",
        "peers",
        "pull_expires_at",
        "ranking",
        "rate_limiter",
        "relay",
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
        self.relay = False
        self.peers: dict[str, PeerView] = {}
        self.highest_number = 0
        self.pull_expires_at: float = 0.0
        self.rate_limiter = TransferRateLimiter(clock)
        self.ranking = PeerRanking()
        self.set_configured(configured)

    def set_configured(self, configured: Mapping[str, str]) -> None:
        """Take over the configured instances, a map of id to zone."""
        self.ranking = PeerRanking.from_configured(self.instance, self.zone, configured)

    def record_heartbeat(self, peer: str, zone: str, number: int, relay: bool) -> None:
        """Note a heartbeat; a late one doesn't lower the peer's number."""
        view = self.peers.get(peer)
        highest_number = max(number, view.number) if view else number
        self.peers[peer] = PeerView(zone, highest_number, relay, self.clock())
        self.highest_number = max(self.highest_number, number)

    def record_restart(self, peer: str) -> None:
        """Forget a peer whose incarnation changed; it may hold nothing."""
        self.peers.pop(peer, None)

    def zone_has_relay(self) -> bool:
        """Return whether this instance or a peer that is heard is its zone's relay."""
        return self.relay or self.find_relay(self.zone) is not None

    def find_relay(self, zone: str) -> str | None:
        """Return the relay of a zone that was heard last; None if none was."""
        limit = PEER_TIMEOUT_S if zone == self.zone else REMOTE_RELAY_TIMEOUT_S
        earliest = self.clock() - limit
        live_relays = [
            (view.heartbeat_at, peer)
            for peer, view in self.peers.items()
            if view.relay and view.zone == zone and view.heartbeat_at >= earliest
        ]
        return max(live_relays)[1] if live_relays else None

    def choose_heartbeat_peers(self) -> list[str]:
        """Return the peers that get a heartbeat now; called once a second.

        A relay reaches the other zones in turn, through their relays; any
        other instance reaches a few fixed peers of other zones.
        """
        if not self.relay:
            zone_peers = self.ranking.zone_peers[:MAX_ZONE_PEERS]
            return [*zone_peers, *self.ranking.remote_peers[:MAX_REMOTE_PEERS]]
        zone_peers = self.ranking.zone_peers[:MAX_RELAY_ZONE_PEERS]
        return [*zone_peers, *self._choose_remote_peers()]

    def choose_announce_peers(self, number: int) -> list[str]:
        """Return the peers that get a heartbeat at once after a new number.

        A relay tells the zones 1, 2, 4, 8 and so on places after its own, whose
        relays do the same, so that each tells few and several tell each; any
        other instance tells its relay. A peer that is behind pulls, so a
        ticket that all relays read is sent by none of them.
        """
        peers: list[str] = []
        for zone in self.ranking.announced_zones if self.relay else (self.zone,):
            relay = self.find_relay(zone)
            fallback_peers = self.ranking.peers_by_zone.get(zone, ())[
                :MAX_PEERS_WITHOUT_RELAY
            ]
            peers += [relay] if relay else fallback_peers
        return [peer for peer in peers if self._is_behind(peer, number)]

    def choose_pushes(
        self, replica: ConfigurationReplica
    ) -> list[tuple[str, RecentTicket]]:
        """Return what is sent at once after the replica moved forward.

        A relay sends the ticket to one half of its zone, and each of these
        instances forwards it to one instance of the other half, which halves
        the relay's bytes.
        """
        latest = replica.recent.tickets.get(replica.number)
        if latest is None or len(latest.raw) > MAX_PUSH_BYTES:
            return []
        if self.relay:
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
        """Return whom to ask for missing tickets; None if nobody is ahead.

        One pull is under way at a time, so that many heartbeats with a higher
        number cause one transfer.
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
        """Note that the pull under way was answered."""
        self.pull_expires_at = 0.0

    def answer_pull(self, after: int, replica: ConfigurationReplica) -> Transfer:
        """Return what a peer with a number is sent, within the byte allowance."""
        return self.rate_limiter.answer_pull(after, replica)

    def _choose_remote_peers(self) -> list[str]:
        zones = list(self.ranking.peers_by_zone)
        turn = int(self.clock())
        count = min(RELAY_ZONES_PER_HEARTBEAT, len(zones))
        chosen = [zones[(turn * count + i) % len(zones)] for i in range(count)]
        return [self._choose_remote_peer(zone, turn) for zone in chosen]

    def _choose_remote_peer(self, zone: str, turn: int) -> str:
        """Return a zone's relay, or one of its instances in turn to find it."""
        members = self.ranking.peers_by_zone[zone]
        return self.find_relay(zone) or members[turn % len(members)]

    def _find_forward_peers(self) -> tuple[str, ...]:
        """Return the zone member that this instance forwards tickets to."""
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
