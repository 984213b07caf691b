"""Stand-in for upstreams: workers that run tasks over HTTP."""

from sesameladder.standins.upstream._command import main
from sesameladder.standins.upstream._standin import UpstreamStandin

__all__ = ["UpstreamStandin", "main"]
