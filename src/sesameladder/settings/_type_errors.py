"""Converts pydantic's errors into problems with a remedy."""

from collections.abc import Iterator
from dataclasses import fields, is_dataclass
from difflib import get_close_matches
from typing import Any, get_args, get_type_hints

from sesameladder.settings._document import Document, format_key
from sesameladder.settings._errors import SettingsProblem

UNITS = {
    "_per_s": "calls per second",
    "_ms": "milliseconds",
    "_s": "seconds",
    "_bytes": "bytes",
    "threads": "threads",
}

ADDRESS_REMEDY = 'give "ip:port" with an IPv4 number, such as "127.0.0.1:7000"'
NAME_REMEDY = (
    "give 1 to 63 lower-case letters, digits, dots, underscores or hyphens, "
    "starting with a letter or digit"
)

MESSAGES = {
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
WRONG_TYPE = "has the wrong type"

REMEDIES = {
    "missing": "add it",
    "string_pattern_mismatch": NAME_REMEDY,
    "string_type": "give a text in quotes",
    "bool_type": "give true or false",
    "tuple_type": "give a list",
    "dataclass_type": "give an object",
    "dataclass_exact_type": "give an object",
}


def describe_type_error(
    document: Document, kind: type[Any], error: Any
) -> SettingsProblem:
    """Return the problem that an error of pydantic stands for."""
    key = format_key(error["loc"])
    value = None if error["type"] == "missing" else error["input"]
    if error["type"] == "value_error":
        message, remedy = str(error["ctx"]["error"]), ADDRESS_REMEDY
    else:
        message = MESSAGES.get(error["type"], WRONG_TYPE)
        remedy = _find_remedy(kind, error)
    if value is None:
        return SettingsProblem(document.file, key, "", message, remedy)
    return document.problem(key, value, message, remedy)


def _find_remedy(kind: type[Any], error: Any) -> str:
    name = error["type"]
    key = str(error["loc"][-1]) if error["loc"] else ""
    if name == "unexpected_keyword_argument":
        return _suggest_key(_list_keys(kind, error["loc"][:-1]), key)
    if name in REMEDIES:
        return REMEDIES[name]
    context = error.get("ctx", {})
    if name == "literal_error":
        return f"give one of {context['expected']}"
    if name == "greater_than_equal":
        return f"give at least {context['ge']}{_name_unit(key)}"
    if name == "less_than_equal":
        return f"give at most {context['le']}{_name_unit(key)}"
    if name.startswith("int"):
        return f"give a whole number{_name_unit(key, ' of')}"
    if name.startswith(("float", "finite")):
        return f"give a finite number{_name_unit(key, ' of')}"
    return str(error["msg"])


def _name_unit(key: str, preposition: str = "") -> str:
    for suffix, unit in UNITS.items():
        if key.endswith(suffix):
            return f"{preposition} {unit}"
    return ""


def _suggest_key(accepted: list[str], key: str) -> str:
    close = get_close_matches(key, accepted, n=1)
    if close:
        unit = _name_unit(close[0], ", in")
        return f"the closest accepted key is {close[0]}{unit}"
    return f"accepted keys are {', '.join(accepted)}"


def _list_keys(kind: Any, location: tuple[int | str, ...]) -> list[str]:
    """Return the keys that an object at a location may have."""
    for part in location:
        if isinstance(part, str):
            kind = get_type_hints(kind)[part]
        kind = next(_find_classes(kind), kind)
    return [field.name for field in fields(kind)]


def _find_classes(hint: Any) -> Iterator[type[Any]]:
    """Yield the settings classes inside a type hint."""
    if is_dataclass(hint):
        yield hint  # type: ignore[misc]
    for argument in get_args(hint):
        yield from _find_classes(argument)
