"""The ``sesameladder-entry`` process."""

from sesameladder.entry._command import main
from sesameladder.entry._process import EntryProcess

__all__ = ["EntryProcess", "main"]
