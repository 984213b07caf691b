"""Logging as JSON lines with stable event names.

Each line has ``timestamp`` (UTC), ``level``, ``logger``, ``program``,
``instance``, ``event`` and ``message``, and the fields of the event. Frequent
fields are ``request``, ``ticket``, ``vm`` and ``zone``.
"""

import logging
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from sesameladder.eventlog._events import EVENTS

PLAIN_TEXT_EVENT = "message"
"""Event name of lines that are logged without an event, such as by libraries."""

FIELDS_ATTRIBUTE = "event_fields"
RECORD_FORMAT = "%(levelname)s %(name)s %(message)s"
RENAMED_FIELDS = {"levelname": "level", "name": "logger"}


def configure_logging(level: str, program: str, instance: str) -> None:
    """Log JSON lines of a level and above to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(EventFormatter(program, instance))
    logging.basicConfig(level=level, handlers=[handler], force=True)


def log_event(
    logger: logging.Logger, level: int, event: str, /, **fields: object
) -> None:
    """Log an event with its fields; its message comes from ``EVENTS``."""
    extra = {"event": event, FIELDS_ATTRIBUTE: fields}
    logger.log(level, EVENTS.get(event, event), extra=extra, stacklevel=2)


class EventFormatter(JsonFormatter):
    """Formats a log record as one JSON object."""

    def __init__(self, program: str, instance: str) -> None:
        super().__init__(
            RECORD_FORMAT,
            rename_fields=RENAMED_FIELDS,
            static_fields={"program": program, "instance": instance},
            timestamp=True,
        )

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Add the event and its fields; a field named like another key gets a ``_``."""
        super().add_fields(log_data, record, message_dict)
        fields = log_data.pop(FIELDS_ATTRIBUTE, {})
        for name, value in fields.items():
            log_data[f"{name}_" if name in log_data else name] = value
        log_data.setdefault("event", PLAIN_TEXT_EVENT)
