"""Election of one owner for each pool and of one holder of the fleet role.

Each process has one lease in the store, and the keys of its roles expire with it. A
role's fencing token is the revision at which its key was written, so a later holder
always has a higher one.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from threading import Event, Lock

from sesameladder.node._campaign import compute_campaign_delay, compute_strength
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._dependency import DependencyState
from sesameladder.node._keys import (
    POOL_ROLE_PREFIX,
    ROLE_PREFIX,
    role_key,
    summary_key,
    term_key,
)
from sesameladder.node._records import (
    RoleHolder,
    decode_holder,
    encode_holder,
)
from sesameladder.node._supervision import build_thread
from sesameladder.node._telemetry import (
    REFUSED_RENEWALS,
    ROLE_PASS_AGE_SECONDS,
    UNATTENDED_ROLES,
    log_event,
    log_failure,
    log_warning,
)
from sesameladder.node._vm_load import VmSize
from sesameladder.platform import (
    Conflict,
    LeaseNotFound,
    OutcomeUnknown,
    PlatformCallError,
    Put,
    RateExceeded,
    RecordInvalid,
    RevisionExpired,
    StoreClient,
)
from sesameladder.service_calls import LeaseRenewals

ROLE_LEASE_MS = 1500  # a crashed owner's pools have no owner for this long
RENEW_INTERVAL_S = 0.4  # three renewals fit into the lease
WATCH_WAIT_MS = 1500
LOOP_INTERVAL_S = 0.02
CAMPAIGN_JITTER_S = 0.1
EXCLUSIVITY_TIMEOUT_S = 1.0  # less than the role lease; allows one lost renewal
ROLE_DROP_TIMEOUT_S = 8.0  # without the store; the worker leases have expired by then
ROLE_STALL_TIMEOUT_S = 6.0  # a load has 5 calls of 1 s; a saturated pass takes seconds
STANDSTILL_S = 2.0  # between two checks; the process or its VM stood still
STALL_CAMPAIGN_DELAY_S = 3.0  # a weak VM that holds six roles asks within 2.6 s
TASK_THREAD = "task"


@dataclass(frozen=True, slots=True)
class HeldRole:
    """A role that this process holds."""

    role: str
    fence: int
    """Store revision at which the role was taken; the fencing token."""

    term: int
    passes: dict[str, float] = field(default_factory=dict, compare=False)
    """Steady time of the latest pass, by thread that works for the role.

    A pass that an unexpected error ended doesn't count.
    """

    def begin_passes(self, thread: str) -> None:
        """Expect passes of a thread from now on, if they are not expected yet."""
        self.passes.setdefault(thread, read_steady_clock())

    def record_pass(self, thread: str = TASK_THREAD) -> None:
        """Record that a thread has ended a pass."""
        self.passes[thread] = read_steady_clock()

    def end_passes(self, thread: str) -> None:
        """Expect no passes of a thread any more, since it has nothing to do."""
        self.passes.pop(thread, None)

    def find_oldest_pass(self) -> tuple[str, float]:
        """Return the thread whose latest pass is the oldest, and its steady time."""
        return min(list(self.passes.items()), key=lambda item: item[1])


@dataclass(frozen=True, slots=True)
class RoleRecord:
    """What the store holds for a role, as last read."""

    revision: int
    holder: RoleHolder | None = None
    """None for a vacant role."""

    lease: int = 0
    """Lease with which the holder's key expires."""


