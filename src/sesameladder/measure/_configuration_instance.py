"""Simulated entry instances that use the configuration replica and relay rules."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from random import Random

from sesameladder.configuration import (
    Applied,
    ConfigurationReplica,
    PollSchedule,
    RecentTicket,
    RelayRules,
    SendTickets,
)
from sesameladder.measure._configuration_network import (
    FakeTicketStore,
    Layout,
    Network,
    Timeline,
)
from sesameladder.peering import (
    Envelope,
    Heartbeat,
    Message,
    PullConfiguration,
    TicketItem,
    Tickets,
    encode_envelope,
)
from sesameladder.tickets import Ticket

HEARTBEAT_S = 1.0
FRAME_HEADER_BYTES = 4
# A relay reads the VM list and renews its lease with each heartbeat.
RELAY_CALLS_PER_HEARTBEAT = 2
# A relay renews each of its two watches after this time without a change.
WATCHES_PER_RELAY = 2
WATCH_TIMEOUT_S = 10.0


@dataclass(slots=True)
class FakeDeployment:
    """All instances of a layout with their network and store."""

    layout: Layout
    """Zones, instances and link delays."""

    random: Random
    """Random source of heartbeat phases and response times."""

    timeline: Timeline = field(default_factory=Timeline)
    """Clock and event queue."""

    instances: dict[str, "FakeInstance"] = field(default_factory=dict)
    """Instances by id."""

    applied_at: dict[int, dict[str, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    """Time at which a ticket was applied, by ticket number and instance id."""

    network: Network = field(init=False)
    """Network between the zones."""

    store: FakeTicketStore = field(init=False)
    """Store of the first region."""

    def __post_init__(self) -> None:
        regions = dict(self.layout.list_zones())
        self.network = Network(self.timeline, self.layout, regions)
        self.store = FakeTicketStore(self.timeline, self.random)
        configured = self.layout.list_instances()
        relays = {zone: name for name, zone in reversed(configured.items())}
        for name, zone in configured.items():
            instance = FakeInstance(self, name, zone, configured)
            instance.rules.is_relay = relays[zone] == name
            self.instances[name] = instance
            instance.start()
        self.store.watchers += [
            self.instances[name].receive_head
            for zone, name in relays.items()
            if regions[zone] == 0
        ]


class FakeInstance:
    """An entry instance, reduced to the distribution of configuration changes."""

    __slots__ = (
        "deployment",
        "last_watch_at",
        "name",
        "replica",
        "rules",
        "schedule",
        "silent_until",
        "zone",
    )

    def __init__(
        self,
        deployment: FakeDeployment,
        name: str,
        zone: str,
        configured: dict[str, str],
    ) -> None:
        clock = deployment.timeline.clock
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.replica = ConfigurationReplica()
        self.rules = RelayRules(name, zone, configured, clock)
        self.schedule = PollSchedule(clock, Random(deployment.random.random()))
        self.silent_until = 0.0
        self.last_watch_at = 0.0

    def start(self) -> None:
        """Start heartbeats and polls at a random phase."""
        phase = self.deployment.random.uniform(0.0, HEARTBEAT_S)
        self.deployment.timeline.schedule(phase, self.send_heartbeats)
        self.deployment.timeline.schedule(phase, self.poll_if_due)

    def send_heartbeats(self) -> None:
        """Send the heartbeats of one interval and schedule the next."""
        self.deployment.timeline.schedule(HEARTBEAT_S, self.send_heartbeats)
        if self._is_silent():
            return
        if self.rules.is_relay:
            self.schedule.record_relay_seen()
            self._count_relay_calls()
        for peer in self.rules.choose_heartbeat_peers():
            self.send_heartbeat(peer)

    def poll_if_due(self) -> None:
        """Poll the store if the poll schedule is due, and schedule the next check."""
        now = self.deployment.timeline.now
        if self.schedule.is_due() and not self._is_silent():
            self.deployment.store.read_head(self.name, self.receive_poll)
            self.schedule.record_success()
        pause = max(self.schedule.due_at - now, 0.01)
        self.deployment.timeline.schedule(pause, self.poll_if_due)

    def receive_poll(self, head: Ticket | None) -> None:
        """Apply the response to a poll."""
        if head is None:
            self.schedule.record_failure()
        else:
            self._offer(head)

    def receive_head(self, head: Ticket) -> None:
        """Apply the ticket of a watch and count the call that renews the watch."""
        if not self._is_silent():
            self.deployment.store.calls[self.name] += 1
            self._offer(head)

    def send_heartbeat(self, peer: str) -> None:
        """Send a heartbeat to a peer."""
        receiver = self.deployment.instances[peer]
        number, relay = self.replica.number, self.rules.is_relay
        heartbeat = Heartbeat(self.zone, 0, 0, False, relay, 0)
        self._send(
            receiver,
            compute_frame_bytes(self.name, heartbeat),
            lambda: receiver.receive_heartbeat(self, number, relay),
        )

    def receive_heartbeat(
        self, sender: "FakeInstance", number: int, relay: bool
    ) -> None:
        """Record a heartbeat and pull missing tickets from a peer."""
        if self._is_silent():
            return
        self.rules.record_heartbeat(sender.name, sender.zone, number, relay)
        if relay and sender.zone == self.zone:
            self.schedule.record_relay_seen()
        pull = self.rules.choose_pull(self.replica.number)
        if pull is None:
            return
        peer = self.deployment.instances[pull.peer]
        size = compute_frame_bytes(self.name, PullConfiguration(0))
        self._send(peer, size, lambda: peer.receive_pull(self, pull.after))

    def receive_pull(self, sender: "FakeInstance", after: int) -> None:
        """Send a peer the tickets that it requested."""
        transfer = self.rules.answer_pull(after, self.replica)
        if not self._is_silent() and isinstance(transfer, SendTickets):
            self.send_tickets(sender, transfer.tickets)

    def send_tickets(
        self, receiver: "FakeInstance", tickets: tuple[RecentTicket, ...]
    ) -> None:
        """Send tickets to a peer."""
        items = tuple(TicketItem(t.number, t.digest, t.raw) for t in tickets)
        size = compute_frame_bytes(self.name, Tickets(items))
        self._send(receiver, size, lambda: receiver.receive_tickets(tickets))

    def receive_tickets(self, tickets: tuple[RecentTicket, ...]) -> None:
        """Apply tickets received from a peer."""
        if self._is_silent():
            return
        self.rules.end_pull()
        for ticket in tickets:
            self._offer(Ticket.from_bytes(ticket.raw))

    def _offer(self, ticket: Ticket) -> None:
        outcome = self.replica.offer_ticket(ticket.number, ticket, ticket.digest)
        if not isinstance(outcome, Applied):
            return
        now = self.deployment.timeline.now
        self.deployment.applied_at[ticket.number][self.name] = now
        for peer, recent in self.rules.choose_pushes(self.replica):
            self.send_tickets(self.deployment.instances[peer], (recent,))
        for peer in self.rules.choose_announce_peers(ticket.number):
            self.send_heartbeat(peer)

    def _send(
        self, receiver: "FakeInstance", size: int, event: Callable[[], None]
    ) -> None:
        zones = (self.zone, receiver.zone)
        self.deployment.network.send(self.name, zones, size, event)

    def _is_silent(self) -> bool:
        return self.deployment.timeline.now < self.silent_until

    def _count_relay_calls(self) -> None:
        calls = self.deployment.store.calls
        calls[self.name] += RELAY_CALLS_PER_HEARTBEAT
        now = self.deployment.timeline.now
        if now - self.last_watch_at >= WATCH_TIMEOUT_S:
            self.last_watch_at = now
            calls[self.name] += WATCHES_PER_RELAY


@lru_cache(maxsize=4096)
def compute_frame_bytes(sender: str, message: Message) -> int:
    """Return the size of an encoded message in bytes, with its frame header."""
    envelope = Envelope(sender, 2**40, 0, False, message)
    return FRAME_HEADER_BYTES + len(encode_envelope("target-size", envelope))
