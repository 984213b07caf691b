"""Clocks of the process."""

import time


def read_steady_clock() -> float:
    """Return seconds that go on while the VM is suspended.

    The usual monotonic clock stands still then, and a lease would look younger
    than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_clock_ms() -> float:
    """Return the time of day in Unix milliseconds; it may jump."""
    return time.time() * 1000
