"""Entry point of ``python -m sesameladder.entry``."""

from sesameladder.entry import main

main()
