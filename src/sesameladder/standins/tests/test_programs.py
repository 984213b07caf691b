"""Settings, start, signal handling and exit code of the stand-in programs."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import urllib3

PROGRAMS = {
    "platform": '{"address": "127.0.0.1:0" /* a free port */}',
    "upstream": '{"upstreams": [{"name": "w1", "address": "127.0.0.1:0"}]}',
}
PATHS = {"platform": "/counters", "upstream": "/-/health"}


def start_program(name: str, settings: Path) -> subprocess.Popen[str]:
    code = f"from sesameladder.standins.{name} import main; main()"
    command = [sys.executable, "-c", code, "--settings", str(settings)]
    environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parents[3])}
    return subprocess.Popen(command, stderr=subprocess.PIPE, text=True, env=environment)


@pytest.mark.parametrize("name", PROGRAMS)
def test_program_serves_until_signal(tmp_path: Path, name: str) -> None:
    """Guards against a program that ignores SIGTERM or does not log its address."""
    settings = tmp_path / "settings.jsonc"
    settings.write_text(PROGRAMS[name])
    with start_program(name, settings) as process:
        try:
            started = json.loads(process.stderr.readline())
            assert started["event"] == "started"
            url = f"http://{started['address']}{PATHS[name]}"
            assert urllib3.request("GET", url, retries=False).status == 200
        finally:
            process.send_signal(signal.SIGTERM)
            lines = process.stderr.read().splitlines()
        assert process.wait() == 0
    events = [json.loads(line)["event"] for line in lines]
    assert events == ["shutdown_started", "shutdown_finished"]


@pytest.mark.parametrize("name", PROGRAMS)
def test_program_refuses_settings(tmp_path: Path, name: str) -> None:
    """Guards against a program that starts with invalid settings."""
    settings = tmp_path / "settings.jsonc"
    settings.write_text("{}")
    with start_program(name, settings) as process:
        output = process.stderr.read()
        assert process.wait() == 2
    assert f"{settings}: " in output
    assert "is missing; add it" in output
