"""Runs ``sesameladder-entry``."""

from sesameladder.entry import main

main()
