"""Runs ``sesameladder-node`` from a checkout, with the built dependencies."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sesameladder.node import main

if __name__ == "__main__":
    sys.exit(main())
