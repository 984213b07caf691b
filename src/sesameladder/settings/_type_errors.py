"""Converts validation errors of pydantic to problems with a remedy."""

from collections.abc import Iterator
from dataclasses import fields, is_dataclass
from difflib import get_close_matches
from typing import Any, get_args, get_type_hints

from sesameladder.settings._document import Document, format_key_path
from sesameladder.settings._errors import SettingsProblem

# The first suffix that a key ends with determines its unit.
UNITS_BY_KEY_SUFFIX = {
    "_per_s": "calls per second",
    "_ms": "milliseconds",
    "_s": "seconds",
    "_bytes": "bytes",
    "threads": "threads",
}

ADDRESS_REMEDY = 'give "ip:port" with an IPv4 address, such as "127.0.0.1:7000"'
NAME_REMEDY = (
    "give 1 to 63 lower-case letters, digits, dots, underscores or hyphens, "
    "starting with a letter or digit"
)

MESSAGES_BY_ERROR_TYPE = {
    "missing": "is missing",
    "unexpected_keyword_argument": "is an unknown key",
    "string_pattern_mismatch": "is not a name",
    "greater_than_equal": "is out of range",
    "less_than_equal": "is out of range",
    "finite_number": "is not a finite number",
    "literal_error": "is not accepted",
    "string_too_short": "is too short",
    "string_too_long": "is too long",
    "too_short": "has too few items",
    "too_long": "has too many items",
}
WRONG_TYPE_MESSAGE = "has the wrong type"

REMEDIES_BY_ERROR_TYPE = {
    "missing": "add it",
    "string_pattern_mismatch": NAME_REMEDY,
    "string_type": "give a text in quotes",
    "bool_type": "give true or false",
    "tuple_type": "give a list",
    "dataclass_type": "give an object",
    "dataclass_exact_type": "give an object",
}


def build_type_problem(
    document: Document, settings_type: type[Any], error: Any
) -> SettingsProblem:
    """Return the problem that describes a validation error of pydantic."""
    key = format_key_path(error["loc"])
    value = None if error["type"] == "missing" else error["input"]
    if error["type"] == "value_error":
        message, remedy = str(error["ctx"]["error"]), ADDRESS_REMEDY
    else:
        message = MESSAGES_BY_ERROR_TYPE.get(error["type"], WRONG_TYPE_MESSAGE)
        remedy = _find_remedy(settings_type, error)
    if value is None:
        return SettingsProblem(document.file, key, "", message, remedy)
    return document.build_problem(key, value, message, remedy)


def _find_remedy(settings_type: type[Any], error: Any) -> str:
    error_type = error["type"]
    key = str(error["loc"][-1]) if error["loc"] else ""
    if error_type == "unexpected_keyword_argument":
        return _suggest_key(_list_keys(settings_type, error["loc"][:-1]), key)
    if error_type in REMEDIES_BY_ERROR_TYPE:
        return REMEDIES_BY_ERROR_TYPE[error_type]
    context = error.get("ctx", {})
    if error_type == "literal_error":
        return f"give one of {context['expected']}"
    if error_type == "greater_than_equal":
        return f"give at least {context['ge']}{_format_unit(key)}"
    if error_type == "less_than_equal":
        return f"give at most {context['le']}{_format_unit(key)}"
    if error_type.startswith("int"):
        return f"give a whole number{_format_unit(key, ' of')}"
    if error_type.startswith(("float", "finite")):
        return f"give a finite number{_format_unit(key, ' of')}"
    return str(error["msg"])


def _format_unit(key: str, preposition: str = "") -> str:
    for suffix, unit in UNITS_BY_KEY_SUFFIX.items():
        if key.endswith(suffix):
            return f"{preposition} {unit}"
    return ""


def _suggest_key(accepted_keys: list[str], key: str) -> str:
    close_matches = get_close_matches(key, accepted_keys, n=1)
    if close_matches:
        unit = _format_unit(close_matches[0], ", in")
        return f"the closest accepted key is {close_matches[0]}{unit}"
    return f"accepted keys are {', '.join(accepted_keys)}"


def _list_keys(settings_type: Any, location: tuple[int | str, ...]) -> list[str]:
    """Return the keys that are accepted in the object at a location."""
    for part in location:
        if isinstance(part, str):
            settings_type = get_type_hints(settings_type)[part]
        settings_type = next(_iterate_dataclasses(settings_type), settings_type)
    return [field.name for field in fields(settings_type)]


def _iterate_dataclasses(hint: Any) -> Iterator[type[Any]]:
    """Yield the settings classes inside a type hint."""
    if is_dataclass(hint):
        yield hint  # type: ignore[misc]
    for argument in get_args(hint):
        yield from _iterate_dataclasses(argument)
