"""Virtual machines that serve as workers."""

from dataclasses import dataclass

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class VirtualMachine:
    """A worker VM in the operators' configuration."""

    name: str
    """Unique name in the fleet."""

    pool: str
    """Name of the pool that the configuration assigns the VM to."""

    zone: str
    """Name of the availability zone that the VM runs in."""

    rack: str
    """Name of the rack, unique in the fleet."""

    address: str
    """``host:port`` of the worker's HTTP endpoint, host as an IP address."""

    slots: int = DEFAULT_SLOTS
    """Maximum number of tasks that the worker runs at the same time."""

    connections: int = DEFAULT_CONNECTIONS
    """Maximum number of connections that the worker accepts at the same time."""
