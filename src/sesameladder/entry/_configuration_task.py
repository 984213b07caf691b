"""The task that updates the configuration replica, the plan and the VM list."""

import logging
from collections.abc import Callable
from functools import singledispatchmethod
from queue import SimpleQueue
from threading import Thread
from time import time

from sesameladder.configuration import (
    Applied,
    ConfigurationReplica,
    Conflicting,
    Gap,
    Malformed,
    OfferOutcome,
    RateLimited,
    RelayRules,
    SendTickets,
)
from sesameladder.entry._configuration_messages import (
    ConfigurationMessage,
    PeerRestarted,
    PlanRead,
    PullFinished,
    RelayRoleChanged,
    SnapshotRead,
    TicketsRead,
    VmListRead,
)
from sesameladder.entry._inbox import run_inbox
from sesameladder.entry._task_messages import PeerMessage
from sesameladder.entry._view import FleetView
from sesameladder.environment import VmState
from sesameladder.observability import Metric, Metrics, log_event
from sesameladder.peering import (
    Failure,
    Heartbeat,
    Message,
    PeerIdentity,
    Peers,
    PlanUpdate,
    PullConfiguration,
    PullPlan,
    SendReply,
    Snapshot,
    TicketItem,
    Tickets,
    VmItem,
    VmListUpdate,
)
from sesameladder.planning import PlanMalformed, RegionPlan

STEP_INTERVAL_S = 0.25

logger = logging.getLogger(__name__)


