"""Assigns cells to the entry instances that dispatch them."""

from collections.abc import Iterable
from hashlib import blake2b

from sesameladder.planning._observation import CellReport
from sesameladder.planning._plan import cell_key
from sesameladder.planning._rows import DispatcherRow
from sesameladder.planning._step import PlannerStep


def choose_instance(pool: str, zone: str, instances: Iterable[str]) -> str | None:
    """Return the instance with the highest rendezvous hash for a cell."""
    return max(
        instances,
        key=lambda instance: blake2b(
            f"{pool}/{zone}/{instance}".encode(), digest_size=8
        ).digest(),
        default=None,
    )


def assign_cells(step: PlannerStep) -> None:
    """Assign an owner to new cells and replace owners that are gone or leaving."""
    unusable = step.gone | step.observation.leaving_entries
    for key, (pool, zone) in step.index.cells.items():
        row = step.draft.dispatchers.rows.get(key)
        if row is None:
            _assign_new(step, pool, zone)
        elif row.previous_owner is not None or row.instance in unusable:
            _update_owner(step, row)
    _drop_unused(step)


def _assign_new(step: PlannerStep, pool: str, zone: str) -> None:
    configured = step.settings.instances.get(zone, ())
    usable = [name for name in configured if _is_usable(step, name)]
    instance = choose_instance(pool, zone, usable or _list_live(step, zone))
    if instance is not None:
        step.draft.dispatchers.assign(pool, zone, instance, step.gone)


def _update_owner(step: PlannerStep, row: DispatcherRow) -> None:
    key = cell_key(row.pool, row.zone)
    report = step.observation.cells.get(key)
    if row.previous_owner is not None and _owner_grants(row, report):
        step.draft.dispatchers.complete_change(key)
    if _is_usable(step, row.instance):
        if row.previous_owner in step.gone:
            step.draft.dispatchers.assign(row.pool, row.zone, row.instance, step.gone)
        return
    instance = choose_instance(row.pool, row.zone, _list_live(step, row.zone))
    if instance is not None and instance != row.instance:
        step.draft.dispatchers.assign(row.pool, row.zone, instance, step.gone)


def report_silent_owners(step: PlannerStep) -> None:
    """Raise an alarm for each entry instance that owns cells but does not report.

    Its cells can't be assigned to another instance until the platform lists it as
    gone, so the operators have to find out whether it still runs.
    """
    silent: set[str] = set()
    for key, row in step.draft.base.dispatchers.items():
        report = step.observation.cells.get(key)
        if report is None or not report.alive:
            silent.add(row.instance)
    since = step.memory.silent_since
    for instance in [name for name in since if name not in silent]:
        del since[instance]
        step.clear_alarm("owner_silent", instance)
    for instance in sorted(silent):
        start = since.setdefault(instance, step.now)
        if step.now - start >= step.settings.silent_owner_alarm_s:
            step.raise_alarm(
                "owner_silent",
                instance,
                f"entry instance {instance} owns cells and has not reported for"
                f" {step.settings.silent_owner_alarm_s:g} s",
            )


def _drop_unused(step: PlannerStep) -> None:
    """Remove cells without VMs whose pool is not in the configuration."""
    pools = step.draft.context.state.pools
    for key, row in list(step.draft.dispatchers.rows.items()):
        if row.pool not in pools and key not in step.index.cells:
            step.draft.dispatchers.drop(key)


def _owner_grants(row: DispatcherRow, report: CellReport | None) -> bool:
    if report is None or report.instance != row.instance:
        return False
    return report.alive and report.granting


def _is_usable(step: PlannerStep, instance: str) -> bool:
    return instance not in step.gone and (
        instance not in step.observation.leaving_entries
    )


def _list_live(step: PlannerStep, zone: str) -> list[str]:
    live = step.observation.live_entries.get(zone, ())
    return [name for name in live if _is_usable(step, name)]
