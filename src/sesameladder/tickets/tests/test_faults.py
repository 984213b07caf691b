"""Filing and compaction report correct results when any store call fails."""

from contextlib import suppress
from dataclasses import replace
from functools import cache

import pytest

from sesameladder.tickets import (
    Accepted,
    AlreadyAccepted,
    LostRace,
    NotFiled,
    Rejected,
    TicketLogCorrupt,
    TicketLogError,
    Unsettled,
)
from sesameladder.tickets._bundles import Bundle
from sesameladder.tickets.tests.faulty_store import FaultyStore, calls_from
from sesameladder.tickets.tests.samples import (
    build_small_ticket,
    create_filled_log,
    create_log,
)

# After ticket 3 a filing makes these calls: read the head and tickets 1 and 2,
# archive ticket 3, write the head.
FILING_CALLS = 5
ARCHIVE_CALL = 3
HEAD_CALL = 4


def create_faulty_store(
    count: int, kind: type[FaultyStore] = FaultyStore
) -> FaultyStore:
    store = kind()
    store.entries = dict(build_entries(count))
    store.revision = 10_000
    return store


@cache
def build_entries(count: int):
    store = FaultyStore()
    create_filled_log(count, store)
    return store.entries


def test_filing_makes_the_expected_calls() -> None:
    """Guards against call indices in this file that don't cover every store call."""
    store = create_faulty_store(3)
    assert create_log(store).file_ticket(build_small_ticket(4)) == Accepted(4)
    assert store.call_count == FILING_CALLS


@pytest.mark.parametrize("index", range(FILING_CALLS))
def test_store_down_from_a_step_on(index) -> None:
    """Guards against an outcome that differs from what the store contains."""
    store = create_faulty_store(3)
    store.unavailable = calls_from(index)
    log = create_log(store)
    assert isinstance(log.file_ticket(build_small_ticket(4)), NotFiled)
    store.clear_faults()
    assert log.read_head().number == 3
    assert log.file_ticket(build_small_ticket(4)) == Accepted(4)


@pytest.mark.parametrize("kind", ["response_lost", "request_lost"])
@pytest.mark.parametrize("index", [ARCHIVE_CALL, HEAD_CALL])
def test_lost_response_is_read_back(kind, index) -> None:
    """Guards against a lost response that duplicates or loses a ticket."""
    store = create_faulty_store(3)
    setattr(store, kind, {index})
    log = create_log(store)
    outcome = log.file_ticket(build_small_ticket(4))
    assert outcome == Accepted(4, read_back=index == HEAD_CALL)
    assert log.read_ticket(3) == build_small_ticket(3)
    assert log.read_head().ticket == build_small_ticket(4)


@pytest.mark.parametrize("kind", ["response_lost", "request_lost"])
def test_unreadable_after_lost_response_is_unsettled(kind) -> None:
    """Guards against a definite outcome of a write that can't be read back."""
    store = create_faulty_store(3)
    setattr(store, kind, {HEAD_CALL})
    store.unavailable = calls_from(HEAD_CALL + 1)
    log = create_log(store)
    assert isinstance(log.file_ticket(build_small_ticket(4)), Unsettled)
    store.clear_faults()
    expected = AlreadyAccepted(4) if kind == "response_lost" else Accepted(4)
    assert log.file_ticket(build_small_ticket(4)) == expected


def test_every_lost_response_is_settled_by_reads() -> None:
    """Guards against an outcome that stays unsettled if no write gets a response."""
    store = create_faulty_store(3)
    store.response_lost = calls_from(0)
    log = create_log(store)
    assert log.file_ticket(build_small_ticket(4)) == Accepted(4, read_back=True)


def test_race_after_a_lost_request() -> None:
    """Guards against a false acceptance after a lost request.

    Another operator's ticket is accepted under the number before the first read
    back.
    """
    store = create_faulty_store(3)
    store.request_lost = {HEAD_CALL}
    other_log = create_log(store)
    log = create_log(store)
    winner = build_small_ticket(4, author="ines")
    pauses = [lambda: other_log.file_ticket(winner)]
    log = type(log)(store, pause=lambda s: pauses.pop()() if pauses else None)
    assert log.file_ticket(build_small_ticket(4)) == LostRace(winner)


