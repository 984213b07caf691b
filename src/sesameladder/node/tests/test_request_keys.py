"""The check of keys on each call of the job API, without network."""

import io
import json
from collections.abc import Callable
from typing import Any

import pytest

from sesameladder.jobs import Configuration
from sesameladder.node import _http_servers
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._configuration_task import ConfirmedConfiguration
from sesameladder.node._http_servers import JobApiServer
from sesameladder.node._intake import Intake
from sesameladder.node._records import decode_submission
from sesameladder.node._telemetry import REGISTRY
from sesameladder.node.tests.test_intake import BODY, JOB
from sesameladder.platform import Committed, decode_configuration

HOST = "h.example"
KEY = "sk-clé-4711"
HEADER = "HTTP_X_SESAMELADDER_CREDENTIAL"
WIRE_KEY = KEY.encode().decode("latin-1")  # as the server passes the bytes on
LARGE_BODY = b" " * 1001


class RecordingStore:
    """Commits everything, finds nothing, and records each call."""

    def __init__(self) -> None:
        self.calls: list[Any] = []
        self.last_served_call_at = read_steady_clock()

    def commit(self, *arguments: Any) -> Committed:
        self.calls.append(arguments)
        return Committed(7)

    def read(self, key: str) -> None:
        self.calls.append(key)


def build_configuration(tenants: Any = ()) -> Configuration:
    route = {"host": HOST, "service": "p"}
    fields: dict[str, Any] = {
        "version": 3,
        "routes": [
            {**route, "name": "open", "prefix": "/open/", "public": True},
            {**route, "name": "closed", "prefix": "/closed/"},
        ],
        "services": [{"name": "p"}],
        "limits": {"bodyBytes": 1000},
    }
    if tenants is not None:
        fields["tenants"] = list(tenants) or [{"name": "acme", "apiKeys": [KEY]}]
    return decode_configuration(json.dumps(fields).encode())


class Api:
    """A job API over a recording store, with a configuration of some age."""

    def __init__(self, configuration: Configuration | None, age_s: float = 0.0) -> None:
        self.store = RecordingStore()
        self.configuration = configuration
        self.age_s = age_s
        self.server = JobApiServer(
            "127.0.0.1:0",
            "n1",
            Intake(self.store),
            self.read,
            lambda: 5.0,  # type: ignore[arg-type]
        )

    def read(self) -> ConfirmedConfiguration | None:
        if self.configuration is None:
            return None
        confirmed_at = read_steady_clock() - self.age_s
        return ConfirmedConfiguration(self.configuration, confirmed_at)

    def call(
        self,
        method: str = "POST",
        path: str = f"/closed/{JOB}",
        key: str | None = WIRE_KEY,
        body: bytes = BODY,
    ) -> tuple[int, dict[str, Any], dict[str, str]]:
        environ: dict[str, Any] = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_HOST": HOST,
            "wsgi.input": io.BytesIO(body),
        }
        if key is not None:
            environ[HEADER] = key
        started: list[Any] = []
        answer = self.server._handle(environ, lambda *a: started.append(a))
        text, headers = started[0]
        return int(text.split()[0]), json.loads(b"".join(answer)), dict(headers)


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("POST", f"/closed/{JOB}"),
        ("GET", f"/closed/{JOB}"),
        ("DELETE", f"/closed/{JOB}"),
        ("GET", "/closed/"),
    ],
    ids=["submit", "show", "cancel", "pending"],
)
@pytest.mark.parametrize(
    ("key", "age_s", "status"),
    [
        (None, 0.0, 401),
        ("", 0.0, 401),
        ("other", 0.0, 401),
        ("other", 2.0, 503),
        ("x" * 100_000, 0.0, 401),
        (WIRE_KEY, 4.6, 503),
    ],
    ids=["none", "empty", "unknown", "old", "too long", "too old"],
)
def test_call_without_a_valid_key_calls_no_store(
    method: str, path: str, key: str | None, age_s: float, status: int
) -> None:
    """Guards against calls of strangers that are stored or make the store read."""
    api = Api(build_configuration(), age_s)
    answered, body, headers = api.call(method, path, key)
    assert answered == status
    assert api.store.calls == []
    assert body.get("has_run") is (False if status == 503 else None)
    assert ("Retry-After" in headers) is (status == 503)


def test_old_configuration_refuses_a_job_that_is_known_as_accepted() -> None:
    """Guards against success for a withdrawn key from the cache of accepted jobs."""
    api = Api(build_configuration())
    assert api.call()[0] == 200
    assert api.call()[:2] == (200, {"accepted": True, "new": False})
    api.age_s = 4.6
    assert api.call()[0] == 503
    api.age_s = 0.0
    api.configuration = build_configuration([{"name": "acme"}])
    status, body, _ = api.call()
    # The job may have run, so the answer must not say the opposite.
    assert (status, "has_run" in body) == (401, False)


