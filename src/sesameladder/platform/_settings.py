"""Reader of the settings file that the platform provides to a process."""

import os
from dataclasses import dataclass
from pathlib import Path

from sesameladder.platform._errors import SettingsInvalid

PATH_VARIABLE = "SESAMELADDER_BOOT"
DEFAULT_PATH = "/etc/sesameladder/settings.conf"


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Addresses and bounds that the platform sets for a process."""

    node: str
    zone: str
    job_api_address: str
    """Address at which the job API serves callers, as ``host:port``."""

    readiness_address: str
    """Address for readiness probes and metrics, as ``host:port``."""

    store_address: str
    vm_api_address: str
    advice_address: str
    """Address of the advice service; empty if no queue has an advice policy."""

    shutdown_grace_s: float
    """Time between SIGTERM and SIGKILL."""

    stop_grace_ms: int
    """Longest time that a worker takes to stop a run."""

    max_lease_ms: int
    """Longest lease that a worker accepts."""

    min_order_gap_ms: int
    """Least time between orders of two successive role holders to one VM."""

    notice_ms: int
    cores: float
    """Processor of this VM, in cores of ordinary speed; 0 if not stated."""

    link_mbps: float
    """Bandwidth of this VM's link, in Mbit/s each way; 0 if not stated."""

    job_state_retention_s: float
    """Time for which the state of an ended job stays readable."""

    move_duration_s: float
    """Time that a VM is away for a move."""

    maintenance_duration_s: float
    """Time that a VM is away for maintenance."""

    key_revocation_s: float = 0.0
    """Time from the operator's write to the end of a withdrawn key; 0 if not stated."""

    cap_burst_share: float = 0.0
    """Share of an organisation's cap by which it may be exceeded for a time."""

    memory_mb: int = 0
    """Memory of this process in MB; 0 if not stated."""

    max_descriptors: int = 0
    """Limit of open descriptors of this process; 0 if not stated."""

    store_writes_per_s: float = 0.0
    """Writes a second that the store takes from all processes; 0 if not stated."""

    store_reads_per_s: float = 0.0
    """Reads a second that the store takes from all processes; 0 if not stated."""


def find_settings_path() -> Path:
    """Return the path of the settings file from the environment, or the default."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_settings(path: Path) -> NodeSettings:
    """Read and parse a settings file; raises ``SettingsInvalid``."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(
            f"the settings file {path} can't be read: {error}"
        ) from error
    return parse_settings(text)


def parse_settings(text: str) -> NodeSettings:
    """Parse lines of ``name=value``; raises ``SettingsInvalid``.

    Lines without ``=`` and unknown names are ignored.
    """
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    try:
        return NodeSettings(
            node=fields["node"],
            zone=fields["zone"],
            job_api_address=fields["listen.front"],
            readiness_address=fields["listen.readyAddr"],
            store_address=fields["platform.addr"],
            vm_api_address=fields.get("cloud.addr", ""),
            advice_address=fields.get("advice", ""),
            shutdown_grace_s=float(fields.get("bounds.graceS") or 6),
            stop_grace_ms=int(float(fields.get("bounds.stopGraceMs") or 900)),
            max_lease_ms=int(float(fields.get("bounds.holdMaxMs") or 10_000)),
            min_order_gap_ms=int(float(fields.get("bounds.leaseMs") or 3_000)),
            notice_ms=int(float(fields.get("bounds.noticeMs") or 4_500)),
            cores=float(fields.get("limits.cpuShare") or 0)
            * float(fields.get("limits.cores") or 1),
            link_mbps=float(fields.get("limits.linkMbps") or 0),
            job_state_retention_s=float(fields.get("bounds.status_s") or 120),
            move_duration_s=float(fields.get("bounds.moveS") or 1.5),
            maintenance_duration_s=float(fields.get("bounds.upkeepS") or 2),
            key_revocation_s=float(fields.get("bounds.revokeMs") or 0) / 1000,
            cap_burst_share=float(fields.get("bounds.quotaBurst") or 0),
            memory_mb=int(float(fields.get("limits.memoryMb") or 0)),
            max_descriptors=int(float(fields.get("limits.maxFds") or 0)),
            store_writes_per_s=float(fields.get("platform.writesPerS") or 0),
            store_reads_per_s=float(fields.get("platform.readsPerS") or 0),
        )
    except KeyError as error:
        raise SettingsInvalid(
            f"the settings file lacks the key {error.args[0]!r}"
        ) from error
    except ValueError as error:
        raise SettingsInvalid(
            f"the settings file has an invalid number: {error}"
        ) from error
