"""One cell that this instance dispatches, with the polls of its forwarders."""

from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass, field
from random import Random

from sesameladder.dispatch import (
    Decision,
    Demand,
    Dispatcher,
    DispatcherConfig,
    Granted,
    GrantOutcome,
    LeavingSource,
    OutcomeKind,
    OutstandingGrant,
    Preempt,
    Refused,
    Throttle,
    WorkerSpec,
)
from sesameladder.entry._view import FleetView
from sesameladder.environment import VmState
from sesameladder.model import Pool
from sesameladder.peering import (
    GrantAnswer,
    GrantItem,
    GrantPoll,
    Message,
    PeerIdentity,
    PreemptOrder,
    SendReply,
    ThrottleOrder,
)
from sesameladder.planning import Phase

POLL_WAIT_S = 0.5
DEMAND_POLL_TIMEOUT_S = 2.0
RECONCILE_MIN_AGE_S = 2.0

SendMessage = Callable[[str, Message], None]


@dataclass(slots=True)
class WaitingPoll:
    """Latest poll of a demand that is neither granted nor refused yet."""

    sender: PeerIdentity
    """Forwarder that sent the poll."""

    reply: SendReply | None
    """Callback that answers the poll, or None after the answer ``waiting``."""

    answer_by: float
    """Monotonic time in seconds at which the poll is answered with ``waiting``."""

    polled_at: float
    """Monotonic time in seconds at which the poll arrived."""


