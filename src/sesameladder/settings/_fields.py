"""Field types that several settings classes share."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field

MAX_PORT = 65_535

STRICT_CONFIG = ConfigDict(strict=True, extra="forbid", allow_inf_nan=False)
"""pydantic configuration of every settings class; nested dataclasses inherit it."""


def check_listen_address(address: str) -> str:
    """Return an ``ip:port`` address unchanged; raises ValueError for another text.

    Port 0 stands for a free port.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()) or str(int(port[:9])) != port:
        raise ValueError("has no port number")
    if int(port) > MAX_PORT:
        raise ValueError(f"has a port over {MAX_PORT}")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError("has no IPv4 address") from None
    return address


def check_address(address: str) -> str:
    """Return an address that can be connected to; raises ValueError."""
    check_listen_address(address)
    host, _, port = address.rpartition(":")
    if port == "0":
        raise ValueError("has port 0, which is only valid for listening")
    if ipaddress.IPv4Address(host).is_unspecified:
        raise ValueError("is the wildcard address, which can't be connected to")
    return address


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
"""Name of a deployment, region, zone, instance or VM."""

Address = Annotated[str, AfterValidator(check_address)]
"""``ip:port`` with an IPv4 address and a port other than 0."""

ListenAddress = Annotated[str, AfterValidator(check_listen_address)]
"""``ip:port`` with an IPv4 address; port 0 stands for a free port."""
