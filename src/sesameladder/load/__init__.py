"""Plays a described load against nodes beside the stand-ins, and reports what it did.

``sesameladder load FILE --report FOLDER`` starts node processes on this machine, makes
the calls of the described streams, and writes tables and plots of what was served,
refused and waiting, and of the store's use, over time.
"""

from sesameladder.load._play import play
from sesameladder.load._report import write_report
from sesameladder.load._samples import Answer, Record, Sample, StoreUse
from sesameladder.load._schedule import Arrival, CallKind, draw_arrivals

__all__ = [
    "Answer",
    "Arrival",
    "CallKind",
    "Record",
    "Sample",
    "StoreUse",
    "draw_arrivals",
    "play",
    "write_report",
]
