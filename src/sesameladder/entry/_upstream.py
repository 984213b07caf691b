"""HTTP client for workers, which classifies responses and failures."""

from dataclasses import dataclass
from threading import Lock

from urllib3 import HTTPConnectionPool, Retry, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from sesameladder.dispatch import OutcomeKind
from sesameladder.entry._held_grants import HeldGrant
from sesameladder.entry._request import HOP_BY_HOP_HEADERS, CallerRequest
from sesameladder.idempotency import Done
from sesameladder.peering import split_address
from sesameladder.response_limits import BoundedConnectionPool, WholeResponse

CONNECT_TIMEOUT_S = 0.5
TASK_LEASE_MS = 3_000
CHECKPOINT_STATUS = 202
CHECKPOINT_HEADER = "Task-Checkpoint"
WORKER_STATE_HEADER = "Worker-State"


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The worker executed the request and its complete response arrived."""

    outcome: Done
    """The outcome that contains the response."""

    is_server_error: bool
    """Whether the status is 5xx."""


@dataclass(frozen=True, slots=True)
class Checkpointed:
    """The worker checkpointed the work and ended the task."""

    checkpoint: str
    """Opaque text from which a worker resumes the work."""


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The request was not executed: the worker refused it or no connection opened."""

    outcome_kind: OutcomeKind
    """The cause: the worker is leaving, it is full, or no connection opened."""


@dataclass(frozen=True, slots=True)
class UpstreamOutcomeUnknown:
    """The request was sent and may have been executed, but no response arrived."""

    reason: str
    """Text of the error."""

    timed_out: bool
    """Whether the response did not arrive before the deadline."""


UpstreamResult = ResponseReceived | Checkpointed | NotExecuted | UpstreamOutcomeUnknown


class UpstreamClient:
    """HTTP client with a bounded number of idle connections to each worker.

    With ``max_idle_connections`` 0 each connection is closed after its response.
    """

    __slots__ = ("connection_pools", "lock", "max_idle_connections")

    def __init__(self, max_idle_connections: int) -> None:
        self.max_idle_connections = max_idle_connections
        self.connection_pools: dict[str, HTTPConnectionPool] = {}
        self.lock = Lock()

    def call(
        self,
        grant: HeldGrant,
        request: CallerRequest,
        checkpoint: str,
        timeout_s: float,
    ) -> UpstreamResult:
        """Send the request to the granted worker and wait for its response.

        Redirects are not followed, and nothing is retried.
        """
        timeout = Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s)
        try:
            streamed = self._get_connection_pool(grant.address).urlopen(
                request.method,
                request.path,
                body=request.body or None,
                headers=self._build_headers(grant, request, checkpoint),
                timeout=timeout,
                retries=Retry(0, redirect=0, raise_on_redirect=False),
                redirect=False,
                preload_content=False,
            )
            response = WholeResponse.from_stream(streamed)
        except HTTPError as error:
            return _classify_error(error)
        return _classify_response(response)

    def close(self) -> None:
        """Close all idle connections."""
        with self.lock:
            for connection_pool in self.connection_pools.values():
                connection_pool.close()
            self.connection_pools.clear()

    def _get_connection_pool(self, address: str) -> HTTPConnectionPool:
        with self.lock:
            connection_pool = self.connection_pools.get(address)
            if connection_pool is None:
                host, port = split_address(address)
                size = max(1, self.max_idle_connections)
                connection_pool = BoundedConnectionPool(host, port, maxsize=size)
                self.connection_pools[address] = connection_pool
            return connection_pool

    def _build_headers(
        self, grant: HeldGrant, request: CallerRequest, checkpoint: str
    ) -> dict[str, str]:
        headers = dict(request.headers)
        headers["Task-Id"] = grant.grant_id
        headers["Task-Lease-Ms"] = str(TASK_LEASE_MS)
        headers["Sesameladder-Request-Id"] = request.request_id
        if checkpoint:
            headers["Task-Resume"] = checkpoint
        if self.max_idle_connections == 0:
            headers["Connection"] = "close"
        return headers


def _classify_error(error: HTTPError) -> UpstreamResult:
    cause = getattr(error, "reason", None) or error
    if isinstance(cause, NewConnectionError | ConnectTimeoutError):
        return NotExecuted(OutcomeKind.CONNECTION_FAILED)
    return UpstreamOutcomeUnknown(str(cause), isinstance(cause, ReadTimeoutError))


def _classify_response(response: WholeResponse) -> UpstreamResult:
    worker_state = response.headers.get(WORKER_STATE_HEADER)
    if response.status == 503 and worker_state == "leaving":
        return NotExecuted(OutcomeKind.NOT_RUN_LEAVING)
    if response.status == 503 and worker_state == "full":
        return NotExecuted(OutcomeKind.NOT_RUN_FULL)
    checkpoint = response.headers.get(CHECKPOINT_HEADER)
    if response.status == CHECKPOINT_STATUS and checkpoint:
        return Checkpointed(checkpoint)
    headers = tuple(
        (name, value)
        for name, value in response.headers.iteritems()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    outcome = Done(response.status, headers, response.data)
    return ResponseReceived(outcome, response.status >= 500)
