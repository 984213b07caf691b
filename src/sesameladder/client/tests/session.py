"""Runs command lines against a fake store and records what they print."""

import io
import json
from dataclasses import dataclass, field
from pathlib import Path

from sesameladder.client._context import Context
from sesameladder.client._errors import InstanceUnreachable
from sesameladder.client._main import run
from sesameladder.environment import FakeStore

NOW = 1_764_840_000.0


SETTINGS = """{
    // Three instances in two zones.
    "platform_address": "127.0.0.1:7000",
    "zone": "a",
    "region": "south",
    "author": "mara",
    "instances": [
        {"instance": "entry-a-1", "zone": "a", "admin_address": "127.0.0.1:7101"},
        {"instance": "entry-a-2", "zone": "a", "admin_address": "127.0.0.1:7102"},
        {"instance": "entry-b-1", "zone": "b", "admin_address": "127.0.0.1:7103"},
    ],
}"""


@dataclass
class Session:
    """A store, fake instances and the transcript of all commands run so far."""

    folder: Path
    store: FakeStore = field(default_factory=lambda: FakeStore(lambda: NOW))
    responses: dict[str, object] = field(default_factory=dict)
    sleep_callbacks: list = field(default_factory=list)
    transcript: str = ""

    def write(self, name: str, document: object) -> None:
        content = document if isinstance(document, str) else json.dumps(document)
        (self.folder / name).write_text(content, encoding="utf-8")

    def run(self, line: str) -> int:
        self.write("client.jsonc", SETTINGS)
        words = line.split()
        arguments = [
            str(self.folder / word) if word.endswith(".json") else word
            for word in words
        ]
        output, error_output = io.StringIO(), io.StringIO()
        code = run(
            [*arguments, "--settings", str(self.folder / "client.jsonc")],
            context_factory=lambda settings: Context(
                settings,
                self.store,
                self.fetch,
                lambda: NOW,
                self.sleep,
                output,
                error_output,
            ),
        )
        self.transcript += f"$ sesameladder {line}\n{output.getvalue()}"
        self.transcript += "".join(
            f"! {error_line}\n" for error_line in error_output.getvalue().splitlines()
        )
        self.transcript += f"exit code {int(code)}\n\n"
        return code

    def fetch(self, address: str, path: str) -> object:
        response = self.responses.get(address + path)
        if response is None:
            raise InstanceUnreachable(f"{address}: connection refused")
        return response

    def sleep(self, seconds: float) -> None:
        if self.sleep_callbacks:
            self.sleep_callbacks.pop(0)()
