"""Which peer is sent what, so that the bytes stay bounded."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from sesameladder.configuration._recent import RecentTicket
from sesameladder.configuration._rendezvous import rank_members
from sesameladder.configuration._replica import ConfigurationReplica

MAX_ZONE_PEERS = 12
MAX_REMOTE_PEERS = 4
PEER_SILENCE_S = 3.0
PULL_TIMEOUT_S = 0.5
# A frame holds 2 MiB; the rest is room for the envelope.
MAX_TRANSFER_BYTES = 1_500_000
# A larger ticket is only announced; peers pull it, each from one other peer.
MAX_PUSH_BYTES = 65_536
TRANSFER_BURST_BYTES = 8_000_000
TRANSFER_BYTES_PER_S = 2_000


@dataclass(slots=True)
class PeerView:
    """What this instance knows about a peer."""

    zone: str
    """Name of the peer's zone."""

    number: int
    """Configuration number of the last heartbeat."""

    relay: bool
    """Whether the peer holds its zone's relay role."""

    heard_at: float
    """Time of the last heartbeat, by the injected clock."""


@dataclass(frozen=True, slots=True)
class SendTickets:
    """Tickets to send; more may follow after the last one."""

    tickets: tuple[RecentTicket, ...]
    """Consecutive tickets; empty when the peer has all."""


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """A folded state to send."""

    number: int
    """Number of the state."""

    state_bytes: bytes
    """Byte form of the state."""


@dataclass(frozen=True, slots=True)
class Declined:
    """Nothing to send, since the byte allowance is used up."""

    retry_after_s: float
    """Seconds after which the allowance suffices."""


Transfer = SendTickets | SendSnapshot | Declined


@dataclass(frozen=True, slots=True)
class Pull:
    """A request for the tickets after a number."""

    peer: str
    """Instance to ask."""

    after: int
    """Number of this instance."""


class RelayRules:
    """Chooses receivers and contents of configuration messages.

    The caller reports heartbeats and sends what is returned. Not safe to
    share by threads.
    """

    __slots__ = (
        "allowance",
        "clock",
        "filled_at",
        "instance",
        "peers",
        "pull_until",
        "relay",
        "zone",
    )

    def __init__(self, instance: str, zone: str, clock: Callable[[], float]) -> None:
        self.instance = instance
        self.zone = zone
        self.clock = clock
        self.relay = False
        self.peers: dict[str, PeerView] = {}
        self.pull_until: float = 0.0
        self.allowance: float = TRANSFER_BURST_BYTES
        self.filled_at = clock()

    def note_heartbeat(self, peer: str, zone: str, number: int, relay: bool) -> None:
        """Note a heartbeat; a late one doesn't lower the peer's number."""
        known = self.peers.get(peer)
        highest = max(number, known.number) if known else number
        self.peers[peer] = PeerView(zone, highest, relay, self.clock())

    def note_restart(self, peer: str) -> None:
        """Forget a peer whose incarnation changed; it may hold nothing."""
        self.peers.pop(peer, None)

    def hears_relay(self) -> bool:
        """Return whether this instance or a peer that is heard is its zone's relay."""
        return self.relay or any(
            view.relay and view.zone == self.zone and self._is_heard(view)
            for view in self.peers.values()
        )

    def choose_heartbeat_peers(self, configured: Mapping[str, str]) -> list[str]:
        """Return the peers that get a heartbeat; ``configured`` maps id to zone.

        A relay reaches the other zones through their relays, any other
        instance through a few peers of other zones.
        """
        others = [peer for peer in configured if peer != self.instance]
        near = [peer for peer in others if configured[peer] == self.zone]
        far = [peer for peer in others if configured[peer] != self.zone]
        chosen = rank_members(self.instance, near)[:MAX_ZONE_PEERS]
        relays = self._list_relays() if self.relay else []
        spare = max(0, MAX_REMOTE_PEERS - len(relays))
        rest = [peer for peer in far if peer not in relays]
        return chosen + relays + rank_members(self.instance, rest)[:spare]

    def plan_push(
        self, replica: ConfigurationReplica, configured: Mapping[str, str]
    ) -> list[tuple[str, RecentTicket]]:
        """Return what a relay sends at once after its replica moved forward."""
        latest = replica.recent.tickets.get(replica.number)
        if not self.relay or latest is None or len(latest.raw) > MAX_PUSH_BYTES:
            return []
        near = [peer for peer, zone in configured.items() if zone == self.zone]
        receivers = [peer for peer in near if peer != self.instance]
        receivers += self._list_relays()
        behind = [peer for peer in receivers if self._is_behind(peer, latest.number)]
        return [(peer, latest) for peer in behind if self._take(len(latest.raw))]

    def choose_pull(self, number: int) -> Pull | None:
        """Return whom to ask for missing tickets; None if nobody is ahead.

        One pull is under way at a time, so that many heartbeats with a higher
        number cause one transfer.
        """
        now = self.clock()
        ahead = [
            peer
            for peer, view in self.peers.items()
            if view.number > number and self._is_heard(view)
        ]
        if not ahead or now < self.pull_until:
            return None
        self.pull_until = now + PULL_TIMEOUT_S
        near = [peer for peer in ahead if self.peers[peer].zone == self.zone]
        key = f"{self.instance}/{int(now / PULL_TIMEOUT_S)}"
        return Pull(rank_members(key, near or ahead)[0], number)

    def end_pull(self) -> None:
        """Note that the pull under way was answered."""
        self.pull_until = 0.0

    def answer_pull(self, after: int, replica: ConfigurationReplica) -> Transfer:
        """Return what a peer with a number is sent, within the byte allowance."""
        tickets = replica.tickets_after(after)
        if tickets is None:
            return self._answer_with_snapshot(replica)
        chosen: list[RecentTicket] = []
        size = 0
        for ticket in tickets:
            size += len(ticket.raw)
            if chosen and size > MAX_TRANSFER_BYTES:
                break
            if not self._take(len(ticket.raw)):
                break
            chosen.append(ticket)
        if tickets and not chosen:
            return self._decline(len(tickets[0].raw))
        return SendTickets(tuple(chosen))

    def _answer_with_snapshot(self, replica: ConfigurationReplica) -> Transfer:
        state_bytes = replica.build_snapshot()
        if not self._take(len(state_bytes)):
            return self._decline(len(state_bytes))
        return SendSnapshot(replica.number, state_bytes)

    def _list_relays(self) -> list[str]:
        return sorted(
            peer
            for peer, view in self.peers.items()
            if view.relay and view.zone != self.zone and self._is_heard(view)
        )

    def _is_heard(self, view: PeerView) -> bool:
        return self.clock() - view.heard_at <= PEER_SILENCE_S

    def _is_behind(self, peer: str, number: int) -> bool:
        view = self.peers.get(peer)
        return view is None or view.number < number

    def _take(self, size: int) -> bool:
        self._refill()
        if size > self.allowance:
            return False
        self.allowance -= size
        return True

    def _decline(self, size: int) -> Declined:
        return Declined((size - self.allowance) / TRANSFER_BYTES_PER_S)

    def _refill(self) -> None:
        now = self.clock()
        gained = (now - self.filled_at) * TRANSFER_BYTES_PER_S
        self.allowance = min(TRANSFER_BURST_BYTES, self.allowance + gained)
        self.filled_at = now
