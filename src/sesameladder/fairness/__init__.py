"""Arithmetic of weighted fair queueing, for teams and for organisations.

The package decides only: it opens no sockets and reads no clocks.
"""

from sesameladder.fairness._virtual_times import VirtualTimes

__all__ = ["VirtualTimes"]
