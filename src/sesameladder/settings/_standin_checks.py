"""Checks for contradictory values in the settings of the stand-ins."""

from sesameladder.settings._checks import (
    Problems,
    check_addresses,
    check_unique,
    list_row_addresses,
)
from sesameladder.settings._document import Document, get_string


def check_platform_standin(document: Document) -> Problems:
    """Yield the contradictions in the settings of the platform stand-in."""
    yield from check_unique(document, "vms", "name")
    own = ("address", get_string(document.values, "address"))
    yield from check_addresses(
        document, [own, *list_row_addresses(document, "vms", "address")]
    )


def check_upstream_standin(document: Document) -> Problems:
    """Yield the contradictions in the settings of an upstream stand-in."""
    yield from check_unique(document, "upstreams", "name")
    yield from check_addresses(
        document, list_row_addresses(document, "upstreams", "address")
    )
