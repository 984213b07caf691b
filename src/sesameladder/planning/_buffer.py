"""Capacity of a pool after the loss of its largest failure domain."""

from collections import Counter
from collections.abc import Iterable

from sesameladder.model import FailureDomain, FleetState, VirtualMachine


class PoolCapacity:
    """Slots of a set of VMs by failure domain."""

    __slots__ = ("count", "shares", "slots", "survive", "zone_shares")

    def __init__(self, survive: FailureDomain) -> None:
        self.survive = survive
        self.count = 0
        self.slots = 0
        self.shares: Counter[str] = Counter()
        self.zone_shares: Counter[str] = Counter()

    @classmethod
    def from_vms(
        cls, survive: FailureDomain, vms: Iterable[VirtualMachine]
    ) -> "PoolCapacity":
        """Return the strength of some VMs."""
        strength = cls(survive)
        for vm in vms:
            strength.add(vm)
        return strength

    def copy(self) -> "PoolCapacity":
        """Return an independent copy."""
        strength = PoolCapacity(self.survive)
        strength.count = self.count
        strength.slots = self.slots
        strength.shares = self.shares.copy()
        strength.zone_shares = self.zone_shares.copy()
        return strength

    def add(self, vm: VirtualMachine, sign: int = 1) -> None:
        """Add a VM, or remove it with sign -1."""
        self.count += sign
        self.slots += sign * vm.slots
        self.shares[self.domain(vm)] += sign * vm.slots
        self.zone_shares[vm.zone] += sign * vm.slots

    def domain(self, vm: VirtualMachine) -> str:
        """Return the failure domain of a VM."""
        return vm.zone if self.survive is FailureDomain.ZONE else vm.rack

    def is_improved_by(self, vm: VirtualMachine) -> bool:
        """Tell whether a VM adds surviving slots or a further domain.

        The first VM of a second domain may survive nothing by itself, but the
        next ones need it.
        """
        if self.shares[self.domain(vm)] == 0:
            return True
        return self.surviving_slots_with(vm) > self.surviving_slots

    @property
    def surviving_slots(self) -> int:
        """Slots that are left after the loss of the largest domain."""
        return self.slots - max(self.shares.values(), default=0)

    def surviving_slots_with(self, vm: VirtualMachine, sign: int = 1) -> int:
        """Return the surviving slots with one more VM, or one less."""
        self.add(vm, sign)
        slots = self.surviving_slots
        self.add(vm, -sign)
        return slots


def survive_of(state: FleetState, pool: str) -> FailureDomain:
    """Return the failure domain whose loss a pool has to survive."""
    budget = state.budgets.get(pool)
    return budget.survive if budget else FailureDomain.RACK


def pick_candidate(
    strength: PoolCapacity, candidates: Iterable[VirtualMachine]
) -> VirtualMachine:
    """Return the candidate that evens out a pool's shares best."""
    return min(
        candidates,
        key=lambda vm: (
            strength.shares[strength.domain(vm)],
            strength.zone_shares[vm.zone],
            -vm.slots,
            vm.name,
        ),
    )