@dataclass(slots=True)
class CellRuntime:
    """A cell's dispatcher and the peers that wait for its decisions.

    It is not thread-safe; only the dispatch task uses it. All times are
    monotonic and in seconds.
    """

    pool: str
    """Pool of the cell."""

    zone: str
    """Availability zone of the cell."""

    epoch: int
    """Epoch of the dispatcher row under which this instance dispatches."""

    dispatcher: Dispatcher
    """Decides which demands get which slots."""

    send_message: SendMessage
    """Sends a message to the instance with the given id."""

    polls: dict[str, WaitingPoll] = field(default_factory=dict)
    """Latest polls of waiting demands by demand id."""

    grant_answers: dict[str, GrantAnswer] = field(default_factory=dict)
    """Answers with outstanding grants by demand id, for repeated polls."""

    grant_holders: dict[str, tuple[PeerIdentity, str]] = field(default_factory=dict)
    """Forwarder and demand id of each outstanding grant by grant id."""

    granted_at: dict[str, float] = field(default_factory=dict)
    """Monotonic time in seconds of each outstanding grant by grant id."""

    applied_plan_version: int = 0
    """Version of the plan that the dispatcher applied last."""

    @classmethod
    def create(
        cls,
        pool: Pool,
        zone: str,
        epoch: int,
        random: Random,
        grant_prefix: str,
        send_message: SendMessage,
    ) -> "CellRuntime":
        """Return a cell whose dispatcher grants nothing before its recovery."""
        dispatcher = Dispatcher(
            DispatcherConfig.from_pool(pool), random, f"{grant_prefix}{epoch}-"
        )
        return cls(pool.name, zone, epoch, dispatcher, send_message)

    def apply_view(self, view: FleetView, now: float) -> None:
        """Apply the current configuration, plan and VM list to the dispatcher."""
        if view.plan is None:
            return
        self.dispatcher.update_teams(view.state.teams)
        if self.pool in view.state.pools:
            self.dispatcher.update_limits(view.state.pools[self.pool])
        rows = [
            row
            for row in view.plan.rows.values()
            if row.pool == self.pool and self._is_in_zone(view, row.vm)
        ]
        self.dispatcher.update_workers(
            [_build_worker_spec(view, row.vm) for row in rows], now
        )
        for row in rows:
            self._set_leaving_mark(
                row.vm, LeavingSource.PLAN, row.phase is Phase.SERVING, now
            )
            state = view.vm_states.get(row.vm, VmState.LIVE)
            self._set_leaving_mark(
                row.vm, LeavingSource.VM_LIST, state is VmState.LIVE, now
            )
        self.applied_plan_version = view.plan.version

    def poll(
        self, sender: PeerIdentity, poll: GrantPoll, reply: SendReply, now: float
    ) -> None:
        """Submit a demand, or record that its forwarder still waits.

        If the demand already has a grant, that grant is sent again.
        """
        grant_answer = self.grant_answers.get(poll.demand_id)
        if grant_answer is not None:
            reply(grant_answer)
            return
        self.polls[poll.demand_id] = WaitingPoll(sender, reply, now + POLL_WAIT_S, now)
        outcome = self.dispatcher.submit(_build_demand(sender, poll, now), now)
        if isinstance(outcome, Refused):
            self._deliver_refusal(outcome)

    def release(self, grant_id: str, outcome: GrantOutcome, now: float) -> None:
        """Release a grant; a repeated release has no effect."""
        self.dispatcher.release(grant_id, outcome, now)
        self._remove_grant(grant_id)

    def cancel(self, demand_id: str, now: float) -> None:
        """Cancel a waiting demand, or release its grant as unused."""
        self.polls.pop(demand_id, None)
        self.dispatcher.cancel(demand_id, now)
        grant_answer = self.grant_answers.get(demand_id)
        if grant_answer is not None:
            self.release(grant_answer.grant_id, GrantOutcome(OutcomeKind.UNUSED), now)

    def request_checkpoints(self, vm: str) -> None:
        """Order the forwarders to checkpoint the checkpointable work on a VM."""
        for grant in self.dispatcher.outstanding_grants():
            if grant.vm == vm and grant.checkpointable:
                self._send_order(Preempt(grant.grant_id, vm))

    def advance(self, now: float) -> None:
        """Apply the dispatcher's decisions and answer polls that are due.

        A demand that was not polled for ``DEMAND_POLL_TIMEOUT_S`` is cancelled.
        """
        for decision in self.dispatcher.poll(now):
            self._apply_decision(decision, now)
        for demand_id, poll in list(self.polls.items()):
            if poll.reply is not None and now >= poll.answer_by:
                poll.reply(GrantAnswer("waiting", demand_id))
                poll.reply = None
            elif now - poll.polled_at > DEMAND_POLL_TIMEOUT_S:
                self.cancel(demand_id, now)

    def next_wakeup(self, now: float) -> float:
        """Return the next monotonic time at which ``advance`` has work."""
        wakeup_times = [poll.answer_by for poll in self.polls.values() if poll.reply]
        decision_at = self.dispatcher.next_wakeup(now)
        if decision_at is not None:
            wakeup_times.append(decision_at)
        return min(wakeup_times, default=now + POLL_WAIT_S)

    def list_grants_to_reconcile(self, now: float) -> dict[PeerIdentity, set[str]]:
        """Return the ids of the grants to ask each forwarder about.

        These are the grants older than ``RECONCILE_MIN_AGE_S``.
        """
        self._remove_ended_grants()
        grants_by_forwarder: dict[PeerIdentity, set[str]] = {}
        for grant_id, (forwarder, _) in self.grant_holders.items():
            if now - self.granted_at[grant_id] > RECONCILE_MIN_AGE_S:
                grants_by_forwarder.setdefault(forwarder, set()).add(grant_id)
        return grants_by_forwarder

    def reconcile_grants(
        self,
        forwarder: PeerIdentity,
        held_grant_ids: Set[str],
        demand_ids: Iterable[str],
        queried_grant_ids: Iterable[str],
        now: float,
    ) -> None:
        """Release the queried grants that a forwarder does not hold.

        A grant whose demand still waits at the forwarder is kept; the next poll of
        the demand receives it again. The slot of a grant to an earlier incarnation
        of the forwarder is freed after one task lease, since its task may still run.
        """
        self.dispatcher.mark_forwarder_gone(
            forwarder.instance, forwarder.incarnation - 1, now
        )
        waiting_demand_ids = set(demand_ids)
        for grant_id in set(queried_grant_ids) - held_grant_ids:
            holder, demand_id = self.grant_holders.get(grant_id, (None, ""))
            if holder == forwarder and demand_id not in waiting_demand_ids:
                self.release(grant_id, GrantOutcome(OutcomeKind.UNUSED), now)

    def adopt_grants(
        self, forwarder: PeerIdentity, items: Iterable[GrantItem], now: float
    ) -> None:
        """Adopt the grants that a forwarder reports."""
        reported = [_build_outstanding_grant(forwarder, item) for item in items]
        self.dispatcher.recover(reported, now)
        for item in items:
            self.grant_holders.setdefault(item.grant_id, (forwarder, item.demand_id))
            self.granted_at.setdefault(item.grant_id, now)

    def _is_in_zone(self, view: FleetView, vm: str) -> bool:
        configured = view.state.vms.get(vm)
        return configured is not None and configured.zone == self.zone

    def _set_leaving_mark(
        self, vm: str, source: LeavingSource, serving: bool, now: float
    ) -> None:
        if serving:
            self.dispatcher.mark_serving(vm, source, now)
        else:
            self.dispatcher.mark_leaving(vm, source, now)

    def _apply_decision(self, decision: Decision, now: float) -> None:
        if isinstance(decision, Granted):
            self._deliver_grant(decision, now)
        elif isinstance(decision, Refused):
            self._deliver_refusal(decision)
        else:
            self._send_order(decision)

    def _deliver_grant(self, decision: Granted, now: float) -> None:
        poll = self.polls.pop(decision.demand_id, None)
        if poll is None:
            unused = GrantOutcome(OutcomeKind.UNUSED)
            self.dispatcher.release(decision.grant_id, unused, now)
            return
        answer = GrantAnswer(
            "granted",
            decision.demand_id,
            decision.grant_id,
            decision.vm,
            decision.rack,
            decision.address,
        )
        self.grant_answers[decision.demand_id] = answer
        self.grant_holders[decision.grant_id] = (poll.sender, decision.demand_id)
        self.granted_at[decision.grant_id] = now
        if poll.reply is not None:
            poll.reply(answer)

    def _deliver_refusal(self, refused: Refused) -> None:
        poll = self.polls.pop(refused.demand_id, None)
        if poll is not None and poll.reply is not None:
            poll.reply(
                GrantAnswer(
                    "refused",
                    refused.demand_id,
                    reason=refused.reason.value,
                    retry_after_s=refused.retry_after_s,
                )
            )

    def _send_order(self, order: Preempt | Throttle) -> None:
        holder = self.grant_holders.get(order.grant_id)
        if holder is None:
            return
        message: Message = (
            PreemptOrder(order.grant_id, order.vm)
            if isinstance(order, Preempt)
            else ThrottleOrder(order.grant_id, order.vm, order.share)
        )
        self.send_message(holder[0].instance, message)

    def _remove_ended_grants(self) -> None:
        """Remove grants that the dispatcher no longer has, such as freed ones."""
        outstanding = {grant.grant_id for grant in self.dispatcher.outstanding_grants()}
        for grant_id in self.grant_holders.keys() - outstanding:
            self._remove_grant(grant_id)

    def _remove_grant(self, grant_id: str) -> None:
        self.granted_at.pop(grant_id, None)
        holder = self.grant_holders.pop(grant_id, None)
        if holder is not None:
            self.grant_answers.pop(holder[1], None)


