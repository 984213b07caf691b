"""A caller's HTTP request and the headers that control its execution."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

POOL_HEADER = "Sesameladder-Pool"
TEAM_HEADER = "Sesameladder-Team"
KIND_HEADER = "Sesameladder-Kind"
URGENT_HEADER = "Sesameladder-Urgent"
DEADLINE_HEADER = "Sesameladder-Deadline-Ms"
EXPECTED_HEADER = "Sesameladder-Expected-Ms"
CHECKPOINTABLE_HEADER = "Sesameladder-Checkpointable"
REPEATABLE_HEADER = "Sesameladder-Repeatable"
ATTEMPT_HEADER = "Sesameladder-Attempt"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
OUTCOME_HEADER = "Sesameladder-Outcome"
REQUEST_ID_HEADER = "Sesameladder-Request-Id"

POOL_PATH_PREFIX = "/pools/"
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
MAX_IDEMPOTENCY_KEY_CHARACTERS = 1024
MAX_DURATION_MS = 86_400_000.0
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class RequestInvalid(Exception):
    """A header or the body of a request is not accepted.

    The message names the part, its value and what is accepted.
    """


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller to have a request executed."""

    request_id: str
    """Identifier of the attempt, assigned by the entry instance."""

    method: str
    """HTTP method in upper case."""

    target: str
    """HTTP request target: path and query as the caller sent them."""

    path: str
    """Path and query for the upstream, without the prefix ``/pools/<pool>``."""

    headers: tuple[tuple[str, str], ...]
    """Names and values of the headers that are passed on to the upstream."""

    body: bytes
    """Complete body."""

    pool: str
    """Name of the pool."""

    team: str
    """Name of the team that the request is charged to, or empty."""

    kind: str
    """Kind of work; the dispatcher estimates run times per kind."""

    urgent: bool
    """Whether the caller asks for priority over other requests."""

    repeatable: bool
    """Whether the request may be executed more than once."""

    checkpointable: bool
    """Whether the upstream can checkpoint the work and resume it later."""

    attempt_number: int
    """Number of the attempt from 1 that the caller states, or 0 if it states none."""

    idempotency_key: str
    """Idempotency token or the caller's own key, or empty."""

    deadline_ms: float
    """Time in milliseconds that the caller waits for the response."""

    expected_ms: float
    """Run time in milliseconds that the caller expects, or 0 if not stated."""

    @property
    def is_first_attempt(self) -> bool:
        """Whether the caller states that this is its first attempt."""
        return self.attempt_number == 1


def build_request(
    request_id: str,
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    default_deadline_ms: float,
) -> CallerRequest:
    """Return the request; raise ``RequestInvalid`` if a header is not accepted.

    Hop-by-hop headers are removed. Without a header that states a deadline,
    ``default_deadline_ms`` applies.
    """
    end_to_end = tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    values_by_name = {name.lower(): value for name, value in end_to_end}
    pool, path = _split_pool(target, values_by_name)
    repeatable = method in REPEATABLE_METHODS
    return CallerRequest(
        request_id=request_id,
        method=method,
        target=target,
        path=path,
        headers=end_to_end,
        body=body,
        pool=pool,
        team=values_by_name.get(TEAM_HEADER.lower(), ""),
        kind=values_by_name.get(KIND_HEADER.lower(), method),
        urgent=_parse_flag(values_by_name, URGENT_HEADER, False),
        repeatable=_parse_flag(values_by_name, REPEATABLE_HEADER, repeatable),
        checkpointable=_parse_flag(values_by_name, CHECKPOINTABLE_HEADER, False),
        attempt_number=_parse_attempt_number(values_by_name),
        idempotency_key=_parse_idempotency_key(values_by_name),
        deadline_ms=_parse_duration_ms(
            values_by_name, DEADLINE_HEADER, default_deadline_ms
        ),
        expected_ms=_parse_duration_ms(values_by_name, EXPECTED_HEADER, 0.0),
    )


def _split_pool(target: str, values_by_name: Mapping[str, str]) -> tuple[str, str]:
    header_pool = values_by_name.get(POOL_HEADER.lower())
    if header_pool:
        return header_pool, target
    if target.startswith(POOL_PATH_PREFIX):
        pool, _, rest = target.removeprefix(POOL_PATH_PREFIX).partition("/")
        if pool:
            return pool, "/" + rest
    raise RequestInvalid(
        f"no pool: send header {POOL_HEADER} or a path {POOL_PATH_PREFIX}<pool>/..."
    )


def _parse_flag(values_by_name: Mapping[str, str], name: str, default: bool) -> bool:
    value = values_by_name.get(name.lower())
    if value is None:
        return default
    if value.lower() not in ("true", "false"):
        raise RequestInvalid(f"header {name} is {value!r}; send true or false")
    return value.lower() == "true"


def _parse_duration_ms(
    values_by_name: Mapping[str, str], name: str, default: float
) -> float:
    value = values_by_name.get(name.lower())
    if value is None:
        return default
    if not value.isascii() or not value.isdigit() or len(value) > 9:
        raise RequestInvalid(f"header {name} is {value!r}; send whole milliseconds")
    duration_ms = float(value)
    if not 0 < duration_ms <= MAX_DURATION_MS:
        raise RequestInvalid(
            f"header {name} is {value!r}; send 1 to {MAX_DURATION_MS:.0f}"
        )
    return duration_ms


def _parse_attempt_number(values_by_name: Mapping[str, str]) -> int:
    value = values_by_name.get(ATTEMPT_HEADER.lower(), "0")
    if not value.isascii() or not value.isdigit() or len(value) > 6:
        raise RequestInvalid(
            f"header {ATTEMPT_HEADER} is {value!r}; send a whole number from 1"
        )
    return int(value)


def _parse_idempotency_key(values_by_name: Mapping[str, str]) -> str:
    idempotency_key = values_by_name.get(IDEMPOTENCY_KEY_HEADER.lower(), "")
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise RequestInvalid(
            f"header {IDEMPOTENCY_KEY_HEADER} has {len(idempotency_key)} characters; "
            f"send at most {MAX_IDEMPOTENCY_KEY_CHARACTERS}"
        )
    return idempotency_key
