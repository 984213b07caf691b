"""Settings of the entry process and of the operators' command."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, ClassVar, Literal, Self

from pydantic import ConfigDict, Field

from sesameladder.model import Link, Region
from sesameladder.settings._checks import MAX_DELAY_MS, check_client, check_entry
from sesameladder.settings._fields import STRICT_CONFIG, Address, Name
from sesameladder.settings._reader import read_settings

LogLevel = Literal["DEBUG", "INFO", "WARNING", "ERROR"]


@dataclass(frozen=True, slots=True)
class StatsdSettings:
    """Destination and name prefix of the metrics."""

    address: Address
    """``ip:port`` of the statsd server (UDP)."""

    prefix: str
    """Prefix of every metric name."""


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """One entry instance of the deployment, as its peers see it."""

    instance: Name
    """Unique id of the instance."""

    zone: Name
    """Availability zone that the instance runs in."""

    peer_address: Address
    """``ip:port`` of the peer server."""

    admin_address: Address
    """``ip:port`` of the admin endpoint."""


@dataclass(frozen=True, slots=True)
class ClientInstance:
    """One entry instance, as the operators' command sees it."""

    instance: Name
    """Unique id of the instance."""

    zone: Name
    """Availability zone that the instance runs in."""

    admin_address: Address
    """``ip:port`` of the admin endpoint."""


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one ``sesameladder-entry`` process."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG

    deployment: Name
    """Name of the deployment; peers of another deployment are refused."""

    region: Name
    """Region of this instance."""

    zone: Name
    """Availability zone of this instance."""

    instance: Name
    """Unique id of this instance."""

    http_address: Address
    """``ip:port`` that callers connect to."""

    admin_address: Address
    """``ip:port`` of health, state dump and token endpoints."""

    peer_address: Address
    """``ip:port`` that other entry instances connect to."""

    platform_address: Address
    """``ip:port`` of the region's platform."""

    regions: Annotated[tuple[Region, ...], Field(min_length=1)]
    """Regions with their zones; tickets are filed in the first region's store."""

    links: tuple[Link, ...]
    """Network delays between pairs of zones."""

    instances: tuple[InstanceSettings, ...]
    """All entry instances of the deployment, this one included."""

    client_delay_ms: Annotated[float, Field(ge=0, le=MAX_DELAY_MS)] = 0.0
    """One-way delay from callers to this zone, in milliseconds; for measurements."""

    http_threads: Annotated[int, Field(ge=4, le=1024)] = 64
    """Number of threads that serve callers, and so of requests served at a time."""

    statsd: StatsdSettings | None = None
    """Destination of the metrics; none are sent when it is null."""

    log_level: LogLevel = "INFO"
    """Lowest level that is logged."""

    drain_delay_ms: Annotated[int, Field(ge=0, le=60_000)] = 1_000
    """Time in which a draining process fails health checks but accepts requests."""

    shutdown_limit_s: Annotated[int, Field(ge=1, le=3_600)] = 60
    """Longest time that a graceful shutdown waits for requests in progress."""

    request_timeout_ms: Annotated[int, Field(ge=100, le=3_600_000)] = 60_000
    """Longest time that a request without its own deadline may take."""

    max_body_bytes: Annotated[int, Field(ge=1_024, le=16_000_000)] = 1_000_000
    """Size of the largest request body that is accepted."""

    fault_injection: bool = False
    """Whether the admin endpoint may block the peers in given zones, for tests."""

    @classmethod
    def from_file(cls, path: str | Path) -> Self:
        """Return the settings in a file; raises SettingsInvalid."""
        return read_settings(cls, path, check_entry)


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings of the operators' command ``sesameladder``."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG

    platform_address: Address
    """``ip:port`` of the platform of the region that accepts tickets."""

    zone: Name
    """Availability zone that the command calls from."""

    region: Name
    """Region that accepts tickets."""

    author: Annotated[str, Field(min_length=1, max_length=200)]
    """Author of filed tickets that name none."""

    instances: tuple[ClientInstance, ...]
    """Entry instances whose state can be read."""

    @classmethod
    def from_file(cls, path: str | Path) -> Self:
        """Return the settings in a file; raises SettingsInvalid."""
        return read_settings(cls, path, check_client)
