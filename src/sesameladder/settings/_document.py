"""A parsed settings file whose types were not validated yet."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from sesameladder.settings._errors import SettingsProblem

MAX_SHOWN_VALUE_CHARACTERS = 80

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Document:
    """The values of a settings file.

    A value of the wrong type counts as absent here, since the type check
    reports it.
    """

    file: str
    """Path of the settings file as it was given."""

    root: Any
    """Value of the whole file."""

    @property
    def values(self) -> JsonObject:
        """The top-level object; empty when the file holds another JSON value."""
        return self.root if isinstance(self.root, dict) else {}

    def iterate_rows(self, key: str) -> Iterator[tuple[str, JsonObject]]:
        """Yield the key path and the value of each object in a top-level list."""
        rows = self.values.get(key)
        for index, row in enumerate(rows if isinstance(rows, list) else []):
            if isinstance(row, dict):
                yield f"{key}[{index}]", row

    def build_problem(
        self, key: str, value: Any, message: str, remedy: str
    ) -> SettingsProblem:
        """Return a problem of a value in this file."""
        return SettingsProblem(self.file, key, format_value(value), message, remedy)


def get_string(row: JsonObject, key: str) -> str | None:
    """Return a string value, or None when it is absent or of another type."""
    value = row.get(key)
    return value if isinstance(value, str) else None


def get_strings(row: JsonObject, key: str) -> list[str]:
    """Return the strings in a list value, in order; other items are left out."""
    values = row.get(key)
    if not isinstance(values, list):
        return []
    return [value for value in values if isinstance(value, str)]


def format_value(value: Any) -> str:
    """Return a value as JSON, cut off after MAX_SHOWN_VALUE_CHARACTERS."""
    text = json.dumps(value, default=repr)
    if len(text) <= MAX_SHOWN_VALUE_CHARACTERS:
        return text
    return text[:MAX_SHOWN_VALUE_CHARACTERS] + "..."


def format_key_path(location: tuple[int | str, ...]) -> str:
    """Return a key path, for example ``regions[0].name``."""
    parts = [f"[{part}]" if isinstance(part, int) else f".{part}" for part in location]
    return "".join(parts).removeprefix(".")
