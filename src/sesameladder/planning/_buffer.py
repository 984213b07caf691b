"""Capacity of a pool after the loss of its largest failure domain."""

from collections import Counter
from collections.abc import Iterable

from sesameladder.model import FailureDomain, FleetState, VirtualMachine


class PoolCapacity:
    """Slots of a set of VMs by failure domain."""

    __slots__ = (
        "failure_domain",
        "slots",
        "slots_by_domain",
        "slots_by_zone",
        "vm_count",
    )

    def __init__(self, failure_domain: FailureDomain) -> None:
        self.failure_domain = failure_domain
        self.vm_count = 0
        self.slots = 0
        self.slots_by_domain: Counter[str] = Counter()
        self.slots_by_zone: Counter[str] = Counter()

    @classmethod
    def from_vms(
        cls, failure_domain: FailureDomain, vms: Iterable[VirtualMachine]
    ) -> "PoolCapacity":
        """Return the strength of some VMs."""
        capacity = cls(failure_domain)
        for vm in vms:
            capacity.add(vm)
        return capacity

    def copy(self) -> "PoolCapacity":
        """Return an independent copy."""
        capacity = PoolCapacity(self.failure_domain)
        capacity.vm_count = self.vm_count
        capacity.slots = self.slots
        capacity.slots_by_domain = self.slots_by_domain.copy()
        capacity.slots_by_zone = self.slots_by_zone.copy()
        return capacity

    def add(self, vm: VirtualMachine, sign: int = 1) -> None:
        """Add a VM, or remove it with sign -1."""
        self.vm_count += sign
        self.slots += sign * vm.slots
        self.slots_by_domain[self.domain_of(vm)] += sign * vm.slots
        self.slots_by_zone[vm.zone] += sign * vm.slots

    def domain_of(self, vm: VirtualMachine) -> str:
        """Return the failure domain of a VM."""
        return vm.zone if self.failure_domain is FailureDomain.ZONE else vm.rack

    def is_improved_by(self, vm: VirtualMachine) -> bool:
        """Tell whether a VM adds surviving slots or a further domain.

        The first VM of a second domain may survive nothing by itself, but the
        next ones need it.
        """
        if self.slots_by_domain[self.domain_of(vm)] == 0:
            return True
        return self.surviving_slots_with(vm) > self.surviving_slots

    @property
    def surviving_slots(self) -> int:
        """Slots that are left after the loss of the largest domain."""
        return self.slots - max(self.slots_by_domain.values(), default=0)

    def surviving_slots_with(self, vm: VirtualMachine, sign: int = 1) -> int:
        """Return the surviving slots with one more VM, or one less."""
        self.add(vm, sign)
        slots = self.surviving_slots
        self.add(vm, -sign)
        return slots


def find_survived_domain(state: FleetState, pool: str) -> FailureDomain:
    """Return the failure domain whose loss a pool has to survive."""
    budget = state.budgets.get(pool)
    return budget.survive if budget else FailureDomain.RACK


def pick_best_candidate(
    capacity: PoolCapacity, candidates: Iterable[VirtualMachine]
) -> VirtualMachine:
    """Return the candidate that evens out a pool's shares best."""
    return min(
        candidates,
        key=lambda vm: (
            capacity.slots_by_domain[capacity.domain_of(vm)],
            capacity.slots_by_zone[vm.zone],
            -vm.slots,
            vm.name,
        ),
    )
