"""Readings of the steady clock and of the time of day."""

import time


def read_steady_clock() -> float:
    """Return the steady time in seconds; it advances while the VM is suspended.

    ``time.monotonic`` does not, so a lease would seem younger than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_clock_ms() -> float:
    """Return the time of day in Unix milliseconds; it may jump."""
    return time.time() * 1000
