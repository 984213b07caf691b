"""Caps of organisations across pools: what each pool may run, and who changes it.

The store has one record an organisation, with a row for each pool: the amounts granted
to the pool, and what it wants beyond them. Only the owner of a pool changes its row,
and a raise is written only while all rows together fit in the cap. The owner starts
work only within its row. A change of a record names the revision that it was decided
on, so of several changes that are under way at most one takes effect.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from sesameladder.organisations._amounts import (
    NOTHING,
    add,
    divide,
    exceeds_cap,
    highest,
    is_within,
    keep_limited,
    lowest,
    round_up,
    subtract,
)
from sesameladder.organisations._cap_pass import CapPass, Room, Want
from sesameladder.organisations._model import Amounts

MAX_VIEW_AGE_S = 1.5  # a watch of 0.4 s may be lost and repeated within it
STEPS_PER_CAP = 16  # a pool at rest holds less than two steps that it doesn't use
UNUSED_STEPS = 2
UNUSED_S = 0.5  # short jobs last longer, so rows don't follow each end of a run
WANT_CHANGE_INTERVAL_S = 0.25  # bounds the writes of a pool that waits
ANY_AMOUNT = Amounts(1, 1, 1)
RETURN_INTERVAL_S = 0.1  # bounds the writes while runs end one after the other
# Bounds of the wait when the equal share of a pool is less than one subtask.
TURN_S = 1.0
YIELD_PERIOD_S = 4 * TURN_S
# Other owners may start work under an earlier configuration for this long, and work
# without a cap is in no row.
CONFIGURATION_APPLY_S = 3.0
# A call without an answer may be executed seconds later. A record that was removed
# and written anew has revision 0 in between, so late calls must have ended by then.
RECORD_REMOVAL_S = 30.0

EventLogger = Callable[..., None]


@dataclass(frozen=True, slots=True)
class CapRow:
    """A pool's part of a cap, and what it wants beyond that."""

    granted: Amounts = NOTHING
    wanted: Amounts = NOTHING


EMPTY_ROW = CapRow()


@dataclass(frozen=True, slots=True)
class CapRecord:
    """Rows of an organisation by pool; revision 0 if the record does not exist."""

    rows: Mapping[str, CapRow] = field(default_factory=dict)
    revision: int = 0
    is_readable: bool = True


NO_RECORD = CapRecord()


@dataclass(frozen=True, slots=True)
class RecordTotals:
    """Sums over the rows of a record, and the number of rows that aren't empty."""

    granted: Amounts = NOTHING
    wanted: Amounts = NOTHING
    pools: int = 0

    @classmethod
    def from_record(cls, record: CapRecord) -> "RecordTotals":
        """Return the sums over a record."""
        granted = wanted = NOTHING
        for row in record.rows.values():
            granted, wanted = add(granted, row.granted), add(wanted, row.wanted)
        return cls(granted, wanted, sum(r != EMPTY_ROW for r in record.rows.values()))


NO_TOTALS = RecordTotals()


@dataclass(frozen=True, slots=True)
class RecordWrite:
    """A new version of a record, to be written if its revision is unchanged."""

    organisation: str
    revision: int
    """Revision that the record must have; 0 if it must not exist."""

    rows: Mapping[str, CapRow]
    """All rows of the new version."""

    pool: str
    """The writer's pool, whose role has to have the revision ``fence``."""

    fence: int
    removes_record: bool = False
    ownerless_pool: str = ""
    """Pool whose row is removed; its role must have no holder."""

    events: Sequence[str] = ()
    """Names of the events to log once this is stored."""

    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(slots=True)
