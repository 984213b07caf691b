"""Types of a ticket's JSON objects, with bounds and descriptions.

A problem with a field shows its description as what is accepted.
"""

from ipaddress import ip_address
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field
from pydantic.dataclasses import dataclass

from sesameladder.model import FailureDomain
from sesameladder.model._maintenance import (
    DEFAULT_REBOOT_LIMIT_S,
    DEFAULT_STRAGGLER_LIMIT_S,
)
from sesameladder.model._pool import DEFAULT_QUEUE_LIMIT, DEFAULT_WAIT_LIMIT_MS
from sesameladder.model._vm import DEFAULT_CONNECTIONS, DEFAULT_SLOTS

NAME_RULE = "a name of 1 to 63 letters, digits, '.', '_' or '-', starting with a letter"
NAME_RULE += " or digit"
MAX_TICKET_NUMBER = 10**12
MAX_COUNT = 1_000_000
MAX_WAIT_LIMIT_MS = 3_600_000
MIN_WAIT_LIMIT_MS = 50
MAX_LIMIT_S = 86_400
# Rejects times in milliseconds; in seconds this bound lies in the year 5138.
MAX_EPOCH_S = 100_000_000_000
MAX_REASON_CHARACTERS = 2_000_000

STRICT_CONFIG = ConfigDict(strict=True, extra="forbid", allow_inf_nan=False)

Name = Annotated[
    str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$", description=NAME_RULE)
]
Count = Annotated[int, Field(ge=0, le=MAX_COUNT)]
Reason = Annotated[str, Field(min_length=1, max_length=MAX_REASON_CHARACTERS)]
EpochSeconds = Annotated[float, Field(ge=0, le=MAX_EPOCH_S)]
LimitSeconds = Annotated[float, Field(gt=0, le=MAX_LIMIT_S)]


def check_address(address: str) -> str:
    """Return an address; raises ValueError unless it is an IP address and a port."""
    host, separator, port = address.rpartition(":")
    if not separator or not (port.isascii() and port.isdecimal()):
        raise ValueError(f"address {address!r} has no port number")
    if not 0 < int(port) < 65536:
        raise ValueError(f"port {port} of address {address!r} is not from 1 to 65535")
    ip_address(host.removeprefix("[").removesuffix("]"))
    return address


Address = Annotated[str, Field(max_length=64), AfterValidator(check_address)]


@dataclass(frozen=True, slots=True, config=STRICT_CONFIG)
class PoolRow:
    """JSON object of a pool; its key is the pool's name."""

    service: Name = Field(description=f"the service's name: {NAME_RULE}")
    floor_slots: Count = Field(
        0, description=f"slots at the mean demand, a whole number from 0 to {MAX_COUNT}"
    )
    spare: bool = Field(False, description="true or false")
    wait_limit_ms: Annotated[int, Field(ge=MIN_WAIT_LIMIT_MS, le=MAX_WAIT_LIMIT_MS)] = (
        Field(
            DEFAULT_WAIT_LIMIT_MS,
            description="milliseconds, a whole number from "
            f"{MIN_WAIT_LIMIT_MS} to {MAX_WAIT_LIMIT_MS}",
        )
    )
    queue_limit: Annotated[int, Field(ge=1, le=MAX_COUNT)] = Field(
        DEFAULT_QUEUE_LIMIT, description=f"a whole number from 1 to {MAX_COUNT}"
    )


@dataclass(frozen=True, slots=True, config=STRICT_CONFIG)
class VmRow:
    """JSON object of a VM; its key is the VM's name."""

    pool: Name = Field(description="the name of a pool")
    zone: Name = Field(description="the name of the VM's availability zone")
    rack: Name = Field(description="the name of the VM's rack")
    address: Address = Field(description="IP number and port, such as 10.0.0.7:8080")
    slots: Annotated[int, Field(ge=1, le=4096)] = Field(
        DEFAULT_SLOTS, description="a whole number from 1 to 4096"
    )
    connections: Annotated[int, Field(ge=1, le=65535)] = Field(
        DEFAULT_CONNECTIONS, description="a whole number from 1 to 65535"
    )


