"""Decisions on the room for accepted work, without a network."""

import pytest

from sesameladder.accepted_work import (
    LoadSelection,
    PoolRoom,
    ReleaseMeter,
    RoomAccount,
    ShortageCause,
    WaitingJob,
    WaitingJobs,
    WorkBudget,
)
from sesameladder.accepted_work._account import CREDIT_BYTES, ROOM_VALID_S
from sesameladder.accepted_work._room import ROUNDING_STEPS

MB = 1_000_000
LIMIT = 40 * MB


def build_waiting(number: int, job_bytes: int = 10, **changes: object) -> WaitingJob:
    fields: dict[str, object] = {
        "job": f"{number:016x}",
        "queue": "q",
        "organisation": "",
        "revision": number,
        "job_bytes": job_bytes,
        "priority": 0,
        "core_s": 1.0,
        "path_s": 1.0,
        "target_s": 2.0,
        "is_long_running": False,
        "accepted_at": 0.0,
    }
    return WaitingJob(**{**fields, **changes})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("held", "pool", "job_bytes", "expected"),
    [
        ({}, "a", 10, True),
        ({}, "a", 5000, True),  # any one job, since nothing that ends makes room
        ({"a": 100}, "a", 5000, True),
        ({"a": 500}, "a", 301, False),
        ({"a": 500}, "a", 300, True),
        ({"a": 800}, "b", 160, True),
        ({"a": 800, "b": 100}, "b", 60, True),
        ({"a": 800, "b": 100}, "b", 61, False),
        ({"a": 400, "b": 400}, "a", 81, False),
        ({"a": 400, "b": 400}, "a", 80, True),
    ],
)
def test_pools_share_the_memory_of_a_process(
    held: dict[str, int], pool: str, job_bytes: int, expected: bool
) -> None:
    """Guards against one pool's crowd that takes the memory of the others."""
    budget = WorkBudget(1000, 100)
    for name in "ab":
        budget.add(name)
        budget.update(name, held.get(name, 0))
    assert budget.try_take(pool, job_bytes) is expected
    taken = held.get(pool, 0) + (job_bytes if expected else 0)
    assert budget.held_by_owner[pool] == taken


@pytest.mark.parametrize(("memory_mb", "limit"), [(200, 50), (300, 75), (0, 50)])
def test_budget_follows_the_memory_of_the_vm(memory_mb: int, limit: int) -> None:
    assert WorkBudget.from_memory(memory_mb).limit_bytes == limit * MB