class OwnedPool:
    """A pool that this process owns, with what is present in it by organisation."""

    fence: int
    added_at: float
    present: dict[str, Amounts] = field(default_factory=dict)
    own: dict[str, Amounts] = field(default_factory=dict)
    """Part of it that this owner has started."""

    inherited: dict[str, Amounts] = field(default_factory=dict)
    """Part of the rows that runs of earlier owners may use."""

    is_measured: bool = False
    """Whether a pass has told what is present, with records read after the take-over.

    Before, the inherited rows must not be lowered.
    """

    is_settled: bool = False
    """Whether all runs of earlier owners are known."""

    pass_limits: dict[str, Amounts] = field(default_factory=dict)
    """What the pass under way may come to use."""

    wants: dict[str, Want] = field(default_factory=dict)
    units: dict[str, Amounts] = field(default_factory=dict)
    """Needs of the largest subtask that waited lately."""

    wanted_at: dict[str, float] = field(default_factory=dict)
    written_at: dict[str, float] = field(default_factory=dict)
    unused_since: dict[str, float] = field(default_factory=dict)
    peaks: dict[str, Amounts] = field(default_factory=dict)
    """Highest use since ``unused_since``."""

    pressed_since: dict[str, float] = field(default_factory=dict)
    """Time since which other pools want part of this pool's row."""

    yields_until: dict[str, float] = field(default_factory=dict)
    """Time until which another pool takes its turn."""

    waiting: int = 0
    """Number of subtasks that wait for a cap."""

    changed: set[str] = field(default_factory=set)
    """Organisations whose row may have to change."""


