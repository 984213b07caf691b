"""Capacity of a pool, in total and after the loss of its largest failure domain."""

from collections import Counter
from collections.abc import Iterable

from sesameladder.model import FailureDomain, FleetState, VirtualMachine


class PoolCapacity:
    """Number and slots of a set of VMs, by failure domain and availability zone."""

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
        """Return the capacity of some VMs."""
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
        """Add a VM, or remove it if the sign is -1."""
        self.vm_count += sign
        self.slots += sign * vm.slots
        self.slots_by_domain[self.domain_of(vm)] += sign * vm.slots
        self.slots_by_zone[vm.zone] += sign * vm.slots

    def domain_of(self, vm: VirtualMachine) -> str:
        """Return the availability zone or rack that is the VM's failure domain."""
        return vm.zone if self.failure_domain is FailureDomain.ZONE else vm.rack

    def is_improved_by(self, vm: VirtualMachine) -> bool:
        """Return whether a VM adds surviving slots or a further failure domain.

        The first VM in a second domain may add no surviving slots by itself, but
        without it later VMs could not add any either.
        """
        if self.slots_by_domain[self.domain_of(vm)] == 0:
            return True
        return self.surviving_slots_with(vm) > self.surviving_slots

    @property
    def surviving_slots(self) -> int:
        """Slots that remain after the loss of the largest failure domain."""
        return self.slots - max(self.slots_by_domain.values(), default=0)

    def surviving_slots_with(self, vm: VirtualMachine, sign: int = 1) -> int:
        """Return the surviving slots with one more VM, or one less for sign -1."""
        self.add(vm, sign)
        slots = self.surviving_slots
        self.add(vm, -sign)
        return slots


def find_survived_domain(state: FleetState, pool: str) -> FailureDomain:
    """Return the kind of failure domain whose loss a pool has to survive.

    A pool without a budget has to survive the loss of a rack.
    """
    budget = state.budgets.get(pool)
    return budget.survive if budget else FailureDomain.RACK


def pick_best_candidate(
    capacity: PoolCapacity, candidates: Iterable[VirtualMachine]
) -> VirtualMachine:
    """Return the candidate in the failure domain and zone with the fewest slots.

    Ties go to the VM with the most slots, then to the first name.
    """
    return min(
        candidates,
        key=lambda vm: (
            capacity.slots_by_domain[capacity.domain_of(vm)],
            capacity.slots_by_zone[vm.zone],
            -vm.slots,
            vm.name,
        ),
    )
