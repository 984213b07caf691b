"""Calls to the admin endpoints of entry instances."""

from typing import Any

from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError, NewConnectionError, TimeoutError

from sesameladder.client._errors import InstanceUnreachable

CALL_TIMEOUT_S = 2.0


def fetch_json(address: str, path: str) -> Any:
    """Return the JSON response of an admin endpoint; raises InstanceUnreachable."""
    timeout = Timeout(connect=CALL_TIMEOUT_S, read=CALL_TIMEOUT_S)
    http = PoolManager(timeout=timeout, retries=Retry(0), maxsize=1)
    try:
        response = http.request("GET", f"http://{address}{path}")
        if response.status != 200:
            raise InstanceUnreachable(
                f"{address} responded with status {response.status}"
            )
        return response.json()
    except HTTPError as error:
        raise InstanceUnreachable(_describe_failure(address, error)) from error
    except ValueError as error:
        raise InstanceUnreachable(f"{address} did not respond with JSON") from error
    finally:
        http.clear()


def _describe_failure(address: str, error: HTTPError) -> str:
    cause = getattr(error, "reason", error)
    if isinstance(cause, NewConnectionError):
        return f"{address} refused the connection"
    if isinstance(cause, TimeoutError):
        return f"{address} did not respond within {CALL_TIMEOUT_S:g} s"
    return f"{address} sent no complete response"