class CapLedger:
    """What a process knows of the caps, and the decisions on its pools' rows.

    A call of ``plan`` visits the organisations that have a row, runs or waiting work
    in an owned pool. Times are in seconds of the steady clock.
    """

    __slots__ = (
        "caps",
        "caps_confirmed_at",
        "known_caps",
        "log_event",
        "pending",
        "pools",
        "records",
        "records_confirmed_at",
        "settles_at",
        "totals",
        "uncapped_since",
    )

    def __init__(self, log_event: EventLogger) -> None:
        self.log_event = log_event
        self.caps: dict[str, Amounts] = {}
        """Cap by organisation, without those that have none."""

        self.known_caps: Mapping[str, Amounts] | None = None
        """Caps of all organisations in the latest configuration; None before it."""

        self.caps_confirmed_at = 0.0
        self.records: dict[str, CapRecord] = {}
        self.records_confirmed_at = 0.0
        self.pools: dict[str, OwnedPool] = {}
        self.totals: dict[str, RecordTotals] = {}
        self.pending: dict[str, Counter[tuple[int, str, Amounts]]] = {}
        """Calls without an answer, by organisation: revision, pool, granted."""

        self.settles_at: dict[str, float] = {}
        """Time before which nothing starts, by organisation; see ``set_caps``."""

        self.uncapped_since: dict[str, float] = {}

    # Events ----------------------------------------------------------------

    def set_caps(
        self, caps: Mapping[str, Amounts], confirmed_at: float, now: float
    ) -> None:
        """Apply the caps of a configuration, read from the store at a time.

        What an organisation runs while a resource has no limit is in no row. Once it
        gets a limit, all owners have to record what they run before anything starts.
        """
        if confirmed_at < self.caps_confirmed_at:
            return  # another thread has applied a later one meanwhile
        self.caps_confirmed_at = confirmed_at
        known = self.known_caps
        if caps == known:
            return
        capped = {name: cap for name, cap in caps.items() if cap != NOTHING}
        for name, cap in capped.items():
            before = self.caps.get(name, NOTHING)
            if known is None or cap == before:
                continue
            may_run = name in known or name in self.uncapped_since
            if may_run and keep_limited(cap, before) != cap:
                self.settles_at[name] = now + CONFIGURATION_APPLY_S
            if self.pools and exceeds_cap(before, cap):
                self.log_event(
                    "cap_lowered",
                    organisation=name,
                    before=describe(before),
                    cap=describe(cap),
                    granted=describe(self._sum_rows(name)),
                )
        for name in self.caps.keys() - capped.keys():
            self.uncapped_since[name] = now
        for name in capped:
            self.uncapped_since.pop(name, None)
        if not self.caps:
            # Without caps, passes don't tell what is present.
            for owned in self.pools.values():
                owned.is_measured = False
        self.caps, self.known_caps = capped, dict(caps)
        self._mark_changed(capped)

    def apply_record(self, organisation: str, record: CapRecord) -> None:
        """Apply a version of a record that was read or written."""
        known = self.records.get(organisation, NO_RECORD)
        if record.revision < known.revision:
            return
        self.records[organisation] = record
        self.totals[organisation] = RecordTotals.from_record(record)
        self._mark_changed((organisation,))
        if record.revision > known.revision:
            self._settle_pending(organisation, record.revision)

    def apply_removal(self, organisation: str, revision: int, now: float) -> None:
        """Record that a record did not exist at a revision of the store."""
        known = self.records.get(organisation)
        if known is None or known.revision > revision:
            return
        del self.records[organisation], self.totals[organisation]
        self._mark_changed((organisation,))
        self.pending.pop(organisation, None)
        if organisation in self.caps:
            # What runs is in no row any more.
            self.settles_at[organisation] = now + CONFIGURATION_APPLY_S

    def confirm_records(self, confirmed_at: float) -> None:
        """Record that all records were current at a time."""
        self.records_confirmed_at = max(self.records_confirmed_at, confirmed_at)

    def add_pool(self, pool: str, fence: int, now: float) -> None:
        """Begin to decide on the rows of a pool that this process owns from now on."""
        self.pools[pool] = OwnedPool(fence, now, changed=set(self.caps))

    def remove_pool(self, pool: str, fence: int) -> None:
        """Leave the rows of a pool to its next owner."""
        owned = self.pools.get(pool)
        if owned is not None and owned.fence == fence:
            del self.pools[pool]

    def begin_pass(
        self,
        pool: str,
        fence: int,
        names: Iterable[str],
        present: dict[str, Amounts],
        own: dict[str, Amounts],
        is_settled: bool,
        free_cpu_millis: int,
        now: float,
    ) -> CapPass:
        """Return what a pass of the pool's owner may start.

        ``names`` are the organisations with waiting work. ``present`` is what may run
        in the pool, ``own`` the part that this owner has started. ``is_settled`` tells
        that no other run may be present.
        """
        owned = self.pools.get(pool)
        if owned is None or owned.fence != fence:
            return CapPass({}, self.caps, free_cpu_millis)
        owned.changed.update(
            name
            for name in present.keys() | owned.present.keys()
            if present.get(name) != owned.present.get(name)
        )
        owned.present, owned.own = present, own
        self._update_inherited(pool, owned, is_settled)
        owned.is_measured = self.records_confirmed_at > owned.added_at
        owned.pass_limits.clear()
        rooms = {}
        for name in names:
            cap = self.caps.get(name)
            if cap is None:
                continue
            room = rooms[name] = self._measure_room(pool, owned, name, cap, now)
            if room.free != NOTHING:
                used = self._count_used(owned, name, cap)
                owned.pass_limits[name] = add(used, room.free)
        return CapPass(rooms, self.caps, free_cpu_millis)

    def end_pass(self, pool: str, fence: int, result: CapPass, now: float) -> bool:
        """Apply what a pass has started; returns whether to plan writes at once."""
        owned = self.pools.get(pool)
        if owned is None or owned.fence != fence:
            return False
        for name, started in result.started.items():
            owned.present[name] = add(owned.present.get(name, NOTHING), started)
            owned.own[name] = add(owned.own.get(name, NOTHING), started)
        has_new_want = any(name not in owned.wants for name in result.wants)
        for name, want in result.wants.items():
            owned.wanted_at[name] = now
            owned.units[name] = want.largest
        owned.changed.update(result.started, result.wants, owned.wants)
        owned.wants = result.wants
        owned.waiting = sum(want.waiting for want in result.wants.values())
        owned.pass_limits.clear()
        for name in owned.unused_since:
            used = self._count_used(owned, name, self.caps.get(name, NOTHING))
            owned.peaks[name] = highest(owned.peaks.get(name, NOTHING), used)
        return has_new_want or any(
            self._is_wanted_elsewhere(pool, name) for name in owned.changed
        )

    # Writes ----------------------------------------------------------------

    def plan(self, now: float) -> RecordWrite | None:
        """Return the next change of a record, or None if there is nothing to change.

        Its outcome has to be recorded before the next call.
        """
        for pool, owned in self.pools.items():
            if not owned.is_measured:
                continue
            for name in sorted(owned.changed):
                cap = self.caps.get(name)
                record = self.records.get(name, NO_RECORD)
                if cap is None or not record.is_readable:
                    owned.changed.discard(name)
                    continue
                row = self._decide_row(pool, owned, name, cap, now)
                if row is not None:
                    return self._build_write(pool, owned, name, row)
                if self._is_at_rest(pool, owned, name):
                    owned.changed.discard(name)
        return self._plan_removal(now)

    def plan_row_removal(self, organisation: str, pool: str) -> RecordWrite | None:
        """Return the removal of the row of a pool that is gone.

        The caller has made sure that no configuration names the pool and that it has
        no open jobs. The write takes effect only while nobody owns the pool.
        """
        record = self.records.get(organisation, NO_RECORD)
        if pool not in record.rows or pool in self.pools or not self.pools:
            return None
        own_pool, owned = next(iter(self.pools.items()))
        rows = {name: row for name, row in record.rows.items() if name != pool}
        return RecordWrite(
            organisation,
            record.revision,
            rows,
            own_pool,
            owned.fence,
            ownerless_pool=pool,
            events=("cap_returned",),
            fields={
                "organisation": organisation,
                "pool": pool,
                "before": describe(record.rows[pool].granted),
                "granted": describe(NOTHING),
                "reason": "pool gone",
            },
        )

    def record_sent(self, write: RecordWrite, now: float) -> None:
        """Count a write as possibly executed from now on."""
        if write.pool in self.pools and not write.ownerless_pool:
            self.pools[write.pool].written_at[write.organisation] = now
        granted = write.rows.get(write.pool, EMPTY_ROW).granted
        calls = self.pending.setdefault(write.organisation, Counter())
        calls[write.revision, write.pool, granted] += 1

    def record_stored(self, write: RecordWrite, revision: int, now: float) -> None:
        """Record that a write was executed at a revision."""
        if write.removes_record:
            self.apply_removal(write.organisation, revision, now)
            return
        record = CapRecord(write.rows, revision)
        self.apply_record(write.organisation, record)

    def record_refused(self, write: RecordWrite) -> None:
        """Record that the store has refused a write, which has no effect any more."""
        granted = write.rows.get(write.pool, EMPTY_ROW).granted
        calls = self.pending.get(write.organisation)
        if calls is None:
            return
        # An equal call that was sent before may still be executed.
        calls[write.revision, write.pool, granted] -= 1
        self.pending[write.organisation] = +calls

    def list_rows(self, pool: str) -> dict[str, Amounts]:
        """Return what is granted to a pool, by organisation."""
        return {
            name: record.rows[pool].granted
            for name, record in self.records.items()
            if pool in record.rows
        }

    # Decisions -------------------------------------------------------------

    def _measure_room(
        self, pool: str, owned: OwnedPool, name: str, cap: Amounts, now: float
    ) -> Room:
        record = self.records.get(name, NO_RECORD)
        usable = self._get_usable(pool, name)
        others = self._sum_rows(name, without=pool)
        used = self._count_used(owned, name, cap)
        ceiling = self._get_ceiling(pool, owned, name, cap, others, now)
        room = Room(cap, headroom=subtract(ceiling, used))
        if not self._is_fresh(owned, now) or not record.is_readable:
            return room
        if now < self.settles_at.get(name, 0.0):
            return room
        is_alone = used == NOTHING and others == NOTHING
        total = keep_limited(add(others, self._get_highest(pool, name)), cap)
        if not is_within(total, cap):
            # Only the row of one subtask that alone exceeds the cap may do so.
            room.is_over = True
            if is_alone:
                room.free, room.allows_oversized = usable, True
            return room
        room.is_open = True
        room.free = subtract(lowest(usable, ceiling), used)
        return room

    def _decide_row(
        self, pool: str, owned: OwnedPool, name: str, cap: Amounts, now: float
    ) -> CapRow | None:
        """Return the new row of a pool, or None if it need not change."""
        record = self.records.get(name, NO_RECORD)
        row = record.rows.get(pool, EMPTY_ROW)
        granted = keep_limited(row.granted, cap)
        others = self._sum_rows(name, without=pool)
        used = self._count_used(owned, name, cap)
        floor = highest(used, owned.pass_limits.get(name, NOTHING))
        want = owned.wants.get(name)
        if not is_within(used, granted):
            return CapRow(highest(granted, used), row.wanted)
        is_over = not is_within(add(others, granted), cap)
        if is_over:
            self._clear_unused(owned, name)
            is_alone = others == NOTHING
            oversized = want.oversized if want is not None else None
            if (
                oversized is not None
                and is_alone
                and used == NOTHING
                and is_within(oversized, granted)
            ):
                return None  # the subtask that it was granted for starts next
            return CapRow(floor, row.wanted) if floor != granted else None
        is_fresh = self._is_fresh(owned, now)
        may_raise = is_fresh and now >= self.settles_at.get(name, 0.0)
        ceiling = self._get_ceiling(pool, owned, name, cap, others, now)
        step = self._get_step(owned, name, cap)
        wanted = NOTHING
        new = granted
        if want is not None:
            if want.oversized is not None:
                # Other pools only return what they don't use: it has to run alone.
                wanted = lowest(want.oversized, ANY_AMOUNT)
                if used == floor == others == NOTHING and may_raise:
                    return CapRow(want.oversized)
            if want.first != NOTHING:
                target = round_up(add(used, want.total), step)
                raised = highest(granted, lowest(target, ceiling))
                is_enough = is_within(add(used, want.first), raised)
                if may_raise and is_enough:
                    new = raised
                needed = lowest(add(used, want.total), cap)
                wanted = highest(wanted, subtract(needed, new))
        elif row.wanted != NOTHING and now - owned.wanted_at.get(name, 0.0) < UNUSED_S:
            wanted = row.wanted
        if new == granted:
            new = self._decide_return(pool, owned, name, cap, ceiling, now)
        is_unanswered = (
            is_fresh
            and want is not None
            and not is_within(
                lowest(add(used, want.first), new), self._get_usable(pool, name)
            )
        )
        if new != granted or is_unanswered:
            return CapRow(new, wanted)
        if wanted == row.wanted or not is_fresh:
            return None
        is_due = now - owned.written_at.get(name, 0.0) >= WANT_CHANGE_INTERVAL_S
        has_begun_or_ended = (wanted == NOTHING) != (row.wanted == NOTHING)
        return CapRow(new, wanted) if is_due or has_begun_or_ended else None

    def _decide_return(
        self,
        pool: str,
        owned: OwnedPool,
        name: str,
        cap: Amounts,
        ceiling: Amounts,
        now: float,
    ) -> Amounts:
        """Return what a row is lowered to; the granted amounts if it is kept."""
        row = self.records.get(name, NO_RECORD).rows.get(pool, EMPTY_ROW)
        granted = keep_limited(row.granted, cap)
        used = self._count_used(owned, name, cap)
        floor = highest(used, owned.pass_limits.get(name, NOTHING))
        step = self._get_step(owned, name, cap)
        if self._is_wanted_elsewhere(pool, name):
            want = owned.wants.get(name)
            kept = floor
            if want is not None and is_within(add(used, want.first), ceiling):
                kept = highest(floor, lowest(add(used, want.total), ceiling))
                kept = lowest(kept, granted)
            # Single small ends of runs aren't worth a write.
            is_due = now - owned.written_at.get(name, 0.0) >= RETURN_INTERVAL_S
            is_emptied = kept == NOTHING != granted
            is_worth_it = _reaches(subtract(granted, kept), divide(step, 4), cap)
            if is_due and (is_emptied or is_worth_it):
                self._clear_unused(owned, name)
                return kept
        unused = subtract(granted, floor)
        two_steps = Amounts(
            *(UNUSED_STEPS * n for n in (step.cpu_millis, step.memory_mb, step.gpus))
        )
        if not _reaches(unused, two_steps, cap):
            self._clear_unused(owned, name)
            return granted
        since = owned.unused_since.setdefault(name, now)
        peak = highest(owned.peaks.setdefault(name, floor), floor)
        owned.peaks[name] = peak
        if now - since < UNUSED_S:
            return granted
        self._clear_unused(owned, name)
        return lowest(granted, round_up(peak, step))

    def _get_ceiling(
        self,
        pool: str,
        owned: OwnedPool,
        name: str,
        cap: Amounts,
        others: Amounts,
        now: float,
    ) -> Amounts:
        """Return up to what a pool may use and raise its row.

        What other pools want is left to them, down to an equal share of the cap. If a
        share is less than one subtask, the pools take turns.
        """
        left = subtract(cap, others)
        row = self.records.get(name, NO_RECORD).rows.get(pool, EMPTY_ROW)
        totals = self.totals.get(name, NO_TOTALS)
        wanted = keep_limited(subtract(totals.wanted, row.wanted), cap)
        contenders = totals.pools + (row == EMPTY_ROW)
        if wanted == NOTHING:
            owned.pressed_since.pop(name, None)
            return left
        share = divide(cap, contenders)
        ceiling = lowest(left, highest(share, subtract(left, wanted)))
        if row.granted == NOTHING:
            since = owned.pressed_since.pop(name, now)
            if now - since >= TURN_S:
                owned.yields_until[name] = now + TURN_S
            has_turn = now >= owned.yields_until.get(name, 0.0)
        else:
            since = owned.pressed_since.setdefault(name, now)
            has_turn = (now - since) % YIELD_PERIOD_S < TURN_S
        if has_turn:
            unit = keep_limited(owned.units.get(name, NOTHING), cap)
            ceiling = lowest(left, highest(ceiling, unit))
        return ceiling

    def _build_write(
        self, pool: str, owned: OwnedPool, name: str, row: CapRow
    ) -> RecordWrite:
        record = self.records.get(name, NO_RECORD)
        before = record.rows.get(pool, EMPTY_ROW)
        rows = {key: value for key, value in record.rows.items() if key != pool}
        if row != EMPTY_ROW:
            rows[pool] = row
        events = []
        if not is_within(row.granted, before.granted):
            events.append("cap_granted")
        elif row.granted != before.granted:
            events.append("cap_returned")
        if before.wanted == NOTHING != row.wanted:
            events.append("cap_reached")
        want = owned.wants.get(name)
        fields = {
            "organisation": name,
            "pool": pool,
            "before": describe(before.granted),
            "granted": describe(row.granted),
            "wanted": describe(row.wanted),
            "used": describe(self._count_used(owned, name, self.caps[name])),
            "granted_elsewhere": describe(self._sum_rows(name, without=pool)),
            "cap": describe(self.caps[name]),
            "waiting": want.waiting if want is not None else 0,
        }
        return RecordWrite(
            name, record.revision, rows, pool, owned.fence, events=events, fields=fields
        )

    def _plan_removal(self, now: float) -> RecordWrite | None:
        """Return the removal of the record of an organisation without a cap."""
        if now - self.caps_confirmed_at > MAX_VIEW_AGE_S or not self.pools:
            return None
        for name, record in self.records.items():
            if name in self.caps:
                continue
            since = self.uncapped_since.setdefault(name, now)
            if now - since >= RECORD_REMOVAL_S:
                pool, owned = next(iter(self.pools.items()))
                return RecordWrite(
                    name, record.revision, {}, pool, owned.fence, removes_record=True
                )
        return None

    # Amounts ---------------------------------------------------------------

    def _is_fresh(self, owned: OwnedPool, now: float) -> bool:
        return (
            now - self.caps_confirmed_at <= MAX_VIEW_AGE_S
            and now - self.records_confirmed_at <= MAX_VIEW_AGE_S
            and self.records_confirmed_at > owned.added_at
        )

    def _update_inherited(self, pool: str, owned: OwnedPool, is_settled: bool) -> None:
        """Reserve the inherited rows while runs of earlier owners may be unknown."""
        owned.is_settled = is_settled
        if is_settled:
            owned.changed.update(owned.inherited)  # the rows may be lowered from now on
            owned.inherited.clear()
            return
        if self.records_confirmed_at <= owned.added_at:
            return
        for name in self.caps:
            if name not in owned.inherited:
                row = self._get_highest(pool, name)
                own = owned.own.get(name, NOTHING)
                owned.inherited[name] = subtract(row, own)

    def _count_used(self, owned: OwnedPool, name: str, cap: Amounts) -> Amounts:
        """Return what counts as running in a pool."""
        used = owned.present.get(name, NOTHING)
        if not owned.is_settled:
            inherited = owned.inherited.get(name, NOTHING)
            used = highest(used, add(inherited, owned.own.get(name, NOTHING)))
        return keep_limited(used, cap)

    def _get_step(self, owned: OwnedPool, name: str, cap: Amounts) -> Amounts:
        unit = keep_limited(owned.units.get(name, NOTHING), cap)
        return highest(divide(cap, STEPS_PER_CAP), unit)

    def _get_usable(self, pool: str, name: str) -> Amounts:
        """Return the least that a pool's row may be."""
        row = self.records.get(name, NO_RECORD).rows.get(pool, EMPTY_ROW)
        usable = row.granted
        for _, written_pool, granted in self.pending.get(name, ()):
            if written_pool == pool:
                usable = lowest(usable, granted)
        return usable

    def _get_highest(self, pool: str, name: str) -> Amounts:
        """Return the most that a pool's row may be."""
        row = self.records.get(name, NO_RECORD).rows.get(pool, EMPTY_ROW)
        granted = row.granted
        for _, written_pool, amounts in self.pending.get(name, ()):
            if written_pool == pool:
                granted = highest(granted, amounts)
        return granted

    def _sum_rows(self, name: str, without: str = "") -> Amounts:
        """Return the most that all rows together may be."""
        record = self.records.get(name, NO_RECORD)
        calls = self.pending.get(name)
        if not calls:
            total = self.totals.get(name, NO_TOTALS).granted
            if without in record.rows:
                total = subtract(total, record.rows[without].granted)
        else:
            pools = {*record.rows, *(pool for _, pool, _ in calls)} - {without}
            total = NOTHING
            for pool in pools:
                total = add(total, self._get_highest(pool, name))
        return keep_limited(total, self.caps[name]) if name in self.caps else total

    def _is_wanted_elsewhere(self, pool: str, name: str) -> bool:
        row = self.records.get(name, NO_RECORD).rows.get(pool, EMPTY_ROW)
        return self.totals.get(name, NO_TOTALS).wanted != row.wanted

    def _is_at_rest(self, pool: str, owned: OwnedPool, name: str) -> bool:
        """Return whether a row changes only after another event."""
        record = self.records.get(name, NO_RECORD)
        row = record.rows.get(pool, EMPTY_ROW)
        is_alone = self.totals.get(name, NO_TOTALS).wanted == NOTHING
        return (
            is_alone
            and row.wanted == NOTHING
            and name not in owned.wants
            and name not in owned.unused_since
            and name not in owned.pass_limits
            and not self.pending.get(name)
        )

    def _mark_changed(self, names: Iterable[str]) -> None:
        names = set(names)
        for owned in self.pools.values():
            owned.changed.update(names)

    def _settle_pending(self, name: str, revision: int) -> None:
        """Forget the writes that can't be executed any more, or have been."""
        calls = self.pending.pop(name, Counter())
        left = {call: count for call, count in calls.items() if call[0] >= revision}
        if left:
            self.pending[name] = Counter(left)

    def _clear_unused(self, owned: OwnedPool, name: str) -> None:
        owned.unused_since.pop(name, None)
        owned.peaks.pop(name, None)


def describe(amounts: Amounts) -> list[int]:
    """Return amounts for a log line: millicores, MB, GPUs."""
    return [amounts.cpu_millis, amounts.memory_mb, amounts.gpus]


def _reaches(amounts: Amounts, limit: Amounts, cap: Amounts) -> bool:
    """Return whether an amount that the cap limits reaches a limit above 0."""
    return any(
        is_limited and amount > 0 and amount >= bound
        for amount, bound, is_limited in (
            (amounts.cpu_millis, limit.cpu_millis, cap.cpu_millis),
            (amounts.memory_mb, limit.memory_mb, cap.memory_mb),
            (amounts.gpus, limit.gpus, cap.gpus),
        )
    )
