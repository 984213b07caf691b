"""Limits of requests and connections, with their defaults."""

import resource
from dataclasses import dataclass, replace

DESCRIPTOR_SHARE = 0.25  # of the process; stores, workers and peers need the rest
MIN_CONNECTIONS = 16
ADDRESS_SHARE = 0.5  # of all connections; a load balancer brings many from one address


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one request and of the time to read it."""

    header_bytes: int = 16_384
    """Size of the request line and all header lines."""

    header_lines: int = 4096
    """A header of 16,384 bytes can't have more, so this bounds longer ones only."""

    chunk_line_bytes: int = 1024
    """Size of one chunk-size line with its extensions."""

    chunks: int = 262_144
    """Chunks of one body; as many as ``body_bytes`` if that is more."""

    trailer_bytes: int = 16_384
    """Size of all lines behind a chunked body."""

    body_bytes: int = 262_144
    """Size of a body, without the lines of its chunks."""

    header_timeout_s: float = 4.0
    """Time from the first byte of a request to the end of its header."""

    body_timeout_s: float = 10.0
    """Time from the end of a header to the end of its body."""

    idle_timeout_s: float = 60.0
    """Time that a connection may stay open without a request."""

    def override(
        self,
        header_bytes: int | None = None,
        body_bytes: int | None = None,
        header_timeout_s: float | None = None,
        idle_timeout_s: float | None = None,
    ) -> "Limits":
        """Return these limits with those that are given in place."""
        body_bytes = body_bytes or self.body_bytes
        return replace(
            self,
            header_bytes=header_bytes or self.header_bytes,
            chunks=max(self.chunks, body_bytes),
            body_bytes=body_bytes,
            header_timeout_s=header_timeout_s or self.header_timeout_s,
            idle_timeout_s=idle_timeout_s or self.idle_timeout_s,
        )


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of all connections of one server together."""

    connections: int
    """Open connections in all."""

    connections_per_address: int
    """Open connections from one address."""

    held_bytes: int = 16_777_216
    """Requests and responses in memory; 64 bodies of the default limit."""

    response_timeout_s: float = 30.0
    """Time that a client may take to read one response."""

    @classmethod
    def for_process(
        cls, most_connections: int, max_descriptors: int = 0
    ) -> "ConnectionLimits":
        """Return limits of a server, from the process's limit of descriptors.

        ``max_descriptors`` is 0 if only the operating system states a limit.
        """
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        stated = [n for n in (soft_limit, max_descriptors) if n > 0]
        descriptors = min(stated, default=most_connections * 4)
        connections = max(
            MIN_CONNECTIONS, min(most_connections, int(descriptors * DESCRIPTOR_SHARE))
        )
        return cls(connections, max(1, int(connections * ADDRESS_SHARE)))