class RoleTask:
    """Two threads that take vacant roles and give up lost ones."""

    __slots__ = (
        "campaign_starts",
        "checked_at",
        "dependency",
        "held",
        "holder_strengths",
        "holders_are_current",
        "lease",
        "list_roles",
        "lock",
        "node",
        "on_gained",
        "on_lost",
        "records",
        "renewals",
        "stalled_until",
        "stopping",
        "store",
        "strength",
        "threads",
        "unanswered_terms",
        "unattended",
        "watch_dependency",
        "watched_since",
    )

    def __init__(
        self,
        store: StoreClient,
        node: str,
        list_roles: Callable[[], Iterable[str]],
        on_gained: Callable[[HeldRole], None],
        on_lost: Callable[[HeldRole], None],
        vm_size: VmSize,
    ) -> None:
        self.store = store
        self.node = node
        self.strength = compute_strength(vm_size)
        self.list_roles = list_roles
        self.on_gained = on_gained
        self.on_lost = on_lost
        self.lock = Lock()
        self.lease: int | None = None
        now = read_steady_clock()
        self.renewals = LeaseRenewals(
            ROLE_LEASE_MS / 1000, RENEW_INTERVAL_S, now, Random()
        )
        self.held: dict[str, HeldRole] = {}
        self.records: dict[str, RoleRecord] = {}
        self.unattended: dict[str, int] = {}
        """Roles held in the store but not in ``held``, with the key's revision."""

        self.unanswered_terms: dict[str, int] = {}
        """Term of the latest attempt to take a role, if it got no response, by role."""

        self.holder_strengths: dict[str, float] = {}
        """Strength of the latest holder by role, also of vacant roles."""

        self.campaign_starts: dict[str, float] = {}
        """Steady time of the first attempt to take a vacant role, by role.

        The delay for roles that the process holds already is added to it.
        """

        self.stalled_until: dict[str, float] = {}
        """Steady time before which other processes are to take a role, by role."""

        self.checked_at = self.watched_since = now
        """Steady time of the latest check of the passes, and of the first one since
        the process stood still."""

        self.holders_are_current = False
        """Whether ``records`` has been read and its changes are being watched."""

        self.dependency = DependencyState("store:roles")
        self.watch_dependency = DependencyState("store:role watch")
        self.stopping = Event()
        self.threads = [
            build_thread("roles", self._run, self.stopping),
            build_thread("role-watch", self._watch, self.stopping),
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Give up all roles and the lease, so that others can take over at once."""
        self.stopping.set()
        for thread in self.threads[:1]:
            thread.join(2.0)
        for held in list(self.held.values()):
            self._drop(held, "shutdown")
        if self.lease is not None:
            try:
                self.store.end_lease(self.lease)
            except PlatformCallError as error:
                log_warning("lease_end_failed", error=str(error))

    def is_confirmed(self, within_s: float) -> bool:
        """Return whether a lease call sent less than ``within_s`` ago succeeded."""
        return self.renewals.is_confirmed(within_s, read_steady_clock())

    def has_holder(self, role: str) -> bool:
        """Return whether the store named a holder of a role when last read."""
        record = self.records.get(role)
        return record is not None and record.holder is not None

    def get_holder_fence(self, role: str) -> int | None:
        """Return the fencing token of a role's holder as last read, or None."""
        record = self.records.get(role)
        is_held = record is not None and record.holder is not None
        return record.revision if record is not None and is_held else None

    def is_exclusive_holder(self) -> bool:
        """Return whether no other process can have taken this process's roles yet."""
        return self.holders_are_current and self.is_confirmed(EXCLUSIVITY_TIMEOUT_S)

    def drop(self, role: str, fence: int, reason: str) -> None:
        """Give up a role that is known to be lost."""
        held = self.held.get(role)
        if held is not None and held.fence == fence:
            self._drop(held, reason)

    def _run(self) -> None:
        while not self.stopping.is_set():
            self._run_pass(read_steady_clock())
            self._drop_stalled(read_steady_clock())
            self.stopping.wait(LOOP_INTERVAL_S)

    def _run_pass(self, now: float) -> None:
        if self.renewals.is_due(now):
            self.renewals.begin(now)
            self._attempt(self._renew, now)
        # Roles are settled also while renewals get no response.
        if self.lease is not None and self.holders_are_current:
            self._attempt(self._campaign, read_steady_clock())
        if self.held and not self.is_confirmed(ROLE_DROP_TIMEOUT_S):
            for held in list(self.held.values()):
                self._drop(held, "store unreachable")

    def _attempt(self, step: Callable[[float], None], now: float) -> None:
        try:
            step(now)
        except PlatformCallError as error:
            self.dependency.record_failure(error)
        except Exception:
            # Without this thread the process would never be ready again.
            log_failure("role_pass_failed", node=self.node)

    def _drop_stalled(self, now: float) -> None:
        """Give up the roles for which a thread makes no passes any more.

        After the process or its VM stood still, each thread gets the whole time anew.
        """
        if now - self.checked_at > STANDSTILL_S:
            self.watched_since = now
        self.checked_at = now
        for held in list(self.held.values()):
            thread, passed_at = held.find_oldest_pass()
            ROLE_PASS_AGE_SECONDS.labels(held.role).set(now - passed_at)
            if now - max(passed_at, self.watched_since) > ROLE_STALL_TIMEOUT_S:
                age_s = round(now - passed_at, 3)
                log_warning(
                    "role_stalled",
                    role=held.role,
                    fence=held.fence,
                    thread=thread,
                    age_s=age_s,
                )
                self.stalled_until[held.role] = now + STALL_CAMPAIGN_DELAY_S
                self._drop(held, "stalled")

    def _renew(self, now: float) -> None:
        if self.lease is None:
            self.lease = self.store.grant_lease(ROLE_LEASE_MS)
        else:
            if not self.is_confirmed(ROLE_DROP_TIMEOUT_S):
                # The keys of the roles must not outlive their being given up, even if
                # renewals take effect without a response.
                self.store.end_lease(self.lease)
            try:
                self.store.renew_lease(self.lease)
            except LeaseNotFound:
                self._forget_lease()
                return
            except RateExceeded:
                REFUSED_RENEWALS.inc()
                self.renewals.record_refusal(read_steady_clock())
                raise
        self.renewals.record_success(now)
        self.dependency.record_success()

    def _forget_lease(self) -> None:
        """Give up all roles, since the lease that they are held with has ended.

        The store has removed the keys; the watch may report that late or not at all.
        """
        lease, self.lease = self.lease, None
        for held in list(self.held.values()):
            self._drop(held, "lease ended")
        for role, record in list(self.records.items()):
            if record.lease == lease:
                self._apply_removal(role, record.revision)

    def _settle_unattended(self) -> None:
        """Begin to work for the roles that only the store counts as held, or free them.

        A role that this process has given up is not taken again in the same term,
        since run numbers of that term have been used.
        """
        unattended = self._find_unattended()
        for role, record in unattended.items():
            if self.unattended.get(role) != record.revision:
                log_warning("role_unattended", role=role, fence=record.revision)
        self.unattended = {role: rec.revision for role, rec in unattended.items()}
        UNATTENDED_ROLES.set(len(unattended))
        for role, record in unattended.items():
            assert record.holder is not None
            if self.unanswered_terms.get(role) == record.holder.term:
                self._gain(role, record.revision, record.holder)
            else:
                self._release(role, record.revision)

    def _find_unattended(self) -> dict[str, RoleRecord]:
        with self.lock:
            return {
                role: record
                for role, record in self.records.items()
                if record.holder is not None
                and record.lease == self.lease
                and role not in self.held
            }

    def _release(self, role: str, revision: int) -> None:
        """Remove the key of a role, so that any process can take it.

        A pool's summary expires with the same lease and is removed as well.
        """
        key = role_key(role)
        removals = [key]
        if role.startswith(POOL_ROLE_PREFIX):
            removals.append(summary_key(role.removeprefix(POOL_ROLE_PREFIX)))
        outcome = self.store.commit((), tuple(removals), ((key, revision),))
        if isinstance(outcome, Conflict):
            # An earlier release may have taken effect without a response.
            self._apply_removal(role, revision)
            self._apply_conflict(role, outcome)
            return
        log_event("role_released", role=role, fence=revision)
        self._apply_holder(key, None, outcome.revision)

    def _campaign(self, now: float) -> None:
        self._settle_unattended()
        if not self.is_confirmed(EXCLUSIVITY_TIMEOUT_S):
            return  # the process couldn't work for a role that it takes now
        for role in self.list_roles():
            if self.lease is None:
                return  # an earlier attempt of this pass found that it has ended
            record = self.records.get(role)
            if role in self.held or (record is not None and record.holder is not None):
                self.campaign_starts.pop(role, None)
                continue
            delay_s = compute_campaign_delay(
                self.strength, len(self.held), list(self.holder_strengths.values())
            )
            campaign_start = self.campaign_starts.setdefault(
                role,
                max(now, self.stalled_until.get(role, 0.0))
                + random.random() * CAMPAIGN_JITTER_S,
            )
            if now >= campaign_start + delay_s:
                self._try_take(role)
                self.campaign_starts.pop(role, None)

    def _try_take(self, role: str) -> None:
        assert self.lease is not None
        term_item = self.store.read(term_key(role))
        term_revision = term_item.revision if term_item is not None else 0
        term = int(term_item.value) + 1 if term_item is not None else 1
        holder = RoleHolder(self.node, term, self.strength)
        # The role's key is written last, so that its revision is the transaction's
        # even if each key of a transaction gets a revision of its own.
        puts = (
            Put(term_key(role), str(term).encode()),
            Put(role_key(role), encode_holder(holder), self.lease),
        )
        preconditions = ((role_key(role), 0), (term_key(role), term_revision))
        try:
            outcome = self.store.commit(puts, (), preconditions)
        except LeaseNotFound:
            self._forget_lease()
            return
        except OutcomeUnknown:
            # If the transaction has taken effect, or does so later, the role's record
            # names this process's lease and term.
            log_warning("role_unanswered", role=role, term=term)
            self.unanswered_terms[role] = term
            raise
        if isinstance(outcome, Conflict):
            self._apply_conflict(role, outcome)
            return
        self._gain(role, outcome.revision, holder)

    def _gain(self, role: str, revision: int, holder: RoleHolder) -> None:
        """Begin to hold a role whose key this process has written.

        The watch may have brought a later change of the key before the response.
        """
        assert self.lease is not None
        self.unanswered_terms.pop(role, None)
        held = HeldRole(role, revision, holder.term)
        held.record_pass()
        with self.lock:
            known = self.records.get(role)
            if known is not None and known.revision > revision:
                return
            self.records[role] = RoleRecord(revision, holder, self.lease)
            self.holder_strengths[role] = holder.strength
            self.held[role] = held
        log_event(
            "role_gained",
            role=role,
            term=held.term,
            fence=held.fence,
            strength=round(self.strength, 3),
        )
        self.on_gained(held)

    def _drop(self, held: HeldRole, reason: str) -> None:
        with self.lock:
            if self.held.get(held.role) is not held:
                return
            del self.held[held.role]
        ROLE_PASS_AGE_SECONDS.remove(held.role)
        log_warning("role_lost", role=held.role, fence=held.fence, reason=reason)
        self.on_lost(held)

    def _watch(self) -> None:
        try:
            self._follow_holders()
        finally:
            # A change may be missed until the holders are read again.
            self.holders_are_current = False

    def _follow_holders(self) -> None:
        revision: int | None = None
        while not self.stopping.is_set():
            try:
                if revision is None:
                    revision = self._read_holders()
                batch = self.store.watch(ROLE_PREFIX, revision, WATCH_WAIT_MS)
                for change in batch.changes:
                    self._apply_holder(
                        change.key, change.value, change.revision, change.lease
                    )
                revision = batch.revision
                self.watch_dependency.record_success()
            except RevisionExpired:
                revision = None
            except PlatformCallError as error:
                self.watch_dependency.record_failure(error)
                self.holders_are_current = False
                revision = None
                self.stopping.wait(self.watch_dependency.draw_pause())

    def _read_holders(self) -> int:
        page = self.store.read_range(ROLE_PREFIX)
        present_keys = set()
        for item in page.items:
            present_keys.add(item.key)
            self._apply_holder(item.key, item.value, item.revision, item.lease)
        for role, record in list(self.records.items()):
            if role_key(role) not in present_keys and record.revision <= page.revision:
                self._apply_holder(role_key(role), None, page.revision)
        self.holders_are_current = True
        return page.revision

    def _apply_conflict(self, role: str, conflict: Conflict) -> None:
        for item in conflict.items:
            if item.key == role_key(role):
                self._apply_holder(item.key, item.value, item.revision, item.lease)

    def _apply_removal(self, role: str, revision: int) -> None:
        """Count a role as vacant whose key, last changed at ``revision``, is gone."""
        # The removal has at least the next revision.
        self._apply_holder(role_key(role), None, revision + 1)

    def _apply_holder(
        self, key: str, value: bytes | None, revision: int, lease: int = 0
    ) -> None:
        role = key.removeprefix(ROLE_PREFIX)
        holder: RoleHolder | None = None
        if value is not None:
            try:
                holder = decode_holder(value)
            except RecordInvalid as error:
                log_warning("role_record_refused", role=role, error=str(error))
        with self.lock:
            known = self.records.get(role)
            if known is not None and known.revision > revision:
                return
            self.records[role] = RoleRecord(revision, holder, lease)
            if holder is not None:
                self.holder_strengths[role] = holder.strength
            held = self.held.get(role)
        if held is not None and revision > held.fence:
            self._drop(held, "the key of the role has changed in the store")
