"""Measurements of the planner with an injected clock and a fake region."""

from sesameladder.measure._entry import MeasureEntry
from sesameladder.measure._planning_buffer import measure_buffer
from sesameladder.measure._planning_cost import measure_cost
from sesameladder.measure._planning_moves import measure_moves
from sesameladder.measure._planning_rollout import measure_rollout

TARGET_DEPLOYMENT = "target-size"


def measure(deployment: str, seed: int) -> list[MeasureEntry]:
    """Return the planner's entries for a deployment.

    The time and memory of a step depend on the hardware, all other figures only on
    the seed.
    """
    entries = measure_rollout(deployment, seed)
    if deployment == TARGET_DEPLOYMENT:
        return entries + measure_cost(deployment)
    return entries + measure_moves(deployment, seed) + measure_buffer(deployment, seed)
