"""JSON lines on standard error."""

import logging

from pythonjsonlogger.json import JsonFormatter


def configure_logging(level: str, program: str, instance: str) -> None:
    """Log as JSON lines with the program and the instance in each line."""
    handler = logging.StreamHandler()
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            static_fields={"program": program, "instance": instance},
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
