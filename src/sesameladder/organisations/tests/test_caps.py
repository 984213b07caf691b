"""Decisions on the rows of a cap, without network."""

import pytest

from sesameladder.organisations import (
    NOTHING,
    Amounts,
    CapLedger,
    CapPass,
    CapRecord,
    CapRow,
    DemandLimit,
    RecordWrite,
)
from sesameladder.organisations.tests.cap_simulation import World

CAP = Amounts(16_000)
UNIT = Amounts(1_000)
T = 100.0


class Owner:
    """The owner of pool p, with what runs in it."""

    def __init__(
        self, rows: dict[str, CapRow] | None = None, cap: Amounts = CAP
    ) -> None:
        self.events: list[str] = []
        self.ledger = CapLedger(lambda event, **_: self.events.append(event))
        self.now = T
        self.revision = 5
        self.present = NOTHING
        self.own = NOTHING
        self.is_settled = True
        self.ledger.add_pool("p", 1, T - 1)
        self.caps = {"a": cap}
        self.ledger.set_caps(self.caps, T, T)
        self.set_rows(rows or {})
        self.run_pass()

    def set_rows(self, rows: dict[str, CapRow]) -> None:
        self.revision += 1
        self.ledger.apply_record("a", CapRecord(rows, self.revision))
        self.confirm()

    def confirm(self) -> None:
        self.ledger.set_caps(self.caps, self.now, self.now)
        self.ledger.confirm_records(self.now)

    def begin(self, free_millis: int = 1_000_000) -> CapPass:
        present = {"a": self.present} if self.present != NOTHING else {}
        own = {"a": self.own}
        return self.ledger.begin_pass(
            "p", 1, ["a"], present, own, self.is_settled, free_millis, self.now
        )

    def run_pass(
        self, needs: Amounts = UNIT, waiting: int = 0, free_millis: int = 1_000_000
    ) -> int:
        """Return how many of the waiting subtasks start."""
        result = self.begin(free_millis)
        started = 0
        while started < waiting and result.may_start("a", needs):
            result.record_start("a", needs)
            started += 1
        result.record_refusal("a", needs, waiting - started)
        self.ledger.end_pass("p", 1, result, self.now)
        for _ in range(started):
            self.present = sum_up(self.present, needs)
            self.own = sum_up(self.own, needs)
        return started

    def plan(self) -> RecordWrite | None:
        return self.ledger.plan(self.now)

    def plan_row(self) -> CapRow | None:
        """Return the next row of p; None if it isn't to be written."""
        write = self.plan()
        return None if write is None else write.rows.get("p", CapRow())

    def store(self) -> CapRow | None:
        """Write the planned row."""
        write = self.plan()
        if write is None:
            return None
        self.ledger.record_sent(write, self.now)
        self.revision += 1
        self.ledger.record_stored(write, self.revision, self.now)
        return write.rows.get("p", CapRow())

    def wait(self, seconds: float, confirms: bool = True) -> None:
        self.now += seconds
        if confirms:
            self.confirm()


def sum_up(first: Amounts, second: Amounts) -> Amounts:
    return Amounts(
        first.cpu_millis + second.cpu_millis, first.memory_mb + second.memory_mb
    )


def row(granted: int, wanted: int = 0) -> CapRow:
    return CapRow(Amounts(granted), Amounts(wanted))


