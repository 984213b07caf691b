"""Settings of the stand-ins, which serve tests and measurements only."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, ClassVar, Literal, Self

from pydantic import ConfigDict, Field

from sesameladder.settings._fields import STRICT_CONFIG, Address, ListenAddress, Name
from sesameladder.settings._reader import read_settings
from sesameladder.settings._standin_checks import (
    check_platform_standin,
    check_upstream_standin,
)

Milliseconds = Annotated[int, Field(ge=0, le=3_600_000)]


@dataclass(frozen=True, slots=True)
class VmRow:
    """A VM that the platform stand-in lists and probes."""

    name: Name
    """Unique name of the VM."""

    zone: Name
    """Availability zone of the VM."""

    address: Address
    """``ip:port`` of an upstream, or of the admin endpoint of an entry VM."""

    kind: Literal["upstream", "entry"]
    """Upstreams can be drained and rebooted; entry VMs are only listed."""


@dataclass(frozen=True, slots=True)
class PlatformStandinSettings:
    """Settings of ``sesameladder-platform-standin``."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG

    address: ListenAddress
    """``ip:port`` that the stand-in listens on; port 0 picks a free one."""

    vm_list_lag_ms: Milliseconds = 1_000
    """Age of the VM states that the VM list shows."""

    probe_interval_ms: Annotated[int, Field(ge=10, le=60_000)] = 250
    """Time between two probes of the same VM."""

    writes_per_s: Annotated[int, Field(ge=1, le=1_000_000)] = 500
    """Number of writes that the store accepts per second."""

    reads_per_s: Annotated[int, Field(ge=1, le=1_000_000)] = 2_000
    """Number of reads that the store accepts per second; a watch counts as one."""

    vms: tuple[VmRow, ...] = ()
    """VMs that the VM list contains from the start."""

    @classmethod
    def from_file(cls, path: str | Path) -> Self:
        """Return the settings in a file; raises SettingsInvalid."""
        return read_settings(cls, path, check_platform_standin)


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """One upstream of an upstream stand-in process."""

    name: Name
    """Unique name of the VM that the upstream stands for."""

    address: ListenAddress
    """``ip:port`` that the upstream listens on; port 0 picks a free one."""

    slots: Annotated[int, Field(ge=1, le=1024)] = 8
    """Largest number of tasks that run at the same time."""

    connections: Annotated[int, Field(ge=1, le=4096)] = 64
    """Largest number of connections that are open at the same time."""


@dataclass(frozen=True, slots=True)
class UpstreamStandinSettings:
    """Settings of ``sesameladder-upstream-standin``."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG

    upstreams: Annotated[tuple[UpstreamSettings, ...], Field(min_length=1)]
    """Upstreams that the process serves, each on an address of its own."""

    default_work_ms: Milliseconds = 20
    """Run time of a task without a ``Work-Ms`` header."""

    report_lag_ms: Milliseconds = 500
    """Age of the task states that the task report shows."""

    reboot_ms: Milliseconds = 2_000
    """Duration of a reboot."""

    seed: int = 0
    """Seed of the random number generator of the fault modes."""

    @classmethod
    def from_file(cls, path: str | Path) -> Self:
        """Return the settings in a file; raises SettingsInvalid."""
        return read_settings(cls, path, check_upstream_standin)