class ConfigurationTask:
    """Applies configuration, plans and VM lists, and passes them on to peers.

    ``rules`` is not thread-safe. Other tasks read its results from
    ``heartbeat_peers`` and ``zone_has_relay``, which are replaced after each step.
    ``behind_since`` is the wall clock time in seconds since which the replica is
    known to lack tickets, or 0.
    """

    __slots__ = (
        "announce",
        "behind_since",
        "heartbeat_peers",
        "inbox",
        "metrics",
        "peers",
        "plan_bytes",
        "plan_pull_peer",
        "replica",
        "rules",
        "view",
        "zone_has_relay",
        "zones_by_instance",
    )

    def __init__(
        self,
        peers: Peers,
        view: FleetView,
        zone: str,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.metrics = metrics
        self.peers = peers
        self.view = view
        self.zones_by_instance = {
            address.instance: address.zone for address in peers.addresses.values()
        }
        self.replica = ConfigurationReplica()
        self.rules = RelayRules(
            peers.identity.instance, zone, self.zones_by_instance, clock
        )
        self.plan_bytes = b""
        self.plan_pull_peer = ""
        self.announce: Callable[[list[str]], None] = _announce_to_nobody
        self.behind_since = 0.0
        self.zone_has_relay = False
        self.heartbeat_peers = self.rules.choose_heartbeat_peers()
        self.inbox: SimpleQueue[ConfigurationMessage] = SimpleQueue()

    def start(self) -> None:
        """Start the thread of the task."""
        Thread(target=self._run, name="configuration", daemon=True).start()

    def post(self, message: ConfigurationMessage) -> None:
        """Add a message to the inbox; may be called from any thread."""
        self.inbox.put(message)

    def dump(self) -> dict[str, object]:
        """Return the numbers of replica, plan and VM list as JSON-ready data."""
        plan = self.view.plan
        return {
            "replica": self.replica.dump(),
            "plan_version": plan.version if plan else 0,
            "vm_list_sequence": self.view.vm_list_sequence,
            "behind_since": self.behind_since,
            "relay": self.rules.is_relay,
        }

    def _run(self) -> None:
        run_inbox(
            self.inbox, lambda: STEP_INTERVAL_S, self._step, "configuration_error"
        )

    def _step(self, message: ConfigurationMessage | None) -> None:
        if message is not None:
            self._handle(message)
        self._pull_if_behind()
        self._publish_rule_results()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unexpected message {message!r}")

    @_handle.register
    def _(self, message: PeerMessage) -> None:
        self._handle_peer_message(message.message, message.sender, message.reply)

    @_handle.register
    def _(self, message: PullFinished) -> None:
        self.rules.end_pull()
        answer = message.answer
        if isinstance(answer, Tickets | Snapshot | PlanUpdate):
            self._handle_peer_message(answer, self.peers.identity, _discard_reply)

    @_handle.register
    def _(self, message: TicketsRead) -> None:
        for ticket in message.tickets:
            self._handle_offer_outcome(
                self.replica.offer_ticket(ticket.number, ticket, ticket.digest)
            )

    @_handle.register
    def _(self, message: SnapshotRead) -> None:
        self._handle_offer_outcome(
            self.replica.offer_snapshot(message.number, message.data)
        )

    @_handle.register
    def _(self, message: RelayRoleChanged) -> None:
        self.rules.is_relay = message.holds_role

    @_handle.register
    def _(self, message: PeerRestarted) -> None:
        self.rules.record_restart(message.instance)

    @_handle.register
    def _(self, message: PlanRead) -> None:
        self._offer_plan(message.data)

    @_handle.register
    def _(self, message: VmListRead) -> None:
        # Live VMs are omitted, because with 1000 VMs in a zone a complete list
        # takes 80 KB for each receiver and change.
        items = tuple(
            VmItem(row.name, row.zone, row.state.value, row.changed_at)
            for row in message.rows
            if row.state is not VmState.LIVE
        )
        states = {item.name: VmState(item.state) for item in items}
        if states == self.view.vm_states:
            return
        # The sequence also increases if this relay's clock is behind that of the
        # previous relay; otherwise the receivers would ignore the list.
        sequence = max(int(time() * 1000), self.view.vm_list_sequence + 1)
        self._apply_vm_list(VmListUpdate(sequence, items))
        for instance in self._list_push_receivers():
            self.peers.send(instance, VmListUpdate(sequence, items))

    @singledispatchmethod
    def _handle_peer_message(
        self, message: object, sender: PeerIdentity, reply: SendReply
    ) -> None:
        del sender
        reply(Failure(f"unexpected message {type(message).__name__}"))

    @_handle_peer_message.register
    def _(self, message: Heartbeat, sender: PeerIdentity, reply: SendReply) -> None:
        del reply
        self.rules.record_heartbeat(
            sender.instance, message.zone, message.configuration_number, message.relay
        )
        if message.plan_version > self._plan_version():
            self.plan_pull_peer = sender.instance

    @_handle_peer_message.register
    def _(self, message: Tickets, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        for item in message.items:
            outcome = self.replica.offer_bytes(item.number, item.data, item.digest)
            self._handle_offer_outcome(outcome)
            if isinstance(outcome, Gap):
                self.behind_since = self.behind_since or time()

    @_handle_peer_message.register
    def _(self, message: Snapshot, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        self._handle_offer_outcome(
            self.replica.offer_snapshot(message.number, message.data, message.digest)
        )

    @_handle_peer_message.register
    def _(self, message: PlanUpdate, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        if message.region == self.view.region and message.data:
            self._offer_plan(message.data)

    @_handle_peer_message.register
    def _(self, message: VmListUpdate, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        self._apply_vm_list(message)

    @_handle_peer_message.register
    def _(
        self, message: PullConfiguration, sender: PeerIdentity, reply: SendReply
    ) -> None:
        del sender
        transfer = self.rules.answer_pull(message.after, self.replica)
        if isinstance(transfer, RateLimited):
            reply(Failure("the byte allowance is used up"))
        elif isinstance(transfer, SendTickets):
            items = tuple(
                TicketItem(ticket.number, ticket.digest, ticket.raw)
                for ticket in transfer.tickets
            )
            reply(Tickets(items))
        else:
            reply(Snapshot(transfer.number, transfer.digest, transfer.state_bytes))

    @_handle_peer_message.register
    def _(self, message: PullPlan, sender: PeerIdentity, reply: SendReply) -> None:
        del sender
        version = self._plan_version()
        has_newer_plan = message.region == self.view.region and version > message.after
        data = self.plan_bytes if has_newer_plan else b""
        reply(PlanUpdate(self.view.region, version, data))

    def _handle_offer_outcome(self, outcome: OfferOutcome) -> None:
        if isinstance(outcome, Applied):
            self._publish_configuration()
        elif isinstance(outcome, Conflicting | Malformed):
            log_event(logger, logging.ERROR, "ticket_refused", reason=outcome.reason)

    def _publish_configuration(self) -> None:
        self.view.state = self.replica.state
        self.metrics.set_gauge(Metric.CONFIGURATION_NUMBER, self.replica.number)
        self.behind_since = 0.0
        log_event(
            logger, logging.INFO, "configuration_applied", ticket=self.replica.number
        )
        for instance, ticket in self.rules.choose_pushes(self.replica):
            item = TicketItem(ticket.number, ticket.digest, ticket.raw)
            self.peers.send(instance, Tickets((item,)))
        self.announce(self.rules.choose_announce_peers(self.replica.number))
        self.view.notify()

    def _offer_plan(self, data: bytes) -> None:
        try:
            plan = RegionPlan.from_bytes(data)
        except PlanMalformed as error:
            log_event(logger, logging.ERROR, "plan_refused", reason=str(error))
            return
        if plan.region != self.view.region or plan.version <= self._plan_version():
            return
        self.view.plan = plan
        self.metrics.set_gauge(Metric.PLAN_VERSION, plan.version)
        self.plan_bytes = data
        update = PlanUpdate(plan.region, plan.version, data)
        for instance in self._list_push_receivers():
            self.peers.send(instance, update)
        self.view.notify()

    def _list_push_receivers(self) -> list[str]:
        """Return the peers to push plans and VM lists to.

        These are the peers of the zone if this instance is its relay, else none.
        """
        if not self.rules.is_relay:
            return []
        return list(self.rules.ranking.zone_peers)

    def _apply_vm_list(self, update: VmListUpdate) -> None:
        if update.sequence <= self.view.vm_list_sequence:
            return
        try:
            states = {item.name: VmState(item.state) for item in update.items}
        except ValueError as error:
            log_event(logger, logging.ERROR, "vm_list_refused", reason=str(error))
            return
        self.view.vm_states = states
        self.view.vm_list_sequence = update.sequence
        self.view.notify()

    def _publish_rule_results(self) -> None:
        self.zone_has_relay = self.rules.zone_has_relay()
        self.heartbeat_peers = self.rules.choose_heartbeat_peers()

    def _plan_version(self) -> int:
        return self.view.plan.version if self.view.plan else 0

    def _pull_if_behind(self) -> None:
        pull = self.rules.choose_pull(self.replica.number)
        if pull is not None:
            self.behind_since = self.behind_since or time()
            self._send_pull(pull.peer, PullConfiguration(pull.after))
        if self.plan_pull_peer:
            peer = self.plan_pull_peer
            self.plan_pull_peer = ""
            self._send_pull(peer, PullPlan(self.view.region, self._plan_version()))

    def _send_pull(self, peer: str, message: Message) -> None:
        future = self.peers.request(peer, message)
        future.add_done_callback(
            lambda finished: self.post(
                PullFinished(None if finished.exception() else finished.result())
            )
        )


def _announce_to_nobody(_peers: list[str]) -> None:
    """Do nothing; the default until the membership component is connected."""


def _discard_reply(_message: Message) -> None:
    """Discard a reply that no peer waits for."""
