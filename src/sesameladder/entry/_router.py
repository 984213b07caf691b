"""Routing of peer messages to the task or table that handles them."""

import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatchmethod

from sesameladder.entry._configuration_task import ConfigurationTask
from sesameladder.entry._dispatch_task import DispatchTask
from sesameladder.entry._held_grants import HeldGrants
from sesameladder.entry._membership import Membership
from sesameladder.entry._request import RequestInvalid
from sesameladder.entry._task_keeper import TaskKeeper
from sesameladder.entry._task_messages import PeerMessage
from sesameladder.entry._token_path import TokenPath
from sesameladder.idempotency import HandoverMalformed, TokenMalformed
from sesameladder.peering import (
    Acknowledgement,
    CellQuery,
    CheckpointRequest,
    DemandCancel,
    Failure,
    ForwardedRequest,
    GrantList,
    GrantPoll,
    GrantQuery,
    GrantRelease,
    HandOverRequest,
    Heartbeat,
    HomeMovedNotice,
    Message,
    PeerIdentity,
    PlanUpdate,
    PreemptOrder,
    PullConfiguration,
    PullPlan,
    SendReply,
    Snapshot,
    ThrottleOrder,
    Tickets,
    TokenHandOver,
    VmListUpdate,
    WitnessRecord,
    WitnessStart,
    WitnessVoid,
)

logger = logging.getLogger(__name__)

DispatchRequest = (
    GrantPoll
    | GrantRelease
    | DemandCancel
    | HandOverRequest
    | CellQuery
    | CheckpointRequest
)
ConfigurationRequest = (
    PullConfiguration | Tickets | Snapshot | PullPlan | PlanUpdate | VmListUpdate
)


class Router:
    """Receives all messages from peers and passes them to their handlers.

    The components that handle messages are set after construction, since some
    of them need the peer connections that the router is created for.
    """

    __slots__ = (
        "clock",
        "configuration",
        "dispatch",
        "forwarding_executor",
        "held_grants",
        "identity",
        "membership",
        "task_keeper",
        "token_path",
    )

    configuration: ConfigurationTask
    dispatch: DispatchTask
    held_grants: HeldGrants
    task_keeper: TaskKeeper
    membership: Membership
    token_path: TokenPath

    def __init__(
        self, identity: PeerIdentity, threads: int, clock: Callable[[], float]
    ) -> None:
        self.identity = identity
        self.clock = clock
        self.forwarding_executor = ThreadPoolExecutor(threads, "forwarded")

    def stop(self) -> None:
        """Stop the threads that serve forwarded requests, without waiting for them."""
        self.forwarding_executor.shutdown(wait=False, cancel_futures=True)

    def __call__(
        self, sender: PeerIdentity, message: Message, reply: SendReply
    ) -> None:
        """Route a message; malformed content is answered with ``Failure``."""
        try:
            self._route(message, sender, reply)
        except (TokenMalformed, HandoverMalformed, RequestInvalid) as error:
            reply(Failure(str(error)))

    @singledispatchmethod
    def _route(self, message: object, sender: PeerIdentity, reply: SendReply) -> None:
        del sender
        reply(Failure(f"unexpected message {type(message).__name__}"))

    @_route.register
    def _(
        self, message: DispatchRequest, sender: PeerIdentity, reply: SendReply
    ) -> None:
        self.dispatch.post(PeerMessage(sender, message, reply))

    @_route.register
    def _(
        self, message: ConfigurationRequest, sender: PeerIdentity, reply: SendReply
    ) -> None:
        self.configuration.post(PeerMessage(sender, message, reply))

    @_route.register
    def _(self, message: Heartbeat, sender: PeerIdentity, reply: SendReply) -> None:
        self.membership.record_heartbeat(sender, message)
        self.configuration.post(PeerMessage(sender, message, reply))

    @_route.register
    def _(self, message: GrantQuery, sender: PeerIdentity, reply: SendReply) -> None:
        del sender
        items, demand_ids = self.held_grants.list_in_cell(
            message.pool, message.zone, self.clock()
        )
        reply(GrantList(True, self.identity.incarnation, items, demand_ids))

    @_route.register
    def _(self, message: PreemptOrder, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        self.task_keeper.preempt(message.grant_id)

    @_route.register
    def _(self, message: ThrottleOrder, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        self.task_keeper.throttle(message.grant_id, message.share)

    @_route.register
    def _(
        self, message: ForwardedRequest, sender: PeerIdentity, reply: SendReply
    ) -> None:
        del sender
        self.forwarding_executor.submit(self._serve_forwarded, message, reply)

    @_route.register
    def _(self, message: WitnessStart, sender: PeerIdentity, reply: SendReply) -> None:
        del sender
        self.token_path.answer_witness_start(message, reply)

    @_route.register
    def _(self, message: WitnessVoid, sender: PeerIdentity, reply: SendReply) -> None:
        del sender
        self.token_path.answer_witness_void(message, reply)

    @_route.register
    def _(self, message: WitnessRecord, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        self.token_path.record_witness_outcome(message)

    @_route.register
    def _(self, message: TokenHandOver, sender: PeerIdentity, reply: SendReply) -> None:
        del sender
        self.token_path.import_hand_over(message)
        reply(Acknowledgement(True))

    @_route.register
    def _(
        self, message: HomeMovedNotice, sender: PeerIdentity, reply: SendReply
    ) -> None:
        del sender, reply
        self.token_path.record_successor(message)

    def _serve_forwarded(self, message: ForwardedRequest, reply: SendReply) -> None:
        try:
            self.token_path.serve_forwarded(message, reply)
        except (TokenMalformed, RequestInvalid) as error:
            reply(Failure(str(error)))
        except Exception:
            logger.exception(
                "forwarded request failed",
                extra={"event": "forward_error", "request": message.request_id},
            )
            reply(Failure("internal error"))
