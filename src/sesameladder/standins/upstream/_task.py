"""Task of an upstream, with its progress, lease and end, and its checkpoint."""

import base64
import binascii
import hashlib
import json
from dataclasses import dataclass
from enum import StrEnum

CHECKPOINT_DIGEST_BYTES = 8
NEVER = float("inf")
WORK_TOLERANCE_S = 1e-9  # absorbs rounding in the computation of work left


class TaskEnd(StrEnum):
    """Reason for the end of a task."""

    DONE = "done"
    """Its work is complete."""

    CHECKPOINTED = "checkpointed"
    """A caller requested a checkpoint."""

    STOPPED = "stopped"
    """A caller requested a stop."""

    LEASE_EXPIRED = "lapsed"
    """Its lease expired."""

    INTERRUPTED = "cut"
    """The worker rebooted or shut down."""


@dataclass(slots=True)
class Task:
    """A task, whose remaining work decreases with time at the rate of its share."""

    task_id: str
    """Task id that the forwarder chose."""

    started_at: float
    """Clock time of the start in seconds."""

    lease_expires_at: float
    """Clock time in seconds at which the lease expires."""

    work_left_s: float
    """Work left at ``updated_at``, in seconds at a share of 1."""

    updated_at: float
    """Clock time at which ``work_left_s`` was computed."""

    share: float = 1.0
    """Rate of progress: above 0, at most 1."""

    end: TaskEnd | None = None
    """Reason for the end; None while the task runs."""

    ended_at: float = NEVER
    """Clock time of the end; infinite while the task runs."""

    def advance(self, now: float) -> None:
        """Subtract the work done since the last update; end the task when due."""
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
        """End the task, unless it has ended already."""
        if self.end is None:
            self.end = end
            self.ended_at = now

    def to_report_row(self, at: float) -> dict[str, object]:
        """Return the task's JSON row in a report for a clock time."""
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
    """Saved state of a task, which callers keep and send back as an opaque text."""

    checkpoint_id: str
    """Unique id of the checkpoint."""

    work_left_s: float
    """Work left, in seconds at a share of 1."""

    def to_text(self) -> str:
        """Return the opaque text, which includes a digest."""
        body = json.dumps([self.checkpoint_id, self.work_left_s]).encode()
        return base64.urlsafe_b64encode(_digest(body) + body).decode()

    @classmethod
    def from_text(cls, text: str) -> "Checkpoint":
        """Return the checkpoint in an opaque text; raises ValueError if invalid."""
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
