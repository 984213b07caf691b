"""Measurements of the planner under an injected clock and small fakes."""

from sesameladder.measure._entry import MeasureEntry
from sesameladder.measure._planning_buffer import measure_buffer
from sesameladder.measure._planning_cost import measure_cost
from sesameladder.measure._planning_moves import measure_moves
from sesameladder.measure._planning_rollout import measure_rollout

TARGET_DEPLOYMENT = "target-size"


def measure(deployment: str, seed: int) -> list[MeasureEntry]:
    """Return the planner's figures for a deployment.

    The time and memory of a step are wall-clock figures of the machine. All
    others depend on the seed only.
    """
    entries = measure_rollout(deployment, seed)
    if deployment == TARGET_DEPLOYMENT:
        return entries + measure_cost(deployment)
    return entries + measure_moves(deployment, seed) + measure_buffer(deployment, seed)
