"""Transcript lines for the changes between two plans."""

from collections.abc import Iterator

from sesameladder.planning import Phase, RegionPlan, VmRow

# Phases of a planned stop before its reboot.
PHASES_BEFORE_REBOOT = (Phase.LEAVING, Phase.DRAINED)


def describe_changes(old: RegionPlan, new: RegionPlan) -> Iterator[str]:
    """Return a line for each changed VM and dispatcher, by name."""
    if not old.rows:
        cells = len(new.dispatchers)
        yield f"first plan with {len(new.rows)} VMs and {cells} cells"
        return
    for name in sorted(new.rows):
        before, after = old.rows.get(name), new.rows[name]
        if before is None or (before.phase, before.pool) != (after.phase, after.pool):
            yield _describe_row(before, after)
    for key in sorted(new.dispatchers):
        owner = new.dispatchers[key].instance
        if key in old.dispatchers and old.dispatchers[key].instance != owner:
            yield f"dispatcher of {key} is {owner}"


def _describe_row(before: VmRow | None, row: VmRow) -> str:
    if row.phase is Phase.LEAVING and row.target_pool is not None:
        return f"move of {row.vm} to {row.target_pool} permitted"
    if row.phase is Phase.LEAVING:
        permit = (row.permit or "").replace(":", " ")
        return f"stop of {row.vm} permitted ({permit})"
    if row.phase is Phase.SERVING and before and before.phase in PHASES_BEFORE_REBOOT:
        return f"stop of {row.vm} abandoned, it serves {row.pool}"
    if row.phase is Phase.SERVING:
        return f"{row.vm} serves {row.pool}"
    return f"{row.vm} is {row.phase.value.replace('_', ' ')}"
