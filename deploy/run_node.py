"""Runs ``sesameladder-node`` from a checkout, with the built dependencies."""

import signal
import sys
from pathlib import Path

if __name__ == "__main__":
    # SIGHUP would end the process until its handler is set. The imports take up to a
    # second, and the settings are read after them, so the signal is not needed yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
    from sesameladder.node import main

    sys.exit(main())
