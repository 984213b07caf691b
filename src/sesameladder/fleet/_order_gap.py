"""Keeps the orders of two holders of the fleet role to one VM apart.

The platform asks for a gap between the last order that one holder sends about a VM and
the first one of the next holder. Each holder stores which VMs it orders before it
sends the orders, so that the next one waits for these VMs only: in a demand peak the
whole gap would cost most of the peak.
"""

from collections.abc import Iterable

RECORD_SLACK_S = 1.0  # beyond the gap, for which an order stays recorded


class OrderGap:
    """VMs that an earlier holder may have ordered, and those that this one orders."""

    __slots__ = ("barred", "gap_s", "ordered_at", "recorded", "taken_at", "term")

    def __init__(self, term: int, gap_s: float, now: float) -> None:
        self.term = term
        """Number of this holder's term; rises by 1 with each holder."""

        self.gap_s = gap_s
        self.taken_at = now
        """Steady time, in seconds, after which no earlier holder sends an order."""

        self.barred: frozenset[str] | None = frozenset() if term == 1 else None
        """VMs that may be ordered only after the gap; None for all of them."""

        self.ordered_at: dict[str, float] = {}
        """Steady time in seconds of this holder's latest order, by VM."""

        self.recorded: frozenset[str] | None = None
        """VMs in this holder's record as last stored; None before the first."""

    def apply_earlier_record(self, term: int, vms: Iterable[str]) -> None:
        """Take over what the holder of ``term`` has stored.

        Only the record of the term right before this one is complete: a holder of an
        older version stores none.
        """
        if term == self.term - 1:
            self.barred = frozenset(vms)

    def may_order(self, vm: str, now: float) -> bool:
        """Return whether this holder may order a VM now."""
        if now >= self.taken_at + self.gap_s:
            return True
        return self.barred is not None and vm not in self.barred

    def list_to_record(self, planned: Iterable[str], now: float) -> list[str] | None:
        """Return the VMs to store before ``planned`` ones are ordered.

        None if the stored record names them already. VMs that an earlier holder has
        ordered stay in the record for as long as the gap.
        """
        self.ordered_at = {
            vm: at
            for vm, at in self.ordered_at.items()
            if now - at < self.gap_s + RECORD_SLACK_S
        }
        planned = set(planned)
        if self.recorded is not None and planned <= self.recorded:
            return None
        barred = self.barred or () if now < self.taken_at + self.gap_s else ()
        return sorted({*planned, *self.ordered_at, *barred})

    def discard_record(self) -> None:
        """Have the record stored anew, since it is out of date."""
        self.recorded = None

    def record_stored(self, vms: Iterable[str]) -> None:
        """Record that these VMs are stored as this holder's record."""
        self.recorded = frozenset(vms)

    def record_order(self, vm: str, now: float) -> None:
        """Record that an order about a VM is sent now."""
        self.ordered_at[vm] = now