@pytest.mark.parametrize(
    ("others", "needs", "waiting", "free", "granted", "wanted"),
    [
        ({}, 1_000, 3, 100_000, 3_000, 0),
        ({}, 600, 2, 100_000, 2_000, 0),
        ({}, 3_100, 2, 100_000, 6_200, 0),
        ({}, 1_000, 40, 100_000, 16_000, 0),
        ({}, 1_000, 40, 2_500, 2_000, 0),
        ({"q": row(15_000)}, 1_000, 3, 100_000, 1_000, 2_000),
        ({"q": row(16_000)}, 1_000, 3, 100_000, 0, 3_000),
        ({"q": row(14_000)}, 3_100, 1, 100_000, 0, 3_100),
        ({"q": row(6_000, 9_000)}, 1_000, 12, 100_000, 8_000, 4_000),
        ({"q": row(17_000)}, 1_000, 1, 100_000, None, 0),
    ],
    ids=[
        "as wanted",
        "whole steps",
        "steps of a subtask",
        "whole cap",
        "only what workers have room for",
        "what is left",
        "nothing left",
        "less than a subtask left",
        "equal share while another wants",
        "sum over the cap",
    ],
)
def test_row_is_raised_within_the_cap(
    others: dict[str, CapRow],
    needs: int,
    waiting: int,
    free: int,
    granted: int | None,
    wanted: int,
) -> None:
    """Guards against rows that together exceed the cap, and against needless ones."""
    owner = Owner(others)
    assert owner.run_pass(Amounts(needs), waiting, free) == 0
    expected = None if granted is None else row(granted, wanted)
    assert owner.store() == expected
    if granted:
        started = owner.run_pass(Amounts(needs), waiting)
        assert started == min(waiting, granted // needs)


@pytest.mark.parametrize(
    ("present", "other", "waits_s", "expected"),
    [
        (4_000, row(0), 5.0, None),
        (3_000, row(0), 5.0, None),
        (2_000, row(0), 0.4, None),
        (2_000, row(0), 0.6, 2_000),
        (0, row(0), 0.6, 0),
        (3_000, row(4_000, 9_000), 0.0, 3_000),
        (3_800, row(4_000, 9_000), 0.0, None),
        (3_000, row(14_000), 0.0, 3_000),
    ],
    ids=[
        "all used",
        "one step unused",
        "two steps unused for a moment",
        "two steps unused",
        "empty",
        "wanted elsewhere",
        "less than a quarter step",
        "sum over the cap",
    ],
)
def test_unused_part_of_a_row_comes_back(
    present: int, other: CapRow, waits_s: float, expected: int | None
) -> None:
    """Guards against a part of the cap that no pool can use, and against flapping."""
    owner = Owner({"p": row(4_000), "q": other})
    owner.present = Amounts(present)
    owner.run_pass()
    owner.plan()
    owner.wait(waits_s)
    owner.run_pass()
    planned = owner.plan_row()
    assert planned == (None if expected is None else row(expected))


def test_row_is_kept_during_a_pass_and_returned_after_it() -> None:
    """Guards against a row that is lowered while a pass starts work within it."""
    owner = Owner({"p": row(4_000)})
    owner.begin()
    owner.set_rows({"p": row(4_000), "q": row(12_000)})
    owner.set_rows({"p": row(4_000), "q": row(14_000)})
    assert owner.plan_row() is None
    owner.run_pass(waiting=0)
    assert owner.plan_row() == row(0)


def test_nothing_starts_under_a_lowered_cap_until_the_rows_fit() -> None:
    """Guards against starts while more runs than a lowered cap allows."""
    owner = Owner({"p": row(8_000), "q": row(8_000)})
    owner.present = Amounts(6_000)
    owner.caps = {"a": Amounts(4_000)}
    owner.wait(0.1)
    assert owner.events == ["cap_lowered"]
    assert owner.run_pass(waiting=5) == 0
    assert owner.store() == row(6_000)
    owner.present = Amounts(1_000)
    assert owner.run_pass(waiting=5) == 0
    assert owner.store() == row(1_000)
    owner.set_rows({"p": row(1_000), "q": row(3_000)})
    assert owner.run_pass(waiting=5) == 0
    owner.set_rows({"p": row(1_000)})
    assert owner.run_pass(waiting=5) == 0
    assert owner.store() == row(4_000, 0)
    assert owner.run_pass(waiting=5) == 3


def test_new_owner_uses_only_what_it_adds_until_workers_are_read() -> None:
    """Guards against starts beside unknown runs of the owner before."""
    owner = Owner({"p": row(4_000)})
    owner.is_settled = False
    owner.ledger.add_pool("p", 1, owner.now + 0.1)
    owner.wait(0.05)
    owner.run_pass(waiting=1)
    assert owner.plan_row() is None, "the records are older than the take-over"
    owner.wait(0.1)
    assert owner.run_pass(waiting=2) == 0
    assert owner.store() == row(6_000)
    assert owner.run_pass(waiting=3) == 2
    owner.set_rows({"p": row(6_000), "q": row(10_000, 4_000)})
    assert owner.run_pass(waiting=1) == 0
    assert owner.plan_row() == row(6_000, 1_000)
    owner.is_settled = True
    owner.wait(0.2)
    assert owner.run_pass() == 0
    planned = owner.plan_row()
    assert planned is not None
    assert planned.granted == Amounts(2_000)


@pytest.mark.parametrize(
    ("before", "after", "present", "starts"),
    [(2_000, 6_000, 2_000, 0), (6_000, 2_000, 2_000, 0), (6_000, 4_000, 2_000, 2)],
    ids=["raise", "return", "return of a part"],
)
def test_unanswered_write_counts_low_for_starts(
    before: int, after: int, present: int, starts: int
) -> None:
    """Guards against starts in a part of the row that may have been given away."""
    owner = Owner({"p": row(before)})
    owner.present = Amounts(present)
    owner.run_pass()
    rows = {"p": row(after)}
    owner.ledger.record_sent(RecordWrite("a", owner.revision, rows, "p", 1), T)
    assert owner.run_pass(waiting=6) == starts
    owner.set_rows({"p": row(6_000)})
    owner.run_pass(waiting=6 - starts)
    assert owner.present == Amounts(6_000), "a read has shown the outcome"


def test_unanswered_raise_counts_high_in_the_sum() -> None:
    """Guards against a cap that two pools of one process use twice."""
    owner = Owner({"p": row(2_000)})
    owner.ledger.add_pool("q", 2, T - 1)
    rows = {"p": row(2_000), "q": row(13_000)}
    owner.ledger.record_sent(RecordWrite("a", owner.revision, rows, "q", 2), T)
    owner.run_pass(waiting=9)
    owner.store()
    assert owner.ledger.list_rows("p")["a"] == Amounts(3_000)


def test_refused_copy_of_a_call_leaves_the_first_one_possible() -> None:
    """Guards against a call that is forgotten while it may still be executed."""
    owner = Owner({"p": row(4_000)})
    write = RecordWrite("a", owner.revision, {"p": row(1_000)}, "p", 1)
    owner.ledger.record_sent(write, T)
    owner.ledger.record_sent(write, T)
    owner.ledger.record_refused(write)
    assert owner.run_pass(waiting=4) == 1


@pytest.mark.parametrize("is_old", ["configuration", "records", "none"])
def test_view_of_the_store_that_is_2_s_old_allows_no_start(is_old: str) -> None:
    """Guards against starts by a view that may have changed since."""
    owner = Owner({"p": row(4_000)})
    owner.now += 2.0
    if is_old != "configuration":
        owner.ledger.set_caps(owner.caps, owner.now, owner.now)
    if is_old != "records":
        owner.ledger.confirm_records(owner.now)
    assert owner.run_pass(waiting=9) == (4 if is_old == "none" else 0)
    assert (owner.plan_row() is None) is (is_old != "none")


def test_subtask_larger_than_the_cap_runs_alone() -> None:
    """Guards against large subtasks that never run, and against work beside them."""
    large = Amounts(20_000)
    owner = Owner({"q": row(1_000)})
    assert owner.run_pass(large, 2) == 0
    assert owner.store() == row(0, 1), "others return only what they don't use"
    owner.set_rows({"p": row(0, 1)})
    owner.run_pass(large, 2)
    assert owner.store() == row(20_000)
    assert owner.plan_row() is None
    assert owner.run_pass(large, 2) == 1
    assert owner.run_pass(waiting=1) == 0
    assert owner.plan_row() is None
    owner.present = NOTHING
    owner.run_pass()
    assert owner.plan_row() == row(0)


def test_large_subtask_holds_no_part_of_the_cap_while_it_waits() -> None:
    """Guards against other pools that are held to a share for work that can't start."""
    owner = Owner({"p": row(10_000), "q": row(0, 1)})
    owner.present = Amounts(10_000)
    assert owner.run_pass(waiting=6) == 0
    assert owner.store() == row(15_999, 1)
    owner.present = Amounts()
    owner.wait(0.6)
    owner.run_pass()
    assert owner.store() == row(0)


def test_limits_hold_in_each_resource_that_has_one() -> None:
    """Guards against a cap on memory or GPUs that the cores hide."""
    needs = Amounts(100, 1_000, 1)
    owner = Owner({}, cap=Amounts(0, 4_000, 3))
    owner.run_pass(needs, 9)
    stored = owner.store()
    assert stored is not None
    assert stored.granted == Amounts(0, 4_000, 3)
    result = owner.begin()
    assert result.may_start("a", needs, 3)
    assert not result.may_start("a", needs, 4)


def test_work_without_a_cap_is_not_asked_about() -> None:
    """Guards against work without an organisation, or without a cap, that waits."""
    owner = Owner()
    result = owner.begin()
    assert result.may_start("", UNIT, 1_000)
    assert result.may_start("b", UNIT, 1_000)
    assert not result.may_start("a", UNIT)


@pytest.mark.parametrize(
    ("before", "starts"),
    [({"a": Amounts(0)}, 0), ({"a": Amounts(0, 500)}, 0), ({}, 4), ({"a": CAP}, 4)],
    ids=["no cap", "no cap on cores", "new organisation", "capped"],
)
def test_first_cap_waits_until_all_owners_have_recorded_their_runs(
    before: dict[str, Amounts], starts: int
) -> None:
    """Guards against starts beside work that began without a cap in other pools."""
    owner = Owner()
    owner.ledger.known_caps = before
    owner.ledger.caps = {k: cap for k, cap in before.items() if cap != NOTHING}
    owner.confirm()
    owner.set_rows({"p": row(4_000)})
    owner.wait(1.0)
    assert owner.run_pass(waiting=4) == starts
    owner.wait(2.5)
    owner.run_pass(waiting=4 - starts)
    assert owner.present == Amounts(4_000)


def test_runs_beyond_the_row_are_recorded_whatever_the_cap() -> None:
    """Guards against other pools that use a cap which is already used here."""
    owner = Owner({"q": row(15_000)})
    owner.present = Amounts(9_000)
    owner.run_pass()
    assert owner.store() == row(9_000)
    assert owner.run_pass(waiting=1) == 0


def test_record_that_cannot_be_read_allows_no_start_and_no_write() -> None:
    """Guards against a malformed record that is taken for an empty one."""
    owner = Owner({"p": row(4_000)})
    owner.ledger.apply_record("a", CapRecord({}, owner.revision + 1, is_readable=False))
    assert owner.run_pass(waiting=1) == 0
    assert owner.plan_row() is None


def test_row_of_a_pool_that_is_gone_is_removed_while_nobody_owns_it() -> None:
    """Guards against a cap that is lost with its pool."""
    owner = Owner({"p": row(2_000), "old": row(9_000)})
    write = owner.ledger.plan_row_removal("a", "old")
    assert write is not None
    assert (write.rows, write.ownerless_pool, write.pool, write.fence) == (
        {"p": row(2_000)},
        "old",
        "p",
        1,
    )
    assert owner.ledger.plan_row_removal("a", "p") is None


def test_record_of_an_organisation_without_a_cap_is_removed_late() -> None:
    """Guards against a late call that brings rows of an earlier record back."""
    owner = Owner({"p": row(2_000)})
    owner.caps = {"a": Amounts()}
    owner.wait(0.1)
    assert owner.plan() is None
    owner.wait(29.0)
    assert owner.plan() is None
    owner.wait(1.5)
    write = owner.plan()
    assert write is not None
    assert write.removes_record
    owner.ledger.record_stored(write, 99, owner.now)
    assert owner.plan() is None


def test_demand_of_waiting_work_is_limited_by_the_cap() -> None:
    """Guards against VMs that are moved for work which its cap forbids."""
    owner = Owner({"p": row(2_000), "q": row(11_000)})
    owner.present = Amounts(2_000)
    limit = DemandLimit(owner.begin().rooms)
    assert limit.take("a", UNIT, 2_000) == 2_000
    assert limit.take("a", UNIT, 9_000) == 1_000, "the cap is 16 cores, 13 are granted"
    assert limit.take("b", UNIT, 9_000) == 9_000


@pytest.mark.parametrize("turn_s", [1.5, 3.0])
def test_cap_follows_demand_that_alternates_between_two_pools(turn_s: float) -> None:
    """Guards against a cap that stays with the pool of the last peak.

    The pool at its peak asks for more than the cap, the other one for a twentieth.
    """
    cap, needs = Amounts(40_000), Amounts(3_100, 400)
    world = World(1, 2, ["p", "q"], {"a": cap})
    used: list[int] = []
    reached: list[float] = []
    writes = world.store.writes
    for turn in range(8):
        hot, calm = ("p", "q") if turn % 2 else ("q", "p")
        has_reached = False

        def tick(hot: str = hot, calm: str = calm, began_at: float = world.now) -> None:
            nonlocal has_reached
            world.ask(hot, "a", needs, 30)
            world.pools[calm].demand["a"] = []
            if world.random.random() < 0.02:
                world.ask(calm, "a", needs, 1)
            used.append(world.count("a"))
            if not has_reached and world.count("a", hot) >= 0.7 * cap.cpu_millis:
                has_reached = True
                reached.append(world.now - began_at)

        world.run(turn_s, tick)
    assert world.violations == []
    assert len(reached) == 8
    assert max(reached[1:]) <= 1.4  # a run of up to 1 s has to end first
    assert sum(used) / len(used) > 0.7 * cap.cpu_millis
    assert (world.store.writes - writes) / (8 * turn_s) < 20


def test_calm_pools_write_nothing() -> None:
    """Guards against writes for each start and end of work at a steady load."""
    world = World(2, 2, ["p", "q"], {"a": Amounts(64_000)})
    needs = Amounts(2_000)

    def tick() -> None:
        for pool in ("p", "q"):
            running = world.count("a", pool) // needs.cpu_millis
            world.pools[pool].demand["a"] = [needs] * max(0, 8 - running)

    world.run(3, tick)
    writes = world.store.writes
    world.run(10, tick)
    assert world.store.writes == writes


def test_pools_take_turns_if_a_share_is_less_than_a_subtask() -> None:
    """Guards against a pool that waits for good while another uses a small cap."""
    needs = Amounts(3_100)
    world = World(3, 2, ["p", "q"], {"a": Amounts(4_000)})
    used = {"p": 0, "q": 0}

    def tick() -> None:
        for pool in used:
            world.ask(pool, "a", needs, 5)
            used[pool] += world.count("a", pool)

    world.run(30, tick)
    assert world.violations == []
    total = sum(used.values())
    assert total > 0.6 * 1_500 * needs.cpu_millis
    assert min(used.values()) > 0.3 * total
