"""Hands each peer message to the task or table that answers it."""

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
    """Receives all messages of peers; parts are attached after construction."""

    __slots__ = (
        "configuration",
        "dispatch",
        "forwarded",
        "held",
        "identity",
        "keeper",
        "membership",
        "now",
        "tokens",
    )

    configuration: ConfigurationTask
    dispatch: DispatchTask
    held: HeldGrants
    keeper: TaskKeeper
    membership: Membership
    tokens: TokenPath

    def __init__(
        self, identity: PeerIdentity, threads: int, now: Callable[[], float]
    ) -> None:
        self.identity = identity
        self.now = now
        self.forwarded = ThreadPoolExecutor(threads, "forwarded")

    def stop(self) -> None:
        """End the threads that serve forwarded requests."""
        self.forwarded.shutdown(wait=False, cancel_futures=True)

    def __call__(
        self, sender: PeerIdentity, message: Message, reply: SendReply
    ) -> None:
        """Hand over a message; malformed content is answered with a failure."""
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
        self.membership.note(sender, message)
        self.configuration.post(PeerMessage(sender, message, reply))

    @_route.register
    def _(self, message: GrantQuery, sender: PeerIdentity, reply: SendReply) -> None:
        del sender
        items, demands = self.held.list_cell(message.pool, message.zone, self.now())
        reply(GrantList(True, self.identity.incarnation, items, demands))

    @_route.register
    def _(self, message: PreemptOrder, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        self.keeper.preempt(message.grant_id)

    @_route.register
    def _(self, message: ThrottleOrder, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        self.keeper.throttle(message.grant_id, message.share)

    @_route.register
    def _(
        self, message: ForwardedRequest, sender: PeerIdentity, reply: SendReply
    ) -> None:
        del sender
        self.forwarded.submit(self._serve_forwarded, message, reply)

    @_route.register
    def _(self, message: WitnessStart, sender: PeerIdentity, reply: SendReply) -> None:
        del sender
        self.tokens.answer_start(message, reply)

    @_route.register
    def _(self, message: WitnessVoid, sender: PeerIdentity, reply: SendReply) -> None:
        del sender
        self.tokens.answer_void(message, reply)

    @_route.register
    def _(self, message: WitnessRecord, sender: PeerIdentity, reply: SendReply) -> None:
        del sender, reply
        self.tokens.record_answer(message)

    @_route.register
    def _(self, message: TokenHandOver, sender: PeerIdentity, reply: SendReply) -> None:
        del sender
        self.tokens.adopt(message)
        reply(Acknowledgement(True))

    @_route.register
    def _(
        self, message: HomeMovedNotice, sender: PeerIdentity, reply: SendReply
    ) -> None:
        del sender, reply
        self.tokens.note_successor(message)

    def _serve_forwarded(self, message: ForwardedRequest, reply: SendReply) -> None:
        try:
            self.tokens.serve_forwarded(message, reply)
        except (TokenMalformed, RequestInvalid) as error:
            reply(Failure(str(error)))
        except Exception:
            logger.exception(
                "forwarded request failed",
                extra={"event": "forward_error", "request": message.request_id},
            )
            reply(Failure("internal error"))
