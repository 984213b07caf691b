"""Writes the files of an example deployment whose processes share one host.

All addresses are on the loopback interface. Their ports are offsets from the
deployment's base port: 0 for the platform, from 11 on for the endpoints that
callers use, from 31 on for admin endpoints, from 51 on for peer servers and from
101 on for workers.
"""

import json
import re
from dataclasses import dataclass
from importlib.resources import files
from itertools import groupby
from pathlib import Path
from string import Template
from typing import Any

import json5

DEPLOYMENTS = {"coral-strand": 20_000, "pfennigblatt": 21_000}
"""Default base port of each deployment; the example files contain its ports."""

MAX_PORT_OFFSET = 200
FIRST_HTTP_PORT_OFFSET = 11
ADDRESS_PATTERN = re.compile(r"127\.0\.0\.1:(\d+)")
FIRST_TICKET_FILE = "tickets/0001-first-state.jsonc"

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ExampleFiles:
    """Paths of the written files."""

    entries: dict[str, Path]
    """Settings files of the entry processes by instance id."""

    client: Path
    """Settings file of the operators' command."""

    platform: Path
    """Settings file of the platform stand-in."""

    upstreams: dict[str, Path]
    """Settings files of the upstream stand-ins by rack; one process serves a rack."""

    tickets: tuple[Path, ...]
    """Ticket files in the order of their numbers."""


def write_example(
    deployment: str, directory: Path, base_port: int | None = None
) -> ExampleFiles:
    """Write a deployment's files with ports from ``base_port`` on.

    None stands for the deployment's default base port. Raises ValueError for an
    unknown deployment and for a base port that leaves too few ports above it.
    """
    example = _ExampleWriter(deployment, directory, base_port)
    return example.write()


class _ExampleWriter:
    """Writes one deployment to a directory."""

    def __init__(self, deployment: str, directory: Path, base_port: int | None) -> None:
        if deployment not in DEPLOYMENTS:
            raise ValueError(f"{deployment!r} is not one of {', '.join(DEPLOYMENTS)}")
        default = DEPLOYMENTS[deployment]
        base = default if base_port is None else base_port
        if not 0 < base <= 65_535 - MAX_PORT_OFFSET:
            raise ValueError(
                f"base port {base} leaves no room for the ports of all endpoints"
            )
        self.source_directory = files(__package__) / deployment
        self.directory = directory
        self.default_base_port = default
        self.port_shift = base - default
        self.vms: dict[str, JsonObject] = self._read_json(FIRST_TICKET_FILE)["vms"]
        self.instances: list[JsonObject] = self._read_json("client.jsonc")["instances"]

    def write(self) -> ExampleFiles:
        """Write all files and return their paths."""
        (self.directory / "tickets").mkdir(parents=True, exist_ok=True)
        return ExampleFiles(
            entries=self._write_entries(),
            client=self._write("client.jsonc", "client.jsonc"),
            platform=self._write_platform_standin(),
            upstreams=self._write_upstream_standins(),
            tickets=self._write_tickets(),
        )

    def _write_entries(self) -> dict[str, Path]:
        paths = {}
        for index, row in enumerate(self.instances):
            instance = row["instance"]
            values = self._build_entry_values(index, row)
            target = f"{instance}.jsonc"
            paths[instance] = self._write("entry.template.jsonc", target, values)
        return paths

    def _build_entry_values(self, index: int, row: JsonObject) -> dict[str, str]:
        peers = {
            peer["instance"]: peer["peer_address"]
            for peer in self._read_json("entry.template.jsonc")["instances"]
        }
        port = self.default_base_port + FIRST_HTTP_PORT_OFFSET + index
        return {
            "instance": row["instance"],
            "zone": row["zone"],
            "http_address": f"127.0.0.1:{port}",
            "admin_address": row["admin_address"],
            "peer_address": peers[row["instance"]],
        }

    def _write_platform_standin(self) -> Path:
        entries = [
            _build_vm_row(row["instance"], row["zone"], row["admin_address"], "entry")
            for row in self.instances
        ]
        workers = [
            _build_vm_row(name, vm["zone"], vm["address"], "upstream")
            for name, vm in self.vms.items()
        ]
        vms = {"vms": _format_rows(entries + workers)}
        name = "platform-standin"
        return self._write(f"{name}.template.jsonc", f"{name}.jsonc", vms)

    def _write_upstream_standins(self) -> dict[str, Path]:
        by_rack = groupby(self.vms.items(), key=lambda item: item[1]["rack"])
        return {
            rack: self._write_upstream_standin(rack, dict(vms)) for rack, vms in by_rack
        }

    def _write_upstream_standin(self, rack: str, vms: dict[str, JsonObject]) -> Path:
        keys = ("address", "slots", "connections")
        rows = [
            {"name": name, **{key: vm[key] for key in keys}} for name, vm in vms.items()
        ]
        values = {"rack": rack, "upstreams": _format_rows(rows)}
        target = f"upstream-{rack}.jsonc"
        return self._write("upstream-standin.template.jsonc", target, values)

    def _write_tickets(self) -> tuple[Path, ...]:
        names = sorted(
            file.name for file in (self.source_directory / "tickets").iterdir()
        )
        paths = [f"tickets/{name}" for name in names if name.endswith(".jsonc")]
        return tuple(self._write(path, path) for path in paths)

    def _write(
        self, source: str, target: str, values: dict[str, str] | None = None
    ) -> Path:
        text = self._read_text(source)
        if values is not None:
            text = Template(text).substitute(values)
        path = self.directory / target
        path.write_text(ADDRESS_PATTERN.sub(self._shift_port, text), encoding="utf-8")
        return path

    def _shift_port(self, match: re.Match[str]) -> str:
        port = int(match[1])
        in_range = 0 <= port - self.default_base_port <= MAX_PORT_OFFSET
        return f"127.0.0.1:{port + self.port_shift if in_range else port}"

    def _read_json(self, source: str) -> Any:
        return json5.loads(self._read_text(source))

    def _read_text(self, source: str) -> str:
        return (self.source_directory / source).read_text(encoding="utf-8")


def _build_vm_row(name: str, zone: str, address: str, kind: str) -> JsonObject:
    return {"name": name, "zone": zone, "address": address, "kind": kind}


def _format_rows(rows: list[JsonObject]) -> str:
    lines = ",\n".join(f"    {json.dumps(row)}" for row in rows)
    return f"[\n{lines}\n  ]"