@pytest.mark.parametrize(
    ("free", "job_bytes", "organisation", "accepted", "age_s", "cause"),
    [
        (LIMIT, 30 * MB, "", 0, 0.0, None),
        (LIMIT, 10_000, "", CREDIT_BYTES, 0.0, ShortageCause.CREDIT),
        (LIMIT, 3 * MB, "", CREDIT_BYTES, 0.0, None),
        (20 * MB, 10 * MB, "", 0, 0.0, None),
        (20 * MB, 11 * MB, "", 0, 0.0, ShortageCause.JOB_SIZE),
        (8 * MB, 100_000, "", 0, 0.0, None),
        (6 * MB, 100_000, "", 0, 0.0, ShortageCause.JOB_SIZE),
        (6 * MB, 10_000, "", 0, 0.0, None),
        (6 * MB, 10_000, "", 5_500_000, 0.0, ShortageCause.JOB_SIZE),
        (6 * MB, 10_000, "", 750_000, 0.0, ShortageCause.CREDIT),
        (10_000, 20_000, "", 0, 0.0, ShortageCause.ROOM),
        (-MB, 1000, "", 0, 0.0, ShortageCause.ROOM),
        (20 * MB, 10_000, "large", 0, 0.0, ShortageCause.ORGANISATION),
        (20 * MB, 10_000, "small", 0, 0.0, None),
        (-MB, 1000, "", 0, ROOM_VALID_S + 0.1, None),
        (-MB, 1000, "", 10_000, ROOM_VALID_S - 0.1, ShortageCause.ROOM),
    ],
)
def test_intake_refuses_what_has_no_room(
    free: int,
    job_bytes: int,
    organisation: str,
    accepted: int,
    age_s: float,
    cause: ShortageCause | None,
) -> None:
    """Guards against jobs that are accepted and that no owner can hold."""
    account = RoomAccount()
    account.apply(PoolRoom(LIMIT, free, 0, {"large": 19_995_000}), 10.0)
    for _ in range(accepted // 10_000):  # usual jobs
        account.accepted.append((10.0, 10_000, ""))
        account.accepted_bytes += 10_000
    shortage = account.admit(job_bytes, organisation, 10.0 + age_s)
    assert (shortage.cause if shortage else None) is cause
    if shortage is not None:
        assert shortage.retry_after_s >= 1.0


@pytest.mark.parametrize("is_read", [True, False])
def test_intake_without_a_published_room_keeps_to_the_credit(is_read: bool) -> None:
    """Guards against refusals of usual jobs while there is no owner, or an old one."""
    account = RoomAccount()
    assert account.take_reading(0.0)
    if is_read:
        account.apply(None, 0.0)
    assert account.admit(30 * MB, "", 0.1) is None, "a single job is carried"
    assert account.admit(3 * MB, "", 0.1) is not None
    usual = [account.admit(10_000, "", 0.1) for _ in range(CREDIT_BYTES // 10_000)]
    assert set(usual) == {None}
    assert account.admit(10_000, "", 0.1) is not None
    assert account.admit(3 * MB, "", 3.0) is None


@pytest.mark.parametrize("intakes", [2, 42])
def test_intakes_that_see_the_same_room_exceed_it_by_a_bound(intakes: int) -> None:
    """Guards against an overshoot that grows with the speed of the crowd."""
    job_bytes = 10_000
    accounts = [RoomAccount() for _ in range(intakes)]
    published = held = 0
    for tick in range(600):  # ten readings of each published room
        now = tick / 10
        if tick % 10 == 0:
            published = held
        room = PoolRoom.from_counts(LIMIT, LIMIT, published, 0.0, {})
        for account in accounts:
            account.apply(room, now)
            for _ in range(1000):
                if account.admit(job_bytes, "", now) is not None:
                    break
                held += job_bytes
    step = LIMIT // ROUNDING_STEPS
    assert held <= LIMIT + step + intakes * (2 * CREDIT_BYTES + job_bytes)
    assert held >= LIMIT * 0.7


@pytest.mark.parametrize(
    ("rows", "order"),
    [
        ([{}, {"core_s": 0.5}], [1, 0]),
        ([{}, {"priority": -1}], [1, 0]),
        ([{"core_s": 9.0, "is_long_running": True}, {}], [0, 1]),
        ([{"accepted_at": -1.5}, {"core_s": 9.0}], [1, 0]),
        ([{"accepted_at": -9.0}, {"accepted_at": -3.0, "core_s": 9.0}], [1, 0]),
        ([{}, {}], [0, 1]),
    ],
)
def test_waiting_jobs_come_in_the_order_of_the_ranking(
    rows: list[dict[str, object]], order: list[int]
) -> None:
    jobs = WaitingJobs()
    for number, row in enumerate(rows):
        jobs.add(build_waiting(number, **row))
    listed = [waiting.revision for waiting in jobs.list_next(10, 0.0)]
    assert listed == order
    selection = LoadSelection(1000, 0.0)
    for number, row in enumerate(rows):
        assert selection.offer(build_waiting(number, **row), number) == []
    assert [content for _, content in selection.take()] == order


def test_load_chooses_the_first_jobs_and_leaves_the_others_waiting() -> None:
    """Guards against an owner that holds whatever the store returns first."""
    selection = LoadSelection(100, 0.0)
    waiting = WaitingJobs()
    for number in range(50):
        row = build_waiting(number, core_s=float(50 - number))
        for displaced in selection.offer(row, number):
            waiting.add(displaced)
        assert selection.chosen_bytes <= 100
    chosen = [content for _, content in selection.take()]
    assert chosen == list(range(49, 39, -1))
    assert len(waiting.by_job) == 40
    assert waiting.waiting_bytes == 400
    assert waiting.count_by_queue() == {"q": 40}
    assert waiting.remove(f"{3:016x}") is not None
    assert waiting.remove(f"{3:016x}") is None
    assert waiting.waiting_bytes == 390


def test_late_work_of_a_lost_role_takes_no_room() -> None:
    """Guards against room that is never given back."""
    budget = WorkBudget(1000, 100)
    budget.add("chair 7")
    budget.add("chair 9")
    budget.remove("chair 7")
    budget.update("chair 7", 900)
    assert budget.try_take("chair 7", 100)
    assert budget.held_by_owner == {"chair 9": 0}


def test_room_is_published_in_steps_that_seldom_change() -> None:
    """Guards against a summary that is written every second for its room."""
    rooms = {
        PoolRoom.from_counts(LIMIT, LIMIT - other, held, 0.0, {"a": held})
        for other in (0, 500_000)
        for held in range(0, 1_000_000, 10_000)
    }
    assert len(rooms) <= 2


def test_release_rate_follows_what_ends() -> None:
    meter = ReleaseMeter(0.0)
    for second in range(1, 61):
        meter.record(1000, float(second))
    assert meter.bytes_per_s == pytest.approx(1000, rel=0.01)
    for second in range(61, 121):
        meter.record(0, float(second))
    assert meter.bytes_per_s < 10
