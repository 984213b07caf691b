"""Field types that several kinds of settings share."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field

MAX_PORT = 65_535

STRICT = ConfigDict(strict=True, extra="forbid", allow_inf_nan=False)
"""Configuration of every settings class; nested plain dataclasses inherit it."""


def check_address(address: str) -> str:
    """Return an ``ip:port`` address unchanged; raises ValueError if it is not one."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError('is not "ip:port"; for example "127.0.0.1:7000"')
    if int(port) > MAX_PORT:
        raise ValueError(f"has a port over {MAX_PORT}")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError("has no IPv4 number; host names are not resolved") from None
    return address


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
"""Name of a deployment, region, zone, instance or VM."""

Address = Annotated[str, AfterValidator(check_address)]
"""``ip:port`` with an IPv4 number."""
