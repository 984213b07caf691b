"""How a process follows and writes the records of caps."""

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest

from sesameladder.jobs import Configuration, PoolPolicy
from sesameladder.node._cap_task import CapTask
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._configuration_task import ConfirmedConfiguration
from sesameladder.node._intake import Accepted, Intake, TooLarge
from sesameladder.node._keys import cap_key, role_key, submission_key
from sesameladder.node._records import (
    decode_cap_record,
    decode_submission,
    encode_cap_record,
)
from sesameladder.node.tests.test_intake import JOB, QUEUE
from sesameladder.organisations import Amounts, CapRow, Organisation, Organisations
from sesameladder.platform import (
    Committed,
    Conflict,
    OutcomeUnknown,
    Put,
    RangeResult,
    RecordInvalid,
    StoredItem,
)

NAME = "org-a"
KEY = cap_key(NAME)
FENCE = 7
CAP = Amounts(16_000)


@dataclass
class MemoryStore:
    """A store in memory; ``fate`` is what becomes of the next commits."""

    items: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    revision: int = 10
    fate: str = "answered"
    commits: int = 0
    last_served_call_at: float = 1e12

    def put(self, key: str, value: bytes = b"1", revision: int = 0) -> None:
        self.revision += 1
        self.items[key] = value, revision or self.revision

    def read(self, key: str) -> StoredItem | None:
        return StoredItem(key, *self.items[key]) if key in self.items else None

    def read_range(self, prefix: str) -> RangeResult:
        keys = [key for key in self.items if key.startswith(prefix)]
        rows = tuple(StoredItem(key, *self.items[key]) for key in keys)
        return RangeResult(rows, self.revision)

    def read_pages(self, prefix: str) -> Iterator[RangeResult]:
        yield self.read_range(prefix)

    def commit(
        self,
        puts: tuple[Put, ...],
        removals: tuple[str, ...] = (),
        preconditions: tuple[tuple[str, int], ...] = (),
    ) -> Committed | Conflict:
        self.commits += 1
        if self.fate == "lost":
            raise OutcomeUnknown("no answer")
        held = all(
            self.items.get(key, (b"", 0))[1] == revision
            for key, revision in preconditions
        )
        if not held:
            found = (self.read(key) for key, _ in preconditions)
            return Conflict(tuple(item for item in found if item is not None))
        for put in puts:
            self.put(put.key, put.value)
        for key in removals:
            del self.items[key]
        if self.fate == "unanswered":
            raise OutcomeUnknown("no answer")
        return Committed(self.revision)


def build_task(store: MemoryStore, cap: Amounts | None = CAP) -> CapTask:
    table = Organisations([Organisation(NAME, cap=cap)]) if cap is not None else None
    configuration = Configuration(
        1, (QUEUE,), {"chair": PoolPolicy("chair", True, False)}, 1000, table
    )

    def read() -> ConfirmedConfiguration:
        return ConfirmedConfiguration(configuration, read_steady_clock())

    task = CapTask(store, read, lambda pool: None)  # type: ignore[arg-type]
    task.stopping.set()  # no pauses
    store.put(role_key("pool.chair"), b"1", FENCE)
    task.add_pool("chair", FENCE)
    task._apply_configuration()
    task._follow(None)
    return task


def ask(task: CapTask, count: int) -> int:
    """Run a pass that would start subtasks of a core; returns how many may start."""
    starts = task.capped_starts["chair"]
    now = read_steady_clock()
    result = starts.caps.begin_pass([NAME], {}, {}, True, 100_000, now)
    allowed = sum(result.may_start(NAME, Amounts(1000), n + 1) for n in range(count))
    result.record_refusal(NAME, Amounts(1000), count - allowed)
    starts.caps.end_pass(result, now)
    return allowed


def write(task: CapTask) -> bool:
    planned = task.ledger.plan(read_steady_clock())
    return planned is not None and task._store(planned)


def read_rows(store: MemoryStore) -> dict[str, CapRow]:
    return decode_cap_record(KEY, store.items[KEY][0])[1]


def test_pool_starts_work_after_its_row_is_stored() -> None:
    """Guards against starts by a row that is not in the store."""
    store = MemoryStore()
    task = build_task(store)
    assert ask(task, 3) == 0
    assert write(task)
    assert read_rows(store) == {"chair": CapRow(Amounts(3000))}
    assert ask(task, 3) == 3


@pytest.mark.parametrize("fate", ["lost", "unanswered"])
def test_write_without_an_answer_allows_no_start_until_it_is_read(fate: str) -> None:
    """Guards against starts by a raise that may never have been executed."""
    store = MemoryStore()
    task = build_task(store)
    ask(task, 3)
    store.fate = fate
    assert not write(task)
    assert ask(task, 3) == 0
    store.fate = "answered"
    task._follow(None)
    assert ask(task, 3) == (3 if fate == "unanswered" else 0)
    write(task)
    assert ask(task, 3) == 3


