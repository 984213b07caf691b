"""Transcript of a session: one line per event."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime

ACTOR_WIDTH = 10


@dataclass(slots=True)
class Transcript:
    """Lines of events, each with the simulated time in UTC."""

    now: Callable[[], float]
    """Clock in seconds since the Unix epoch."""

    lines: list[str] = field(default_factory=list)
    """Lines so far, without newline characters."""

    def add(self, actor: str, text: str) -> None:
        """Append the line of one event."""
        time = datetime.fromtimestamp(self.now(), UTC).strftime("%H:%M:%S")
        self.lines.append(f"{time} {actor:<{ACTOR_WIDTH}} {text}")

    def to_text(self) -> str:
        """Return the lines as the text of a golden file."""
        return "".join(f"{line}\n" for line in self.lines)
