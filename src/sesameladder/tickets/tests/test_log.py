"""The ticket log accepts one ticket for each number and keeps all readable."""

from sesameladder.tickets import (
    Accepted,
    AlreadyAccepted,
    LostRace,
    decode_state,
    encode_state,
)
from sesameladder.tickets.tests.samples import (
    FIRST_TICKET,
    build_small_ticket,
    create_filled_log,
    create_log,
    create_store,
    parse_ticket_document,
)


def test_filing_twice_reports_already_accepted() -> None:
    """Guards against a repeated filing that is rejected or accepted twice."""
    log = create_log()
    assert log.file_ticket(parse_ticket_document(FIRST_TICKET)) == Accepted(1)
    assert log.file_ticket(parse_ticket_document(FIRST_TICKET)) == AlreadyAccepted(1)


def test_racing_operators_see_one_winner() -> None:
    """Guards against accepting two tickets under one number."""
    store = create_store()
    first = create_filled_log(1, store)
    second = create_log(store)
    winner = build_small_ticket(2, "mara")
    assert first.file_ticket(winner) == Accepted(2)
    assert second.file_ticket(build_small_ticket(2, "ines")) == LostRace(winner)
    assert second.read_head().ticket == winner


def test_500_tickets_stay_readable_after_compaction() -> None:
    """Guards against tickets lost while they move from the archive to bundles."""
    store = create_store()
    log = create_filled_log(500, store)
    before = log.list_history(1, 500)
    state = log.load_state()
    assert log.write_snapshot() == 448
    assert log.compact() == 320
    assert log.compact() == 0
    assert log.list_history(1, 500) == before
    assert [log.read_ticket(n).number for n in range(1, 501)] == list(range(1, 501))
    assert log.load_state() == state == decode_state(encode_state(state))
    archived = [key for key in store.entries if key.startswith("config/tickets/")]
    assert len(archived) == 499 - 320
