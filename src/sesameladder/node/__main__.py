"""Runs ``sesameladder-node``."""

import sys

from sesameladder.node import main

if __name__ == "__main__":
    sys.exit(main())
