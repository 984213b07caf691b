"""Stand-in for the platform: store, VM list and VM actions over HTTP."""

from sesameladder.standins.platform._command import main
from sesameladder.standins.platform._standin import PlatformStandin

__all__ = ["PlatformStandin", "main"]
