"""The ``sesameladder-entry`` process, which forwards callers' requests to workers."""

from sesameladder.entry._command import main
from sesameladder.entry._process import EntryProcess

__all__ = ["EntryProcess", "main"]