def _build_demand(sender: PeerIdentity, poll: GrantPoll, now: float) -> Demand:
    return Demand(
        demand_id=poll.demand_id,
        forwarder=sender.instance,
        incarnation=sender.incarnation,
        team=poll.team,
        kind=poll.kind,
        urgent=poll.urgent,
        repeatable=poll.repeatable,
        attempt=poll.attempt,
        expected_ms=poll.expected_ms or None,
        checkpointable=poll.checkpointable,
        deadline=now + poll.deadline_ms / 1000,
        tried_workers=poll.tried_workers,
        tried_racks=poll.tried_racks,
        resumed=poll.resumed,
    )


def _build_worker_spec(view: FleetView, vm: str) -> WorkerSpec:
    configured = view.state.vms[vm]
    return WorkerSpec(
        vm,
        configured.rack,
        configured.address,
        configured.slots,
        configured.connections,
    )


def _build_outstanding_grant(
    forwarder: PeerIdentity, item: GrantItem
) -> OutstandingGrant:
    return OutstandingGrant(
        grant_id=item.grant_id,
        demand_id=item.demand_id,
        forwarder=forwarder.instance,
        incarnation=forwarder.incarnation,
        vm=item.vm,
        team=item.team,
        kind=item.kind,
        checkpointable=item.checkpointable,
    )
