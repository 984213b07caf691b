"""Measurements of the decision code under injected clocks and fixed seeds.

Each measurement module has a function ``measure(deployment, seed)`` that returns
a list of ``MeasureEntry``.
"""

from sesameladder.measure._entry import MeasureEntry

__all__ = ["MeasureEntry"]