@pytest.mark.parametrize("later", [5, 9])
def test_lost_race_returns_the_winner_of_the_number(later) -> None:
    """Guards against returning the latest ticket instead of the number's."""
    store = create_faulty_store(later)
    log = create_log(store)
    assert log.file_ticket(build_small_ticket(4, author="ines")) == LostRace(
        build_small_ticket(4)
    )


COMPACTABLE_TICKETS = 3 * 64 + 10


@pytest.mark.parametrize("kind", ["unavailable", "response_lost", "request_lost"])
@pytest.mark.parametrize("step", range(0, 300, 23))
def test_compaction_interrupted_at_any_call(kind, step) -> None:
    """Guards against tickets lost when a compactor crashes or responses are lost."""
    store = create_faulty_store(COMPACTABLE_TICKETS)
    setattr(store, kind, calls_from(step))
    with suppress(TicketLogError):
        create_log(store).compact()
    store.clear_faults()
    log = create_log(store)
    assert [t.number for t in log.list_history(1, COMPACTABLE_TICKETS)] == list(
        range(1, COMPACTABLE_TICKETS + 1)
    )
    log.compact()
    assert "config/tickets/1" not in store.entries
    assert log.read_ticket(1).reason == "first fleet"
    assert log.read_ticket(64) == build_small_ticket(64)
    assert log.compact() == 0


@pytest.mark.parametrize("value", [b"5", b"", b"x", b"64", b"999999"])
def test_damaged_progress_of_compaction(value) -> None:
    """Guards against bundles with first numbers that readers don't look up.

    The progress counter may hold a number within a block or no number at all.
    """
    store = create_faulty_store(COMPACTABLE_TICKETS)
    store.compare_and_swap("config/compacted", 0, value)
    log = create_log(store)
    log.compact()
    assert [t.number for t in log.list_history(1, COMPACTABLE_TICKETS)] == list(
        range(1, COMPACTABLE_TICKETS + 1)
    )


def test_differing_bundle_deletes_nothing() -> None:
    """Guards against deleting archived tickets that differ from their bundle."""
    store = create_faulty_store(COMPACTABLE_TICKETS)
    wrong = Bundle({n: build_small_ticket(n, "ines").to_bytes() for n in range(1, 65)})
    store.compare_and_swap("config/bundles/1", 0, wrong.to_bytes())
    log = create_log(store)
    with pytest.raises(TicketLogCorrupt, match="differs from its bundle"):
        log.compact()
    assert log.read_ticket(1).author == "mara"


class RacingStore(FaultyStore):
    """Runs another compactor at the call with index ``race_at``."""

    race_at = -1

    def fail_if_listed(self) -> None:
        super().fail_if_listed()
        if self.call_count - 1 == self.race_at:
            create_log(self).compact()


@pytest.mark.parametrize("step", range(0, 300, 19))
def test_racing_compactors(step) -> None:
    """Guards against a compactor that deletes tickets another one still reads."""
    store = create_faulty_store(COMPACTABLE_TICKETS, RacingStore)
    store.race_at = step
    log = create_log(store)
    log.compact()
    assert [t.number for t in log.list_history(1, COMPACTABLE_TICKETS)] == list(
        range(1, COMPACTABLE_TICKETS + 1)
    )


def test_large_tickets_are_split_over_bundles() -> None:
    """Guards against bundles that exceed the store's limit of 1 MB."""
    store = FaultyStore()
    log = create_filled_log(1, store)
    for number in range(2, COMPACTABLE_TICKETS + 1):
        reason = "x" * 400_000 if number % 20 == 0 else "small"
        small = build_small_ticket(number)
        ticket = replace(small, reason=reason)
        assert log.file_ticket(ticket) == Accepted(number)
        if number % 64 == 0:
            log.write_snapshot()
    history = log.list_history(1, COMPACTABLE_TICKETS)
    assert log.compact() == 64
    assert log.list_history(1, COMPACTABLE_TICKETS) == history
    bundles = [key for key in store.entries if key.startswith("config/bundles/")]
    assert len(bundles) == 2


