"""One task of an upstream: progress, lease and end."""

import base64
import binascii
import hashlib
import json
from dataclasses import dataclass
from enum import StrEnum

CHECKPOINT_DIGEST_BYTES = 8
NEVER = float("inf")
WORK_TOLERANCE_S = 1e-9


class TaskEnd(StrEnum):
    """Why a task ended."""

    DONE = "done"
    """It ran to its end."""

    CHECKPOINTED = "checkpointed"
    """It saved its state on order."""

    STOPPED = "stopped"
    """It was stopped on order."""

    LEASE_EXPIRED = "lapsed"
    """Its lease lapsed."""

    INTERRUPTED = "cut"
    """The worker rebooted."""


@dataclass(slots=True)
class Task:
    """A task whose remaining work shrinks with time, at the rate of its share."""

    task_id: str
    """Identity that the forwarder gave the task."""

    started_at: float
    """Clock time of the start."""

    lease_expires_at: float
    """Clock time at which the lease lapses."""

    work_left_s: float
    """Work that is left at ``updated_at``, in seconds at a full share."""

    updated_at: float
    """Clock time at which ``work_left_s`` was computed."""

    share: float = 1.0
    """Rate of progress, above 0 up to 1."""

    end: TaskEnd | None = None
    """Why the task ended; None while it runs."""

    ended_at: float = NEVER
    """Clock time of the end."""

    def advance(self, now: float) -> None:
        """Account the work since the last update and end the task when due."""
        if self.end is not None:
            return
        worked_until = min(now, self.lease_expires_at)
        self.work_left_s -= max(0.0, worked_until - self.updated_at) * self.share
        self.updated_at = max(self.updated_at, worked_until)
        if self.work_left_s <= WORK_TOLERANCE_S:
            self.finish(TaskEnd.DONE, now)
        elif now >= self.lease_expires_at:
            self.finish(TaskEnd.LEASE_EXPIRED, now)

    def finish(self, end: TaskEnd, now: float) -> None:
        """End the task, unless it has ended before."""
        if self.end is None:
            self.end = end
            self.ended_at = now

    def to_report_row(self, at: float) -> dict[str, object]:
        """Return the task's row in a report of a time."""
        return {
            "task_id": self.task_id,
            "running_ms": (at - self.started_at) * 1000,
            "lease_left_ms": max(0.0, self.lease_expires_at - at) * 1000,
        }

    def predict_end(self) -> float:
        """Return the clock time at which the task ends if nothing changes."""
        done_at = self.updated_at + self.work_left_s / self.share
        return min(done_at, self.lease_expires_at)


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Saved state of a task, passed through callers as an opaque text."""

    checkpoint_id: str
    """Identity of the checkpoint."""

    work_left_s: float
    """Work that is left, in seconds at a full share."""

    def to_text(self) -> str:
        """Return the opaque text."""
        body = json.dumps([self.checkpoint_id, self.work_left_s]).encode()
        return base64.urlsafe_b64encode(_digest(body) + body).decode()

    @classmethod
    def from_text(cls, text: str) -> "Checkpoint":
        """Return the checkpoint in an opaque text; raises ValueError."""
        try:
            data = base64.b64decode(text.encode("ascii"), b"-_", validate=True)
        except (binascii.Error, UnicodeError) as error:
            raise ValueError(f"the checkpoint is malformed: {error}") from error
        digest, body = data[:CHECKPOINT_DIGEST_BYTES], data[CHECKPOINT_DIGEST_BYTES:]
        if digest != _digest(body):
            raise ValueError("the checkpoint is damaged")
        checkpoint_id, work_left_s = json.loads(body)
        return cls(checkpoint_id, work_left_s)


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=CHECKPOINT_DIGEST_BYTES).digest()
