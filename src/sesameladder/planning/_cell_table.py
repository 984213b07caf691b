"""Dispatcher rows of a draft plan, which name the owner of each cell."""

from collections.abc import Set
from dataclasses import replace

from sesameladder.planning._plan import cell_key
from sesameladder.planning._refusal import PlanRefusal, RefusalReason
from sesameladder.planning._rows import DispatcherRow


class DispatcherTable:
    """Dispatcher rows of the next plan, by ``pool/zone``."""

    __slots__ = ("changed", "rows")

    def __init__(self, rows: dict[str, DispatcherRow]) -> None:
        self.rows = dict(rows)
        self.changed = False

    def assign(
        self, pool: str, zone: str, instance: str, gone: Set[str]
    ) -> PlanRefusal | None:
        """Set the owner of a cell.

        ``gone`` holds the entry instances that are known to be gone. The change is
        refused while two earlier instances may still grant slots of the cell.
        """
        key = cell_key(pool, zone)
        row = self.rows.get(key)
        if row is None:
            return self._put(DispatcherRow(pool, zone, instance))
        if row.instance == instance:
            is_gone = row.previous_owner is not None and row.previous_owner in gone
            return self._put(
                replace(row, previous_owner_gone=row.previous_owner_gone or is_gone)
            )
        previous = _find_previous_owner(row, gone)
        if previous is None:
            return PlanRefusal(
                RefusalReason.DISPATCHER_BUSY,
                f"cell {key} is being handed over from {row.previous_owner}"
                f" to {row.instance}",
            )
        is_gone = previous in gone or (
            previous == row.previous_owner and row.previous_owner_gone
        )
        epoch = row.epoch + 1
        return self._put(DispatcherRow(pool, zone, instance, previous, is_gone, epoch))

    def complete_change(self, key: str) -> PlanRefusal | None:
        """Clear the previous owner of a cell whose new owner grants slots."""
        row = self.rows[key]
        return self._put(replace(row, previous_owner=None, previous_owner_gone=False))

    def drop(self, key: str) -> None:
        """Remove the row of a cell that has no VM."""
        del self.rows[key]
        self.changed = True

    def _put(self, row: DispatcherRow) -> PlanRefusal | None:
        key = cell_key(row.pool, row.zone)
        if self.rows.get(key) != row:
            self.rows[key] = row
            self.changed = True
        return None


def _find_previous_owner(row: DispatcherRow, gone: Set[str]) -> str | None:
    """Return the only instance that may still grant, or None if two may.

    A new owner starts to grant only after the previous owner has confirmed that it
    stopped or is known to be gone.
    """
    if (
        row.previous_owner is None
        or row.previous_owner_gone
        or row.previous_owner in gone
    ):
        return row.instance
    return row.previous_owner if row.instance in gone else None
