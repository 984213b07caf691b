"""The plan of a region, which holds every VM row and dispatcher row."""

import json
import zlib
from dataclasses import dataclass, field
from typing import Any

from sesameladder.planning._rows import DispatcherRow, Phase, VmRow

FORMAT_VERSION = 1
COMPRESSION_LEVEL = 6
MAX_DECOMPRESSED_BYTES = 16_000_000
# Trailing values of an encoded row that equal these defaults are omitted.
ROW_DEFAULTS: tuple[Any, ...] = (
    None,
    None,
    None,
    None,
    0,
    0,
    0,
    None,
    None,
    None,
    0,
    0,
)


class PlanMalformed(Exception):
    """A stored plan could not be decoded."""


def cell_key(pool: str, zone: str) -> str:
    """Return the key of a cell's dispatcher row."""
    return f"{pool}/{zone}"


@dataclass(frozen=True, slots=True)
class RegionPlan:
    """VM rows and dispatcher rows of a region; never modified in place."""

    region: str
    """Name of the region."""

    version: int = 0
    """Version of the plan; each new plan increases it by one."""

    fence: int = 0
    """Highest fencing token of a planner that changed the plan."""

    configuration_number: int = 0
    """Number of the last ticket that the plan takes into account."""

    rows: dict[str, VmRow] = field(default_factory=dict)
    """VM rows by VM name."""

    dispatchers: dict[str, DispatcherRow] = field(default_factory=dict)
    """Dispatcher rows by ``pool/zone``."""

    @classmethod
    def empty(cls, region: str) -> "RegionPlan":
        """Return the first plan of a region, which has no rows."""
        return cls(region)

    def to_bytes(self) -> bytes:
        """Return the plan as compressed JSON with one array per row."""
        document = {
            "format": FORMAT_VERSION,
            "region": self.region,
            "version": self.version,
            "fence": self.fence,
            "configuration": self.configuration_number,
            "vms": [_encode_row(row) for row in self.rows.values()],
            "dispatchers": [
                _encode_dispatcher(row) for row in self.dispatchers.values()
            ],
        }
        text = json.dumps(document, separators=(",", ":"))
        return zlib.compress(text.encode(), COMPRESSION_LEVEL)

    @classmethod
    def from_bytes(cls, data: bytes) -> "RegionPlan":
        """Decode a plan; raises ``PlanMalformed`` when the data is not a plan."""
        try:
            return _decode_plan(json.loads(_decompress(data)))
        except (zlib.error, ValueError, TypeError, KeyError, RecursionError) as error:
            raise PlanMalformed(f"the region plan can't be read: {error}") from error


def _decompress(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    text = stream.decompress(data, MAX_DECOMPRESSED_BYTES)
    if not stream.eof:
        raise ValueError(
            "the compressed data is truncated or decompresses to more than"
            f" {MAX_DECOMPRESSED_BYTES} bytes"
        )
    return text


def _encode_row(row: VmRow) -> list[Any]:
    values: list[Any] = [
        row.vm,
        row.pool,
        row.zone,
        row.phase.value,
        round(row.phase_started_at, 3),
        round(row.maintained_at, 3),
        row.version,
        row.target_pool,
        row.permit,
        row.lender,
        row.attempts,
        round(row.retry_at, 3),
    ]
    while not values[-1]:
        values.pop()
    return values


def _encode_dispatcher(row: DispatcherRow) -> list[Any]:
    return [
        row.pool,
        row.zone,
        row.instance,
        row.previous_owner,
        row.previous_owner_gone,
        row.epoch,
    ]


def _decode_plan(document: Any) -> RegionPlan:
    if not isinstance(document, dict) or document["format"] != FORMAT_VERSION:
        raise ValueError(f"plan format {FORMAT_VERSION} is expected")
    rows = [_decode_row(values) for values in document["vms"]]
    cells = [_decode_dispatcher(values) for values in document["dispatchers"]]
    plan = RegionPlan(
        region=_parse_name(document["region"]),
        version=_parse_count(document["version"]),
        fence=_parse_count(document["fence"]),
        configuration_number=_parse_count(document["configuration"]),
        rows={row.vm: row for row in rows},
        dispatchers={cell_key(cell.pool, cell.zone): cell for cell in cells},
    )
    if len(plan.rows) != len(rows) or len(plan.dispatchers) != len(cells):
        raise ValueError("a VM or a cell has more than one row")
    return plan


def _decode_row(values: list[Any]) -> VmRow:
    padded = [*values, *ROW_DEFAULTS[len(values) :]]
    vm, pool, zone, phase, since, maintained_at, version, *optional = padded
    target, permit, lender, attempts, retry_at = optional
    return VmRow(
        vm=_parse_name(vm),
        pool=_parse_optional_name(pool),
        phase=Phase(phase),
        phase_started_at=_parse_seconds(since),
        target_pool=_parse_optional_name(target),
        permit=_parse_optional_name(permit),
        zone=_parse_name(zone),
        version=_parse_count(version),
        lender=_parse_optional_name(lender),
        maintained_at=_parse_seconds(maintained_at),
        attempts=_parse_count(attempts),
        retry_at=_parse_seconds(retry_at),
    )


def _decode_dispatcher(values: Any) -> DispatcherRow:
    pool, zone, instance, previous, gone, epoch = values
    if not isinstance(gone, bool):
        raise TypeError(f"a boolean is expected, not {gone!r}")
    return DispatcherRow(
        _parse_name(pool),
        _parse_name(zone),
        _parse_name(instance),
        _parse_optional_name(previous),
        gone,
        _parse_count(epoch),
    )


def _parse_name(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"a name is expected, not {value!r}")
    return value


def _parse_optional_name(value: Any) -> str | None:
    return None if value is None else _parse_name(value)


def _parse_count(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise TypeError(f"a non-negative integer is expected, not {value!r}")
    return value


def _parse_seconds(value: Any) -> float:
    if type(value) not in (int, float) or not value >= 0:
        raise TypeError(f"a non-negative time in seconds is expected, not {value!r}")
    return float(value)