@dataclass(frozen=True, slots=True, config=STRICT_CONFIG)
class BudgetRow:
    """JSON object of an availability budget; its key is the pool's name."""

    min_available: Count = Field(
        description=f"a number of VMs, whole, from 0 to {MAX_COUNT}; not a share"
    )
    max_unavailable: Count = Field(
        description=f"a number of VMs, whole, from 0 to {MAX_COUNT}; not a share"
    )
    survive: FailureDomain = Field(FailureDomain.RACK, description='"rack" or "zone"')


@dataclass(frozen=True, slots=True, config=STRICT_CONFIG)
class TeamRow:
    """JSON object of a team; its key is the team's name."""

    weight: Annotated[int, Field(ge=1, le=MAX_COUNT)] = Field(
        description=f"the team's quota weight, a whole number from 1 to {MAX_COUNT}"
    )
    share_cap: Annotated[float, Field(gt=0, le=1)] = Field(
        1.0, description="a share above 0 up to 1; not a percentage"
    )
    urgent_allowed: bool = Field(False, description="true or false")


@dataclass(frozen=True, slots=True, config=STRICT_CONFIG)
class WaveRow:
    """JSON object of a maintenance wave; its key is the wave's id."""

    pools: Annotated[tuple[Name, ...], Field(min_length=1)] = Field(
        description="a list of at least one pool name"
    )
    start_s: EpochSeconds = Field(
        description="seconds since the Unix epoch; not milliseconds"
    )
    deadline_s: EpochSeconds = Field(
        description="seconds since the Unix epoch; not milliseconds"
    )
    reboot_limit_s: LimitSeconds = Field(
        float(DEFAULT_REBOOT_LIMIT_S),
        description=f"seconds, above 0 up to {MAX_LIMIT_S}",
    )
    straggler_limit_s: LimitSeconds = Field(
        float(DEFAULT_STRAGGLER_LIMIT_S),
        description=f"seconds, above 0 up to {MAX_LIMIT_S}",
    )
    concurrency: Count = Field(
        0, description=f"a number of VMs from 0 (no limit) to {MAX_COUNT}"
    )


@dataclass(frozen=True, slots=True, config=STRICT_CONFIG)
class TicketRow:
    """JSON object of a ticket; null in a section removes an object."""

    number: Annotated[int, Field(ge=1, le=MAX_TICKET_NUMBER)] = Field(
        description="the next number after the latest accepted ticket's, from 1"
    )
    author: Annotated[str, Field(min_length=1, max_length=200)] = Field(
        description="the author's name, 1 to 200 characters"
    )
    reason: Reason = Field(description="the reason for the change, not empty")
    pools: dict[Name, PoolRow | None] = Field(
        default_factory=dict, description="an object of pools by name, or null each"
    )
    vms: dict[Name, VmRow | None] = Field(
        default_factory=dict, description="an object of VMs by name, or null each"
    )
    budgets: dict[Name, BudgetRow | None] = Field(
        default_factory=dict, description="an object of budgets by pool, or null each"
    )
    teams: dict[Name, TeamRow | None] = Field(
        default_factory=dict, description="an object of teams by name, or null each"
    )
    maintenance: dict[Name, WaveRow | None] = Field(
        default_factory=dict, description="an object of waves by id, or null each"
    )


@dataclass(frozen=True, slots=True, config=STRICT_CONFIG)
class StateRow:
    """JSON object of a whole state."""

    number: Annotated[int, Field(ge=0, le=MAX_TICKET_NUMBER)]
    pools: dict[Name, PoolRow]
    vms: dict[Name, VmRow]
    budgets: dict[Name, BudgetRow]
    teams: dict[Name, TeamRow]
    maintenance: dict[Name, WaveRow]
