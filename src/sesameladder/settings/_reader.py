"""Reads a settings file and converts it to a settings class."""

import json
import re
from pathlib import Path
from typing import Any, TypeVar

import json5
from pydantic import TypeAdapter, ValidationError

from sesameladder.settings._errors import SettingsInvalid, SettingsProblem

SHOWN_VALUE_CHARACTERS = 80
SYNTAX_ERROR = re.compile(r"^<string>:(\d+) (.*)$", re.DOTALL)

T = TypeVar("T")


def read_settings(kind: type[T], path: str | Path) -> T:
    """Return the settings in a file; raises SettingsInvalid with every problem."""
    document = parse_text(read_text(path), str(path))
    return convert_document(kind, document, str(path))


def read_text(path: str | Path) -> str:
    """Return a file's text; raises SettingsInvalid when it can't be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(
            [SettingsProblem(str(path), "", "", f"can't be read: {error}")]
        ) from error


def parse_text(text: str, file: str) -> object:
    """Return the value of a JSON-with-comments text."""
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise SettingsInvalid([_describe_syntax_error(error, file)]) from error


def convert_document(kind: type[T], document: object, file: str) -> T:
    """Return a parsed document as a settings class."""
    text = json.dumps(document)
    try:
        return TypeAdapter(kind).validate_json(text)
    except ValidationError as error:
        problems = [_describe_error(row, file) for row in error.errors()]
        raise SettingsInvalid(problems) from error


def _describe_syntax_error(error: Exception, file: str) -> SettingsProblem:
    match = SYNTAX_ERROR.match(str(error))
    if match is None:
        return SettingsProblem(file, "", "", f"is not JSON with comments: {error}")
    message = f"is not JSON with comments: {match[2]}"
    return SettingsProblem(file, "", "", message, line=int(match[1]))


def _describe_error(row: Any, file: str) -> SettingsProblem:
    value = json.dumps(row["input"])[:SHOWN_VALUE_CHARACTERS]
    return SettingsProblem(file, format_key(row["loc"]), value, row["msg"])


def format_key(location: tuple[int | str, ...]) -> str:
    """Return a key path, for example ``regions[0].name``."""
    parts = [f"[{part}]" if isinstance(part, int) else f".{part}" for part in location]
    return "".join(parts).removeprefix(".")
