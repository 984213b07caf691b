"""The settings reference lists every key with its default."""

import dataclasses
from pathlib import Path
from typing import Any

import pytest

from sesameladder import settings
from sesameladder.model import Link, Region

PAGE = Path(__file__).parents[4] / "docs" / "OPERATIONS.md"


@pytest.mark.parametrize(
    ("settings_type", "prefix"),
    [
        (settings.EntrySettings, ""),
        (Region, "regions[]."),
        (Link, "links[]."),
        (settings.InstanceSettings, "instances[]."),
        (settings.StatsdSettings, "statsd."),
        (settings.ClientSettings, ""),
        (settings.ClientInstance, "instances[]."),
        (settings.PlatformStandinSettings, ""),
        (settings.VmRow, "vms[]."),
        (settings.UpstreamStandinSettings, ""),
        (settings.UpstreamSettings, "upstreams[]."),
    ],
)
def test_keys_are_listed(settings_type: type[Any], prefix: str) -> None:
    """Guards against a reference that misses a key or shows an old default."""
    page = PAGE.read_text(encoding="utf-8")
    for field in dataclasses.fields(settings_type):
        assert f"| `{prefix}{field.name}` | {format_default(field.default)} |" in page


def format_default(default: object) -> str:
    if default is dataclasses.MISSING:
        return ""
    shown = {None: "null", (): "[]"}
    return f"`{shown.get(default, default)}`"
