"""Checks for contradictory settings of entry process and operators' command."""

from collections.abc import Iterator

from sesameladder.settings._document import (
    Document,
    JsonObject,
    get_string,
    get_strings,
)
from sesameladder.settings._errors import SettingsProblem

Problems = Iterator[SettingsProblem]

MAX_DELAY_MS = 10_000


def check_entry(document: Document) -> Problems:
    """Yield the contradictions in the settings of an entry process."""
    yield from _check_regions(document)
    yield from _check_region_and_zone(document)
    yield from _check_links(document)
    yield from check_unique(document, "instances", "instance")
    yield from _check_instance_zones(document)
    yield from _check_own_instance(document)
    yield from check_addresses(document, _list_entry_addresses(document))
    yield from _check_shutdown_times(document)


def check_client(document: Document) -> Problems:
    """Yield the contradictions in the settings of the operators' command."""
    yield from check_unique(document, "instances", "instance")
    addresses = list_row_addresses(document, "instances", "admin_address")
    platform = get_string(document.values, "platform_address")
    yield from check_addresses(document, [("platform_address", platform), *addresses])


def check_unique(document: Document, list_key: str, key: str) -> Problems:
    """Yield a problem for each row whose name an earlier row of the list has."""
    seen: dict[str, str] = {}
    for path, row in document.iterate_rows(list_key):
        name = get_string(row, key)
        if name is None:
            continue
        first = seen.setdefault(name, path)
        if first != path:
            message = f"is a duplicate of {first}.{key}"
            remedy = "give each row its own name"
            yield document.build_problem(f"{path}.{key}", name, message, remedy)


Addresses = list[tuple[str, str | None]]
"""Key paths and their addresses; None for a value that is absent or not a string."""


def list_row_addresses(document: Document, list_key: str, *keys: str) -> Addresses:
    """Return the addresses under the given keys of each row in a list."""
    return [
        (f"{path}.{key}", get_string(row, key))
        for path, row in document.iterate_rows(list_key)
        for key in keys
    ]


def check_addresses(document: Document, addresses: Addresses) -> Problems:
    """Yield a problem for each address that an earlier key uses.

    Addresses with port 0 are skipped, since each of them gets a free port.
    """
    seen: dict[str, str] = {}
    for path, address in addresses:
        if address is None or address.endswith(":0"):
            continue
        first = seen.setdefault(address, path)
        if first != path:
            message = f"overlaps with {first}"
            remedy = "give each endpoint its own address"
            yield document.build_problem(path, address, message, remedy)


def _check_regions(document: Document) -> Problems:
    yield from check_unique(document, "regions", "name")
    seen: dict[str, str] = {}
    for path, row in document.iterate_rows("regions"):
        if row.get("zones") == []:
            remedy = "list at least one availability zone"
            yield document.build_problem(f"{path}.zones", [], "is empty", remedy)
        for zone in get_strings(row, "zones"):
            first = seen.setdefault(zone, path)
            if first != path or get_strings(row, "zones").count(zone) > 1:
                message = f"repeats a zone of {first}"
                remedy = "list each zone once, in one region"
                yield document.build_problem(f"{path}.zones", zone, message, remedy)
                break


def _check_region_and_zone(document: Document) -> Problems:
    region = get_string(document.values, "region")
    zone = get_string(document.values, "zone")
    zones = _get_zones_by_region(document)
    if region is not None and region not in zones:
        remedy = f"give one of {_format_names(zones)}"
        yield document.build_problem("region", region, "is not in regions", remedy)
    elif region is not None and zone is not None and zone not in zones[region]:
        message = f"is not a zone of region {region}"
        remedy = f"give one of {_format_names(zones[region])}"
        yield document.build_problem("zone", zone, message, remedy)


def _check_links(document: Document) -> Problems:
    known = _list_all_zones(document)
    seen: dict[frozenset[str | None], str] = {}
    for path, row in document.iterate_rows("links"):
        first, second = get_string(row, "first_zone"), get_string(row, "second_zone")
        for key, zone in (("first_zone", first), ("second_zone", second)):
            if zone is not None and zone not in known:
                remedy = f"give one of {_format_names(known)}"
                yield document.build_problem(
                    f"{path}.{key}", zone, "is an unknown zone", remedy
                )
        pair = frozenset((first, second))
        if first == second or seen.setdefault(pair, path) != path:
            message = "joins a zone to itself or repeats a link"
            yield document.build_problem(
                path, row, message, "list each pair of zones once"
            )
        yield from _check_delay(document, path, row)


def _check_delay(document: Document, path: str, row: JsonObject) -> Problems:
    delay = row.get("delay_ms")
    if isinstance(delay, int | float) and not 0 <= delay <= MAX_DELAY_MS:
        remedy = f"give 0 to {MAX_DELAY_MS} milliseconds"
        yield document.build_problem(
            f"{path}.delay_ms", delay, "is out of range", remedy
        )


def _check_instance_zones(document: Document) -> Problems:
    known = _list_all_zones(document)
    for path, row in document.iterate_rows("instances"):
        zone = get_string(row, "zone")
        if zone is not None and zone not in known:
            remedy = f"give one of {_format_names(known)}"
            yield document.build_problem(
                f"{path}.zone", zone, "is an unknown zone", remedy
            )


def _check_own_instance(document: Document) -> Problems:
    name = get_string(document.values, "instance")
    if name is None:
        return
    rows = [
        (path, row)
        for path, row in document.iterate_rows("instances")
        if row.get("instance") == name
    ]
    if not rows:
        remedy = "add this instance to instances"
        yield document.build_problem("instance", name, "is not in instances", remedy)
    for path, row in rows[:1]:
        for key in ("zone", "peer_address", "admin_address"):
            own = get_string(document.values, key)
            if own is not None and own != get_string(row, key):
                message = f"differs from {path}.{key}"
                yield document.build_problem(
                    key, own, message, "give both the same value"
                )


def _list_entry_addresses(document: Document) -> Addresses:
    own = ("platform_address", "http_address")
    return [
        *((key, get_string(document.values, key)) for key in own),
        *list_row_addresses(document, "instances", "peer_address", "admin_address"),
    ]


def _check_shutdown_times(document: Document) -> Problems:
    """Check that the drain delay, which counts towards the limit, is shorter."""
    delay_ms = document.values.get("drain_delay_ms")
    limit_s = document.values.get("shutdown_limit_s")
    if type(delay_ms) is int and type(limit_s) is int and delay_ms >= limit_s * 1000:
        message = f"is not shorter than shutdown_limit_s = {limit_s}"
        remedy = f"give less than {limit_s * 1000} milliseconds"
        yield document.build_problem("drain_delay_ms", delay_ms, message, remedy)


def _get_zones_by_region(document: Document) -> dict[str, list[str]]:
    """Return the zones of each region by its name."""
    return {
        name: get_strings(row, "zones")
        for _, row in document.iterate_rows("regions")
        if (name := get_string(row, "name")) is not None
    }


def _list_all_zones(document: Document) -> list[str]:
    return [zone for zones in _get_zones_by_region(document).values() for zone in zones]


def _format_names(names: list[str] | dict[str, list[str]]) -> str:
    return ", ".join(names) or "the names in regions"