@pytest.mark.parametrize(
    ("configuration", "path", "key", "body", "status"),
    [
        (None, "/nowhere/", None, BODY, 503),
        (build_configuration(), "/nowhere/", None, BODY, 404),
        (build_configuration(), f"/closed/{JOB}", None, LARGE_BODY, 401),
        (build_configuration(), f"/closed/{JOB}", WIRE_KEY, LARGE_BODY, 413),
        (build_configuration(), f"/closed/{JOB}", WIRE_KEY, b"{", 400),
        (build_configuration(), f"/open/{JOB}", None, BODY, 200),
        (build_configuration(), f"/open/{JOB}", "other", BODY, 200),
        (build_configuration(None), f"/closed/{JOB}", None, BODY, 200),
        (build_configuration(None), f"/closed/{JOB}", "other", BODY, 200),
    ],
)
def test_key_is_checked_between_route_and_body(
    configuration: Configuration | None,
    path: str,
    key: str | None,
    body: bytes,
    status: int,
) -> None:
    """Guards against answers that tell strangers about limits and bodies.

    Public routes, and configurations without organisations, ask for no key.
    """
    assert Api(configuration).call("POST", path, key, body)[0] == status


@pytest.mark.parametrize("key", [WIRE_KEY, KEY], ids=["utf-8", "latin-1"])
def test_key_may_hold_other_letters_than_ascii(key: str) -> None:
    """Guards against keys that work or not by the encoding of the client's library."""
    assert Api(build_configuration()).call(key=key)[0] == 200


def test_method_is_checked_after_the_key() -> None:
    api = Api(build_configuration())
    assert api.call("PATCH", key=None)[0] == 401
    assert api.call("PATCH")[0] == 405


@pytest.mark.parametrize("age_s", [4.6, 1e6, float("inf")])
@pytest.mark.parametrize(
    ("tenants", "path"), [(None, f"/closed/{JOB}"), ((), f"/open/{JOB}")]
)
def test_call_without_a_key_check_is_served_by_an_old_configuration(
    tenants: Any, path: str, age_s: float
) -> None:
    """Guards against outages of earlier deployments and of public routes."""
    api = Api(build_configuration(tenants), age_s)
    assert api.call(path=path)[0] == 200
    (puts, _, _), *further = api.store.calls
    assert further == []
    # The record is the same, byte for byte, as without organisations.
    assert b"organisation" not in puts[0].value


@pytest.mark.parametrize(
    ("path", "name"), [(f"/closed/{JOB}", "acme"), (f"/open/{JOB}", "")]
)
def test_organisation_is_stored_with_the_job_and_logged(
    path: str, name: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against work that is charged to nobody, or to a key instead of a name."""
    caplog.set_level("INFO")
    api = Api(build_configuration())
    assert api.call(path=path)[0] == 200
    value = api.store.calls[0][0][0].value
    assert decode_submission(JOB, value, 7).organisation == name
    (line,) = [r.__dict__["event_fields"] for r in caplog.records]
    assert (line["organisation"], line["version"], line["status"]) == (name, 3, 200)
    assert "4711" not in repr(line) + value.decode()


def test_request_uses_one_confirmed_pair(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the age of one configuration and the keys of another.

    The pair is read once, after the body has arrived, and the clock after the pair.
    """
    order: list[str] = []

    def record(step: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def recorded(*arguments: Any) -> Any:
            order.append(step)
            return call(*arguments)

        return recorded

    api = Api(build_configuration())
    confirmed = api.read()

    class Body(io.BytesIO):
        def read(self, size: int | None = -1) -> bytes:
            order.append("body")
            return super().read(size)

    check = _http_servers.check_key
    monkeypatch.setattr(_http_servers, "check_key", record("check", check))
    clock = record("clock", read_steady_clock)
    api.server.read_configuration = record("pair", lambda: confirmed)
    monkeypatch.setattr(_http_servers, "read_steady_clock", clock)
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": f"/closed/{JOB}",
        "HTTP_HOST": HOST,
        "wsgi.input": Body(BODY),
        HEADER: WIRE_KEY,
    }
    api.server._handle(environ, lambda *_: None)
    assert order[:5] == ["clock", "body", "pair", "clock", "check"]
    assert order.count("pair") == 1


def test_checks_are_counted_by_outcome() -> None:
    """Guards against refusals that no metric shows."""
    cases = {
        "accepted": (WIRE_KEY, 0.0),
        "missing": (None, 0.0),
        "unknown": ("other", 0.0),
        "unconfirmed": (WIRE_KEY, 5.0),
    }
    for outcome, (key, age_s) in cases.items():
        labels = {"outcome": outcome}
        name = "sesameladder_key_checks_total"
        before = REGISTRY.get_sample_value(name, labels) or 0.0
        Api(build_configuration(), age_s).call(key=key)
        assert REGISTRY.get_sample_value(name, labels) == before + 1
