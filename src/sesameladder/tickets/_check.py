"""Validation of a ticket against the state that it changes."""

from collections import defaultdict
from collections.abc import Iterable

from sesameladder.model import AvailabilityBudget, FleetState, VirtualMachine
from sesameladder.tickets._apply import apply_ticket
from sesameladder.tickets._check_waves import check_waves
from sesameladder.tickets._problems import Problem
from sesameladder.tickets._sections import SECTIONS
from sesameladder.tickets._ticket import Ticket

MAX_LISTED_NAMES = 10


def check_ticket(state: FleetState, ticket: Ticket) -> list[Problem]:
    """Return the problems of a ticket; an empty list means that it is valid.

    ``state`` is the current state. A number other than the next one is reported
    alone, since the remaining checks assume the current state.
    """
    expected = state.number + 1
    if ticket.number != expected:
        return [Problem("number", str(ticket.number), f"the next number, {expected}")]
    new_state = apply_ticket(state, ticket)
    vms_by_pool = group_vms_by_pool(new_state)
    return [
        *_check_not_empty(ticket),
        *_check_removals(state, ticket),
        *_check_pool_references(new_state, ticket),
        *_check_removed_pools(new_state, ticket, vms_by_pool),
        *_check_vms(new_state, ticket),
        *_check_budgets(state, new_state, ticket, vms_by_pool),
        *check_waves(new_state, ticket, vms_by_pool),
    ]


def group_vms_by_pool(state: FleetState) -> dict[str, list[VirtualMachine]]:
    """Return the VMs by pool; pools without VMs are absent."""
    vms_by_pool: dict[str, list[VirtualMachine]] = defaultdict(list)
    for vm in state.vms.values():
        vms_by_pool[vm.pool].append(vm)
    return vms_by_pool


def list_names(names: Iterable[str]) -> str:
    """Return the first ``MAX_LISTED_NAMES`` sorted names as text."""
    ordered = sorted(names)
    if not ordered:
        return "none so far"
    more = len(ordered) - MAX_LISTED_NAMES
    shown = ", ".join(ordered[:MAX_LISTED_NAMES])
    return f"{shown} and {more} more" if more > 0 else shown


def _check_not_empty(ticket: Ticket) -> list[Problem]:
    if any(getattr(ticket, section.name) for section in SECTIONS):
        return []
    names = ", ".join(section.name for section in SECTIONS)
    return [Problem("ticket", "no change", f"at least one object in {names}")]


def _check_removals(state: FleetState, ticket: Ticket) -> list[Problem]:
    problems = []
    for section in SECTIONS:
        present = getattr(state, section.state_attribute)
        for name, item in getattr(ticket, section.name).items():
            if item is None and name not in present:
                accepted = f"null only for what exists: {list_names(present)}"
                problems.append(Problem(f"{section.name}.{name}", "null", accepted))
    return problems


def _check_pool_references(new_state: FleetState, ticket: Ticket) -> list[Problem]:
    references = [
        *((f"vms.{name}.pool", vm.pool) for name, vm in ticket.vms.items() if vm),
        *((f"budgets.{name}", name) for name, item in ticket.budgets.items() if item),
        *(
            (f"maintenance.{name}.pools.{index}", pool)
            for name, wave in ticket.maintenance.items()
            if wave
            for index, pool in enumerate(wave.pools)
        ),
    ]
    accepted = f"the name of a pool: {list_names(new_state.pools)}"
    return [
        Problem(path, f"{pool!r}, an unknown pool", accepted)
        for path, pool in references
        if pool not in new_state.pools
    ]


def _check_removed_pools(
    new_state: FleetState, ticket: Ticket, vms_by_pool: dict[str, list[VirtualMachine]]
) -> list[Problem]:
    problems = []
    for pool in (name for name, item in ticket.pools.items() if item is None):
        uses = [f"vms.{vm.name}" for vm in vms_by_pool.get(pool, [])]
        uses += [f"budgets.{pool}"] if pool in new_state.budgets else []
        uses += [
            f"maintenance.{w.id}" for w in new_state.waves.values() if pool in w.pools
        ]
        if uses:
            accepted = f"a ticket that also moves or removes {list_names(uses)}"
            problems.append(
                Problem(f"pools.{pool}", "null for a pool in use", accepted)
            )
    return problems


def _check_vms(new_state: FleetState, ticket: Ticket) -> list[Problem]:
    name_by_address: dict[str, str] = {}
    zone_by_rack: dict[str, str] = {}
    for vm in new_state.vms.values():
        if vm.name not in ticket.vms:
            name_by_address[vm.address] = vm.name
            zone_by_rack[vm.rack] = vm.zone
    problems = []
    for vm in (vm for vm in ticket.vms.values() if vm is not None):
        owner = name_by_address.setdefault(vm.address, vm.name)
        if owner != vm.name:
            value = f"{vm.address}, the address of VM {owner}"
            accepted = "an address that no other VM has"
            problems.append(Problem(f"vms.{vm.name}.address", value, accepted))
        zone = zone_by_rack.setdefault(vm.rack, vm.zone)
        if zone != vm.zone:
            value = f"rack {vm.rack} in zone {vm.zone}"
            accepted = f"zone {zone}, which holds the rack's other VMs"
            problems.append(Problem(f"vms.{vm.name}.rack", value, accepted))
    return problems


def _check_budgets(
    state: FleetState,
    new_state: FleetState,
    ticket: Ticket,
    vms_by_pool: dict[str, list[VirtualMachine]],
) -> list[Problem]:
    changed_pools = {vm.pool for vm in ticket.vms.values() if vm}
    changed_pools |= {state.vms[name].pool for name in ticket.vms if name in state.vms}
    changed_pools |= set(ticket.budgets)
    problems: list[Problem] = []
    for pool in sorted(changed_pools & set(new_state.budgets)):
        budget = new_state.budgets[pool]
        problems += _check_budget(budget, len(vms_by_pool.get(pool, [])))
    return problems


def _check_budget(budget: AvailabilityBudget, count: int) -> list[Problem]:
    problems = []
    for field in ("min_available", "max_unavailable"):
        value = getattr(budget, field)
        if value > count:
            seen = f"{value}, but the pool has {count} VMs after this ticket"
            accepted = f"at most {count}, or at least {value} VMs in the pool"
            problems.append(Problem(f"budgets.{budget.pool}.{field}", seen, accepted))
    return problems
