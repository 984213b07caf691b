"""Invalid settings are rejected with every problem, its key and a remedy."""

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameladder.settings import (
    ClientSettings,
    EntrySettings,
    PlatformStandinSettings,
    SettingsInvalid,
    UpstreamStandinSettings,
)

ENTRY: dict[str, Any] = {
    "deployment": "trial",
    "region": "queensland",
    "zone": "zone-a",
    "instance": "entry-1",
    "http_address": "127.0.0.1:7001",
    "admin_address": "127.0.0.1:7002",
    "peer_address": "127.0.0.1:7003",
    "platform_address": "127.0.0.1:7000",
    "regions": [{"name": "queensland", "zones": ["zone-a", "zone-b"]}],
    "links": [{"first_zone": "zone-a", "second_zone": "zone-b", "delay_ms": 0.5}],
    "instances": [
        {
            "instance": "entry-1",
            "zone": "zone-a",
            "peer_address": "127.0.0.1:7003",
            "admin_address": "127.0.0.1:7002",
        },
        {
            "instance": "entry-2",
            "zone": "zone-b",
            "peer_address": "127.0.0.1:7013",
            "admin_address": "127.0.0.1:7012",
        },
    ],
    "drain_delay_ms": 1000,
    "shutdown_limit_s": 60,
}
CLIENT: dict[str, Any] = {
    "platform_address": "127.0.0.1:7000",
    "zone": "zone-a",
    "region": "queensland",
    "author": "fitting floor",
    "instances": [
        {
            "instance": "entry-1",
            "zone": "zone-a",
            "admin_address": "127.0.0.1:7002",
        }
    ],
}
PLATFORM: dict[str, Any] = {
    "address": "127.0.0.1:0",
    "vms": [
        {
            "name": "w1",
            "zone": "zone-a",
            "address": "127.0.0.1:7101",
            "kind": "upstream",
        }
    ],
}
UPSTREAM: dict[str, Any] = {
    "upstreams": [{"name": "w1", "address": "127.0.0.1:7101", "slots": 8}]
}
REMOVED = object()

VALID_DOCUMENTS: dict[type[Any], dict[str, Any]] = {
    EntrySettings: ENTRY,
    ClientSettings: CLIENT,
    PlatformStandinSettings: PLATFORM,
    UpstreamStandinSettings: UPSTREAM,
}


