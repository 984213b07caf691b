"""The process that runs on each entry VM of the platform."""

from sesameladder.node._process import main

__all__ = ["main"]
