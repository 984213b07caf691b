"""HTTP endpoint for operators: health, status, state dump and test faults."""

import json
from collections.abc import Callable, Iterable
from typing import Any

from sesameladder.entry._bounded_server import build_server
from sesameladder.observability import Metrics
from sesameladder.request_limits import ConnectionLimits, Limits, Refusal

ADMIN_THREADS = 4
ACCEPT_BACKLOG = 64
MAX_CONNECTIONS = 128
STOP_TIMEOUT_S = 1
JSON_HEADERS = [("Content-Type", "application/json")]

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class AdminEndpoint:
    """HTTP server with its own port and threads, so that it doesn't delay requests.

    ``block_zones`` is None unless fault injection is enabled; it then drops the
    messages from and to the peers of the given zones.
    """

    __slots__ = ("block_zones", "read_dump", "read_status", "server")

    def __init__(
        self,
        address: str,
        read_status: Callable[[], dict[str, object]],
        read_dump: Callable[[], dict[str, object]],
        block_zones: Callable[[frozenset[str]], None] | None,
        metrics: Metrics,
    ) -> None:
        self.read_status = read_status
        self.read_dump = read_dump
        self.block_zones = block_zones
        self.server = build_server(
            "admin",
            address,
            self._handle,
            ADMIN_THREADS,
            ACCEPT_BACKLOG,
            Limits(),
            ConnectionLimits.for_process(MAX_CONNECTIONS),
            _build_refused_response,
            metrics,
        )
        self.server.shutdown_timeout = STOP_TIMEOUT_S

    def prepare(self) -> None:
        """Bind the address; raise ``OSError`` if that fails."""
        self.server.prepare()

    def serve(self) -> None:
        """Serve requests until ``stop`` is called."""
        self.server.serve()

    def stop(self) -> None:
        """Close the listener and stop the threads."""
        self.server.stop()

    def _handle(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        status, content = self._respond(environ)
        body = json.dumps(content, default=str).encode()
        start_response(status, [*JSON_HEADERS, ("Content-Length", str(len(body)))])
        return [body]

    def _respond(self, environ: dict[str, Any]) -> tuple[str, dict[str, object]]:
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if route == ("GET", "/-/health"):
            return "200 OK", {"ok": True}
        if route == ("GET", "/-/status"):
            return "200 OK", self.read_status()
        if route == ("GET", "/-/dump"):
            return "200 OK", self.read_dump()
        if route == ("POST", "/-/cut") and self.block_zones is not None:
            return self._block_requested_zones(environ["wsgi.input"].read())
        return "404 Not Found", {"error": "no such endpoint"}

    def _block_requested_zones(self, body: bytes) -> tuple[str, dict[str, object]]:
        assert self.block_zones is not None
        try:
            zones = json.loads(body)["zones"]
        except (ValueError, KeyError, TypeError):
            zones = None
        if not isinstance(zones, list) or not all(
            isinstance(zone, str) for zone in zones
        ):
            return "400 Bad Request", {"error": 'send {"zones": [<name>, ...]}'}
        self.block_zones(frozenset(zones))
        return "200 OK", {"zones": sorted(zones)}


def _build_refused_response(
    refusal: Refusal,
    header: bytes,  # noqa: ARG001
) -> tuple[list[tuple[str, str]], bytes]:
    return JSON_HEADERS, json.dumps({"error": refusal.reason}).encode()
