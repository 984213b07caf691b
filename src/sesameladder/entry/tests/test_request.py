"""Tests of parsing and forwarding callers' headers."""

import pytest

from sesameladder.entry._request import CallerRequest, RequestInvalid, build_request

DEFAULT_DEADLINE_MS = 5_000.0


def build(
    method: str = "GET", target: str = "/pools/orders/x", **headers: str
) -> CallerRequest:
    items = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return build_request("r-1", method, target, items, b"", DEFAULT_DEADLINE_MS)


@pytest.mark.parametrize(
    ("target", "headers", "pool", "path"),
    [
        ("/pools/orders/a/b?c=1", {}, "orders", "/a/b?c=1"),
        ("/pools/orders", {}, "orders", "/"),
        ("/a?b", {"Sesameladder_Pool": "maps"}, "maps", "/a?b"),
    ],
)
def test_pool_and_path(
    target: str, headers: dict[str, str], pool: str, path: str
) -> None:
    """Guards against requests that are sent to a wrong pool or path."""
    request = build("GET", target, **headers)
    assert (request.pool, request.path) == (pool, path)


@pytest.mark.parametrize(
    ("method", "headers", "repeatable"),
    [
        ("GET", {}, True),
        ("POST", {}, False),
        ("POST", {"Sesameladder_Repeatable": "true"}, True),
        ("PUT", {"Sesameladder_Repeatable": "false"}, False),
    ],
)
def test_repeatable(method: str, headers: dict[str, str], repeatable: bool) -> None:
    """Guards against a retry of a request that may run only once."""
    assert build(method, **headers).repeatable is repeatable


@pytest.mark.parametrize(
    ("target", "headers", "header_name"),
    [
        ("/x", {}, "Sesameladder-Pool"),
        ("/pools/o", {"Sesameladder_Urgent": "yes"}, "Sesameladder-Urgent"),
        ("/pools/o", {"Sesameladder_Deadline_Ms": "-1"}, "Sesameladder-Deadline-Ms"),
        ("/pools/o", {"Sesameladder_Deadline_Ms": "0"}, "Sesameladder-Deadline-Ms"),
        ("/pools/o", {"Sesameladder_Deadline_Ms": "1e3"}, "Sesameladder-Deadline-Ms"),
        ("/pools/o", {"Sesameladder_Expected_Ms": "²"}, "Sesameladder-Expected-Ms"),
        ("/pools/o", {"Sesameladder_Attempt": "one"}, "Sesameladder-Attempt"),
        ("/pools/o", {"Idempotency_Key": "k" * 2000}, "Idempotency-Key"),
    ],
)
def test_invalid_headers_are_named(
    target: str, headers: dict[str, str], header_name: str
) -> None:
    """Guards against a malformed header that is ignored or stops the thread."""
    with pytest.raises(RequestInvalid, match=header_name):
        build("GET", target, **headers)


def test_hop_by_hop_headers_are_removed() -> None:
    """Guards against a caller's Connection header that closes worker connections."""
    request = build(Connection="close", Transfer_Encoding="chunked", X_Own="1")
    assert request.headers == (("X-Own", "1"),)