def copy_with_value(document: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a copy with the value at a path such as ``links.0.delay_ms`` set."""
    changed = copy.deepcopy(document)
    target: Any = changed
    *parents, last = path.split(".")
    for part in parents:
        target = target[int(part)] if isinstance(target, list) else target[part]
    if value is REMOVED:
        del target[last]
    elif last == "+":
        target.append(value)
    else:
        target[int(last) if isinstance(target, list) else last] = value
    return changed


def collect_problems(settings_type: type[Any], directory: Path, text: str) -> list[Any]:
    file = directory / "settings.jsonc"
    file.write_text(text, encoding="utf-8")
    with pytest.raises(SettingsInvalid) as refusal:
        settings_type.from_file(file)
    for problem in refusal.value.problems:
        assert problem.file == str(file)
        assert problem.message
        assert problem.remedy
        assert str(problem) in str(refusal.value)
    return refusal.value.problems


@pytest.mark.parametrize(
    "settings_type", VALID_DOCUMENTS, ids=lambda settings_type: settings_type.__name__
)
def test_base_documents_are_accepted(settings_type: type[Any], tmp_path: Path) -> None:
    """Guards against tables below whose unchanged documents are invalid already."""
    file = tmp_path / "settings.jsonc"
    file.write_text("// comment\n" + json.dumps(VALID_DOCUMENTS[settings_type]))
    assert isinstance(settings_type.from_file(file), settings_type)


@pytest.mark.parametrize(
    ("path", "value", "key", "message", "remedy"),
    [
        ("zone", REMOVED, "zone", "is missing", "add it"),
        ("drain_delay_s", 1, "drain_delay_s", "unknown key", "drain_delay_ms, in mill"),
        ("color", 1, "color", "unknown key", "accepted keys are deployment, region"),
        ("drain_delay_ms", "1s", "drain_delay_ms", "wrong type", "of milliseconds"),
        ("drain_delay_ms", 0.5, "drain_delay_ms", "wrong type", "whole number of mil"),
        ("drain_delay_ms", True, "drain_delay_ms", "wrong type", "whole number"),
        ("drain_delay_ms", -1, "drain_delay_ms", "out of range", "at least 0 milli"),
        ("shutdown_limit_s", 90000, "shutdown_limit_s", "out of range", "3600 seconds"),
        ("shutdown_limit_s", 1, "drain_delay_ms", "not shorter", "less than 1000"),
        ("request_timeout_ms", 5, "request_timeout_ms", "out of range", "at least 100"),
        ("max_body_bytes", 10**9, "max_body_bytes", "out of range", "16000000 bytes"),
        ("http_threads", 1, "http_threads", "out of range", "at least 4 threads"),
        ("http_threads", None, "http_threads", "wrong type", "whole number of thr"),
        ("log_level", "LOUD", "log_level", "not accepted", "'DEBUG', 'INFO'"),
        ("deployment", 7, "deployment", "wrong type", "text in quotes"),
        ("deployment", "Coral Strand", "deployment", "not a name", "lower-case"),
        ("region", "bavaria", "region", "not in regions", "queensland"),
        ("zone", "zone-z", "zone", "not a zone of region", "zone-a, zone-b"),
        ("instance", "entry-9", "instance", "not in instances", "add this instance"),
        ("http_address", "localhost:80", "http_address", "no IPv4", "ip:port"),
        ("http_address", "127.0.0.1", "http_address", "no port", "ip:port"),
        ("http_address", "127.0.0.1:0", "http_address", "port 0", "ip:port"),
        ("http_address", "127.0.0.1:70000", "http_address", "over 65535", "ip:port"),
        ("http_address", "127.0.0.1:+80", "http_address", "no port", "ip:port"),
        ("http_address", "0.0.0.0:80", "http_address", "connected to", "ip:port"),
        ("http_address", "127.0.0.1:7000", "http_address", "overlaps", "its own"),
        ("peer_address", "127.0.0.1:9", "peer_address", "differs from", "same value"),
        ("regions", [], "regions", "too few", ""),
        ("regions", {}, "regions", "wrong type", "give a list"),
        ("regions.0.zones", [], "regions[0].zones", "is empty", "at least one"),
        ("regions.0.size", 1, "regions[0].size", "unknown key", "name, zones"),
        ("regions.0.name", REMOVED, "regions[0].name", "is missing", "add it"),
        ("regions.+", ENTRY["regions"][0], "regions[1].name", "duplicate", "own name"),
        (
            "regions.+",
            {"name": "bavaria", "zones": ["zone-a"]},
            "regions[1].zones",
            "repeats a zone",
            "in one region",
        ),
        ("links.0.delay_ms", "0.5 ms", "links[0].delay_ms", "wrong type", "number of"),
        ("links.0.delay_ms", -2, "links[0].delay_ms", "out of range", "milliseconds"),
        ("links.0.first_zone", "x", "links[0].first_zone", "unknown zone", "zone-a"),
        ("links.0.first_zone", "zone-b", "links[0]", "to itself", "each pair"),
        ("links.+", ENTRY["links"][0], "links[1]", "repeats a link", "each pair"),
        ("instances.1.zone", "x", "instances[1].zone", "unknown zone", "zone-a"),
        (
            "instances.1.instance",
            "entry-1",
            "instances[1].instance",
            "duplicate of instances[0]",
            "its own name",
        ),
        (
            "instances.1.peer_address",
            "127.0.0.1:7002",
            "instances[1].peer_address",
            "overlaps with instances[0].admin_address",
            "its own address",
        ),
        ("instances.1", [], "instances[1]", "wrong type", "give an object"),
        ("statsd", {"address": "a"}, "statsd.address", "no port", "ip:port"),
        ("statsd", {"address": "a"}, "statsd.prefix", "is missing", "add it"),
        ("statsd", {"port": 1}, "statsd.port", "unknown key", "address, prefix"),
    ],
)
def test_entry_settings(
    tmp_path: Path, path: str, value: Any, key: str, message: str, remedy: str
) -> None:
    """Guards against an error that does not name the key, the reason or the remedy."""
    problems = collect_problems(
        EntrySettings, tmp_path, json.dumps(copy_with_value(ENTRY, path, value))
    )
    matching = [
        problem
        for problem in problems
        if problem.key == key and message in problem.message
    ]
    assert matching, [str(problem) for problem in problems]
    assert remedy in matching[0].remedy


@pytest.mark.parametrize(
    ("settings_type", "path", "value", "key", "message"),
    [
        (ClientSettings, "author", "", "author", "too short"),
        (
            ClientSettings,
            "instances.+",
            CLIENT["instances"][0],
            "instances[1].instance",
            "duplicate",
        ),
        (
            ClientSettings,
            "platform_address",
            "127.0.0.1:7002",
            "instances[0].admin_address",
            "overlaps",
        ),
        (PlatformStandinSettings, "writes_per_s", 0, "writes_per_s", "range"),
        (PlatformStandinSettings, "vms.0.kind", "vm", "vms[0].kind", "not accepted"),
        (
            PlatformStandinSettings,
            "vms.+",
            PLATFORM["vms"][0],
            "vms[1].address",
            "overlaps",
        ),
        (UpstreamStandinSettings, "upstreams", [], "upstreams", "too few"),
        (UpstreamStandinSettings, "upstreams.0.slots", 0, "upstreams[0].slots", "rang"),
        (
            UpstreamStandinSettings,
            "upstreams.+",
            UPSTREAM["upstreams"][0],
            "upstreams[1].name",
            "duplicate",
        ),
    ],
)
def test_other_settings(
    tmp_path: Path,
    settings_type: type[Any],
    path: str,
    value: Any,
    key: str,
    message: str,
) -> None:
    """Guards against programs that start with contradictory settings."""
    text = json.dumps(copy_with_value(VALID_DOCUMENTS[settings_type], path, value))
    problems = collect_problems(settings_type, tmp_path, text)
    found = [
        problem
        for problem in problems
        if problem.key == key and message in problem.message
    ]
    assert found, [str(problem) for problem in problems]


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ('{\n  "region": "a"\n  "zone": "b"\n}', 3, "Unexpected"),
        ('{"region": "a"', 1, "Unexpected end"),
        ("", None, "Empty strings"),
        ('{"zone": "a", "zone": "b"}', None, "Duplicate key"),
        ("[" * 100_000, None, "not JSON with comments"),
        ('{"http_threads": 0x' + "f" * 5000 + "}", None, "not JSON with comments"),
    ],
    ids=["no-comma", "no-end", "empty", "duplicate", "too-deep", "huge-number"],
)
def test_syntax(tmp_path: Path, text: str, line: int | None, message: str) -> None:
    """Guards against texts that crash the parser or errors that lack their line."""
    (problem,) = collect_problems(EntrySettings, tmp_path, text)
    assert problem.line == line
    assert message in problem.message


def test_unreadable_file(tmp_path: Path) -> None:
    """Guards against a traceback in place of a message for an absent file."""
    with pytest.raises(SettingsInvalid, match="can't be read"):
        EntrySettings.from_file(tmp_path / "none.jsonc")


def test_all_problems_at_once(tmp_path: Path) -> None:
    """Guards against a reader that skips other checks after the first problem."""
    document = copy_with_value(ENTRY, "drain_delay_ms", "1s")
    document = copy_with_value(document, "zone", "zone-z")
    document = copy_with_value(document, "links.0.delay_ms", -1)
    keys = {
        problem.key
        for problem in collect_problems(EntrySettings, tmp_path, json.dumps(document))
    }
    assert keys == {"drain_delay_ms", "zone", "links[0].delay_ms"}


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(["127.0.0.1:7002", "zone-a", "entry-1"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*ENTRY, "name", "zones", "x"]), inner)
    ),
    max_leaves=12,
)


def assert_accepted_or_refused(settings_type: type[Any], file: Path, text: str) -> None:
    file.write_bytes(text.encode("utf-8", "surrogatepass"))
    try:
        assert isinstance(settings_type.from_file(file), settings_type)
    except SettingsInvalid as refusal:
        assert refusal.problems


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(key=st.sampled_from([*ENTRY, "statsd"]), value=JSON_VALUES)
def test_any_value(
    tmp_path_factory: pytest.TempPathFactory, key: str, value: Any
) -> None:
    """Guards against values that crash a check that expects another type."""
    file = tmp_path_factory.getbasetemp() / "fuzz.jsonc"
    assert_accepted_or_refused(EntrySettings, file, json.dumps({**ENTRY, key: value}))


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(
    text=st.text(alphabet=st.sampled_from('{}[]":,/*\\ux0e1.-+\n\ud800ab'), max_size=40)
    | st.text(max_size=40)
)
def test_any_text(tmp_path_factory: pytest.TempPathFactory, text: str) -> None:
    """Guards against texts that crash the reader."""
    file = tmp_path_factory.getbasetemp() / "fuzz.jsonc"
    assert_accepted_or_refused(ClientSettings, file, text)
