"""HTTP servers of an entry instance, which keep limits of what clients send."""

import logging
from collections.abc import Callable, Iterable
from time import monotonic

from sesameladder.observability import Metric, Metrics
from sesameladder.peering import split_address
from sesameladder.request_limits import (
    BoundedServer,
    ConnectionLimits,
    Limits,
    Refusal,
    RefusalLog,
)

logger = logging.getLogger(__name__)


def build_server(
    name: str,
    address: str,
    application: Callable[..., Iterable[bytes]],
    threads: int,
    backlog: int,
    limits: Limits,
    connection_limits: ConnectionLimits,
    build_refusal: Callable[[Refusal, bytes], tuple[list[tuple[str, str]], bytes]],
    metrics: Metrics,
) -> BoundedServer:
    """Return a server whose refusals are counted and logged."""

    def log_refused(cause: str, reason: str, client: str, number: int) -> None:
        logger.warning(
            "refused a request or closed a connection",
            extra={
                "event": "connection_refused",
                "event_fields": {
                    "server": name,
                    "cause": cause,
                    "reason": reason,
                    "client": client,
                    "count": number,
                },
            },
        )

    refusals = RefusalLog(
        lambda cause: metrics.count(Metric.CONNECTIONS_REFUSED, cause),
        log_refused,
        monotonic,
    )
    return BoundedServer(
        split_address(address),
        application,
        threads,
        backlog,
        lambda: limits,
        connection_limits,
        refusals,
        build_refusal,
    )
