"""Reads a settings file into an instance of a settings class."""

import json
import re
from collections.abc import Callable, Iterable
from functools import cache
from pathlib import Path
from typing import Any, TypeVar

import json5
from pydantic import TypeAdapter, ValidationError

from sesameladder.settings._document import Document
from sesameladder.settings._errors import SettingsInvalid, SettingsProblem
from sesameladder.settings._type_errors import build_type_problem

MAX_FILE_CHARACTERS = 4_000_000
SYNTAX_ERROR_PATTERN = re.compile(r"^<string>:(\d+) (.*)$", re.DOTALL)
SYNTAX_REMEDY = "give one JSON object; // and /* */ comments are allowed"

ContradictionCheck = Callable[[Document], Iterable[SettingsProblem]]
"""Finds the contradictions between values of a document."""

SettingsT = TypeVar("SettingsT")


def read_settings(
    settings_type: type[SettingsT], path: str | Path, check: ContradictionCheck
) -> SettingsT:
    """Return the settings in a file; raises SettingsInvalid with every problem."""
    return parse_settings(settings_type, read_file(path), str(path), check)


def parse_settings(
    settings_type: type[SettingsT], text: str, file: str, check: ContradictionCheck
) -> SettingsT:
    """Return the settings in a JSON text; raises SettingsInvalid with every problem."""
    document = Document(file, parse_text(text, file))
    settings: SettingsT | None
    settings, problems = _validate_types(settings_type, document)
    problems = [*problems, *check(document)]
    if settings is None or problems:
        raise SettingsInvalid(problems)
    return settings


def read_file(path: str | Path) -> str:
    """Return a file's text; raises SettingsInvalid when it can't be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        message = f"can't be read: {error}"
        problem = SettingsProblem(
            str(path), "", "", message, "give the path of a readable UTF-8 file"
        )
        raise SettingsInvalid([problem]) from error


def parse_text(text: str, file: str) -> Any:
    """Return the value of a JSON-with-comments text; raises SettingsInvalid."""
    try:
        if len(text) > MAX_FILE_CHARACTERS:
            raise ValueError(f"has over {MAX_FILE_CHARACTERS} characters")
        value = json5.loads(text, allow_duplicate_keys=False)
        # Rejects values that can't be written as JSON again, such as integers of
        # more than 4300 digits, which is Python's limit for their conversion.
        json.dumps(value)
    except (ValueError, RecursionError) as error:
        raise SettingsInvalid([_build_syntax_problem(error, file)]) from error
    return value


def _validate_types(
    settings_type: Any, document: Document
) -> tuple[Any, list[SettingsProblem]]:
    """Return the settings, or None and the problems of their types.

    JSON text is validated, since the strict mode of pydantic accepts a list for
    a tuple and an object for a dataclass only there.
    """
    try:
        return _get_type_adapter(settings_type).validate_json(
            json.dumps(document.root)
        ), []
    except ValidationError as error:
        errors = error.errors(include_url=False)
    return None, [
        build_type_problem(document, settings_type, error) for error in errors
    ]


@cache
def _get_type_adapter(settings_type: Any) -> TypeAdapter[Any]:
    """Return the validator of a settings class; cached, as it is slow to build."""
    return TypeAdapter(settings_type)


def _build_syntax_problem(error: Exception, file: str) -> SettingsProblem:
    match = SYNTAX_ERROR_PATTERN.match(str(error))
    line = int(match[1]) if match else None
    detail = match[2] if match else str(error)
    message = f"is not JSON with comments: {detail}"
    return SettingsProblem(file, "", "", message, SYNTAX_REMEDY, line)