def test_conflict_brings_the_rows_of_other_owners() -> None:
    """Guards against a raise that is decided on an outdated record."""
    store = MemoryStore()
    task = build_task(store)
    ask(task, 3)
    rows = {"desk": CapRow(Amounts(15_000))}
    store.put(KEY, encode_cap_record(NAME, rows))
    assert not write(task)
    assert write(task)
    assert read_rows(store) == {
        **rows,
        "chair": CapRow(Amounts(1000), Amounts(2000)),
    }


def test_owner_of_an_earlier_term_writes_nothing() -> None:
    """Guards against two processes that change the row of a pool."""
    store = MemoryStore()
    task = build_task(store)
    ask(task, 3)
    store.put(role_key("pool.chair"), b"2", FENCE + 1)
    assert not write(task)
    assert KEY not in store.items


def test_removed_record_is_noticed_by_a_new_read() -> None:
    """Guards against rows that are counted after their record is gone."""
    store = MemoryStore()
    task = build_task(store)
    ask(task, 3)
    write(task)
    del store.items[KEY]
    store.revision += 1
    task._follow(None)
    assert ask(task, 3) == 0
    assert task.ledger.records == {}


@pytest.mark.parametrize(
    "value",
    [
        b"\xff",
        b"[]",
        b"{}",
        b'{"organisation": "org-b", "rows": {}}',
        b'{"organisation": "org-a", "rows": {"chair": [1, 2]}}',
        b'{"organisation": "org-a", "rows": {"chair": [-1, 0, 0, 0, 0, 0]}}',
        b'{"organisation": "org-a", "rows": {"chair": ["1", 0, 0, 0, 0, 0]}}',
        b'{"organisation": "org-a", "rows": {"chair": 7}}',
        b'{"organisation": "org-a", "rows": []}',
    ],
)
def test_malformed_record_allows_no_start(value: bytes) -> None:
    """Guards against an unreadable record that is taken for an empty one."""
    with pytest.raises(RecordInvalid):
        decode_cap_record(KEY, value)
    store = MemoryStore()
    store.put(KEY, value)
    task = build_task(store)
    assert ask(task, 3) == 0
    assert not write(task)
    assert store.items[KEY][0] == value


@pytest.mark.parametrize(
    ("pool", "key", "is_removed"),
    [
        ("old", "", True),
        ("old", role_key("pool.old"), False),
        ("old", submission_key("old", JOB), False),
        ("chair", "", False),
    ],
    ids=["gone", "owned", "open jobs", "named"],
)
def test_row_of_a_pool_that_is_gone_is_removed_at_the_second_check(
    pool: str, key: str, is_removed: bool
) -> None:
    """Guards against a row that is removed while its pool may have work."""
    store = MemoryStore()
    rows = {pool: CapRow(Amounts(4000)), "desk": CapRow(Amounts(1000))}
    store.put(KEY, encode_cap_record(NAME, rows))
    store.put(role_key("pool.desk"))
    if key:
        store.put(key)
    task = build_task(store)
    if pool == "chair":
        task.remove_pool("chair", FENCE)
    task._remove_gone_pools()
    assert read_rows(store) == rows
    task._remove_gone_pools()
    assert (pool not in read_rows(store)) is is_removed


@pytest.mark.parametrize("cap", [None, Amounts()], ids=["no organisations", "no cap"])
def test_nothing_is_asked_without_a_cap(cap: Amounts | None) -> None:
    """Guards against cost for deployments without caps."""
    task = build_task(MemoryStore(), cap)
    assert task.get_capped_starts("chair") is None


@pytest.mark.parametrize(
    ("cap", "is_refused"), [(Amounts(1999), True), (Amounts(2000), False)]
)
def test_gang_beyond_the_cap_is_refused_at_intake(
    cap: Amounts, is_refused: bool
) -> None:
    """Guards against accepted jobs that can never run."""
    store = MemoryStore()
    step: dict[str, Any] = {"count": 2, "cpu": 1000, "gang": True}
    body = json.dumps({"spec": "", "steps": [step]}).encode()
    intake = Intake(store)  # type: ignore[arg-type]
    organisation = Organisation(NAME, cap=cap)
    deadline = read_steady_clock() + 1.0
    result = intake.submit(QUEUE, JOB, body, deadline, organisation)
    if is_refused:
        assert isinstance(result, TooLarge)
        assert "can never run" in result.reason
        assert store.commits == 0
    else:
        assert result == Accepted(is_new=True)
        value, revision = store.items[submission_key("chair", JOB)]
        assert decode_submission(JOB, value, revision).organisation == NAME
