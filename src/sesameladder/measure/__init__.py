"""Measurements of the decision code under injected clocks and fixed seeds.

Each measurement module offers ``measure(deployment, seed)``, which returns a
list of ``MeasureEntry``.
"""

from sesameladder.measure._entry import MeasureEntry

__all__ = ["MeasureEntry"]