DAMAGED_VALUES = [
    ("config/head", b"{}"),
    ("config/head", b'{"number":9,"digest":"","ticket":{}}'),
    ("config/head", b"\x00"),
    ("config/tickets/2", b"[]"),
    ("config/tickets/2", build_small_ticket(1).to_bytes()),
]


@pytest.mark.parametrize(("key", "value"), DAMAGED_VALUES)
def test_damaged_value_is_reported(key, value) -> None:
    """Guards against accepting a ticket after a damaged head or archived ticket."""
    store = create_faulty_store(3)
    entry = store.entries[key]
    store.compare_and_swap(key, entry.revision, value)
    log = create_log(store)
    with pytest.raises(TicketLogCorrupt, match=key):
        log.load_state()
    before = dict(store.entries)
    assert isinstance(log.file_ticket(build_small_ticket(4)), NotFiled)
    assert store.entries == before


def test_missing_snapshots_are_rebuilt() -> None:
    """Guards against a state that needs a snapshot.

    A client can crash between acceptance and its write of the snapshot.
    """
    store = create_faulty_store(130)
    state = create_log(store).load_state()
    del store.entries["config/snapshots/64"], store.entries["config/snapshots/128"]
    log = create_log(store)
    assert log.load_state() == state
    assert log.write_snapshot() == 128
    assert log.load_state() == state


def test_malformed_snapshot_is_skipped() -> None:
    """Guards against a damaged snapshot that blocks all filings."""
    store = create_faulty_store(130)
    state = create_log(store).load_state()
    entry = store.entries["config/snapshots/128"]
    store.compare_and_swap(entry.key, entry.revision, entry.value[:-4])
    assert create_log(store).load_state() == state
    assert create_log(store).file_ticket(build_small_ticket(131)) == Accepted(131)


class StaleStore(FaultyStore):
    """Returns ``old_head`` for the next ``stale_reads`` reads of the head."""

    stale_reads = 0
    old_head = None

    def get(self, key):
        entry = super().get(key)
        if key == "config/head" and self.stale_reads > 0:
            self.stale_reads -= 1
            return self.old_head
        return entry


def create_stale_store(reads: int) -> StaleStore:
    store = create_faulty_store(3, StaleStore)
    store.old_head = store.entries["config/head"]
    create_log(store).file_ticket(build_small_ticket(4))
    store.stale_reads = reads
    return store


STALE_READS = [
    (1, build_small_ticket(4), AlreadyAccepted),
    (1, build_small_ticket(4, author="ines"), LostRace),
    (1, build_small_ticket(5), Rejected),
    (9, build_small_ticket(4, author="ines"), NotFiled),
]


@pytest.mark.parametrize(("reads", "ticket", "expected"), STALE_READS)
def test_old_head_is_not_trusted(reads, ticket, expected) -> None:
    """Guards against a wrong outcome when the store returns an old head."""
    store = create_stale_store(reads)
    assert isinstance(create_log(store).file_ticket(ticket), expected)
    store.stale_reads = 0
    assert create_log(store).read_head().ticket == build_small_ticket(4)


@pytest.mark.parametrize(("reads", "expected"), [(2, Accepted), (99, Unsettled)])
def test_lost_response_with_old_reads(reads, expected) -> None:
    """Guards against taking an old head as proof that a write failed."""
    store = create_faulty_store(3, StaleStore)
    store.old_head = store.entries["config/head"]
    store.response_lost = {HEAD_CALL}
    store.stale_reads = 1 + reads
    assert isinstance(create_log(store).file_ticket(build_small_ticket(4)), expected)
    store.stale_reads = 0
    assert create_log(store).read_head().ticket == build_small_ticket(4)
