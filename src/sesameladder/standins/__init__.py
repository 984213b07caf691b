"""Stand-ins for the platform and for upstreams, for tests and trials only."""

from sesameladder.standins._clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
