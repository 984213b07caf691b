"""Which VMs the next holder of the fleet role may order, and when."""

import pytest

from sesameladder.fleet import OrderGap

GAP_S = 3.0


@pytest.mark.parametrize(
    ("term", "record", "vm", "allowed_after_s"),
    [
        (1, None, "m-1", 0.0),
        (5, None, "m-1", GAP_S),
        (5, (4, ["m-1"]), "m-1", GAP_S),
        (5, (4, ["m-1"]), "m-2", 0.0),
        (5, (4, []), "m-1", 0.0),
        (5, (3, ["m-1"]), "m-2", GAP_S),
        (5, (5, ["m-1"]), "m-2", GAP_S),
    ],
)
def test_time_of_the_first_order(
    term: int, record: tuple[int, list[str]] | None, vm: str, allowed_after_s: float
) -> None:
    gap = OrderGap(term, GAP_S, 10.0)
    if record is not None:
        gap.apply_earlier_record(*record)
    allowed_at = 10.0 + allowed_after_s
    assert gap.may_order(vm, allowed_at)
    assert not allowed_after_s or not gap.may_order(vm, allowed_at - 0.01)


def test_orders_of_two_short_terms_are_all_recorded() -> None:
    """Guards against an order that the holder after the next one doesn't know of."""
    first = OrderGap(2, GAP_S, 0.0)
    first.apply_earlier_record(1, ["m-1"])
    recorded = first.list_to_record(["m-2"], 0.1)
    assert recorded == ["m-1", "m-2"]
    second = OrderGap(3, GAP_S, 1.0)
    second.apply_earlier_record(2, recorded)
    assert not second.may_order("m-1", 1.1)
    assert not second.may_order("m-2", 1.1)
    assert second.may_order("m-3", 1.1)


def test_record_is_rewritten_for_new_vms_only() -> None:
    """Guards against a write of the store for each order."""
    gap = OrderGap(1, GAP_S, 0.0)
    assert gap.list_to_record([], 0.0) == []
    gap.record_stored([])
    assert gap.list_to_record([], 0.1) is None
    assert gap.list_to_record(["m-1", "m-2"], 0.2) == ["m-1", "m-2"]
    gap.record_stored(["m-1", "m-2"])
    gap.record_order("m-1", 0.2)
    assert gap.list_to_record(["m-2"], 0.4) is None
    assert gap.list_to_record(["m-3"], 1.0) == ["m-1", "m-3"]
    assert gap.list_to_record(["m-4"], 9.0) == ["m-4"]
