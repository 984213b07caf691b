"""Settings files in JSON with comments, validated before a program starts."""

from sesameladder.settings._entry import (
    ClientInstance,
    ClientSettings,
    EntrySettings,
    InstanceSettings,
    StatsdSettings,
)
from sesameladder.settings._errors import SettingsInvalid, SettingsProblem
from sesameladder.settings._load import (
    LoadDescription,
    LoadMix,
    LoadStream,
    StoreBehaviour,
)
from sesameladder.settings._standins import (
    PlatformStandinSettings,
    UpstreamSettings,
    UpstreamStandinSettings,
    VmRow,
)

__all__ = [
    "ClientInstance",
    "ClientSettings",
    "EntrySettings",
    "InstanceSettings",
    "LoadDescription",
    "LoadMix",
    "LoadStream",
    "PlatformStandinSettings",
    "SettingsInvalid",
    "SettingsProblem",
    "StatsdSettings",
    "StoreBehaviour",
    "UpstreamSettings",
    "UpstreamStandinSettings",
    "VmRow",
]
