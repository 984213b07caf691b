"""Fair shares: the slot time that a team is charged for a grant.

A job above the long-work threshold is charged in the class of long work even if
the grant came from another class. Otherwise one straggler, or one declared run
time that is far too long, would delay the short work of its team.
"""

from sesameladder.dispatch._cell import CellState
from sesameladder.dispatch._grants import Grant
from sesameladder.dispatch._types import WorkClass


def charge_share(cell: CellState, grant: Grant) -> None:
    """Charge a team for the expected slot time of a new grant."""
    grant.charged_class = _charged_class(cell, grant, grant.expected_ms)
    _charge(cell, grant, grant.charged_class, grant.expected_ms)


def correct_share(cell: CellState, grant: Grant, ran_ms: float) -> None:
    """Replace the charge of a grant that has ended by its actual slot time."""
    _charge(cell, grant, grant.charged_class, -grant.expected_ms)
    _charge(cell, grant, _charged_class(cell, grant, ran_ms), ran_ms)


def _charged_class(cell: CellState, grant: Grant, slot_ms: float) -> WorkClass:
    if slot_ms >= cell.estimates.long_threshold_ms():
        return WorkClass.LONG
    return grant.queue_class


def _charge(
    cell: CellState, grant: Grant, work_class: WorkClass, slot_ms: float
) -> None:
    queue = cell.queue.by_class[work_class]
    queue.charge(grant.team, slot_ms, cell.team_weight(grant.team))
