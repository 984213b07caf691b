"""Sends the requests for advice of all pools that this process owns."""

from dataclasses import dataclass
from queue import SimpleQueue
from random import Random
from threading import Condition, Event
from typing import Any

from sesameladder.jobs import AdviceCommand
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._supervision import build_thread
from sesameladder.node._telemetry import (
    ADVICE_CALLS,
    ADVICE_SECONDS,
    ADVICE_WAITING,
    log_failure,
    log_warning,
)
from sesameladder.platform import (
    AdviceClient,
    PlatformCallError,
    classify_failure,
)
from sesameladder.service_calls import (
    MAX_UNDER_WAY,
    Call,
    CallLine,
    CallOutcome,
    SentCall,
)


@dataclass(frozen=True, slots=True)
class AdviceFinished:
    """Tickets by worker for a step, valid for ``valid_s``; None if the call failed."""

    step: tuple[str, int, int]
    tickets: dict[str, str] | None
    valid_s: float


class AdviceCall(Call):
    """A request for advice of one pool's owner."""

    __slots__ = ("added_at", "answers", "command", "pool")

    def __init__(
        self, pool: str, command: AdviceCommand, answers: SimpleQueue[Any], now: float
    ) -> None:
        super().__init__(f"{pool}/{command.queue}", command.expected_s)
        self.pool = pool
        self.command = command
        self.answers = answers
        """Queue of the owner, which gets ``AdviceFinished``."""

        self.added_at = now


class AdviceCalls:
    """Owns all calls of this process to the advice service; thread-safe."""

    __slots__ = ("changed", "client", "line", "stopping", "threads")

    def __init__(self, client: AdviceClient | None) -> None:
        self.client = client
        """None where the settings name no advice service; each request fails."""

        self.line = CallLine(Random())
        self.changed = Condition()
        """Guards the line; notified when a call may have become due."""

        self.stopping = Event()
        self.threads = [
            build_thread(f"advice {number}", self._send_calls, self.stopping)
            for number in range(MAX_UNDER_WAY)
        ]

    def request(
        self, pool: str, command: AdviceCommand, answers: SimpleQueue[Any]
    ) -> None:
        """Send a request in its turn and put its ``AdviceFinished`` into a queue."""
        call = AdviceCall(pool, command, answers, read_steady_clock())
        try:
            if self.client is not None:
                self._start_threads()
                with self.changed:
                    self.line.add(call)
                    self._publish_waiting()
                    self.changed.notify()
                return
        except RuntimeError:
            log_failure("advice_failed", pool=pool)
        answers.put(AdviceFinished(command.step, None, 0.0))

    def withdraw(self, answers: SimpleQueue[Any]) -> None:
        """Forget the requests of an owner that have not been sent."""
        with self.changed:
            self.line.withdraw(
                lambda call: isinstance(call, AdviceCall) and call.answers is answers
            )
            self._publish_waiting()

    def stop(self) -> None:
        """End the threads; calls under way are not waited for."""
        self.stopping.set()
        with self.changed:
            self.changed.notify_all()

    def _start_threads(self) -> None:
        with self.changed:
            for thread in self.threads:
                if thread.ident is None:
                    thread.start()

    def _send_calls(self) -> None:
        while not self.stopping.is_set():
            with self.changed:
                sent = self.line.take(read_steady_clock())
                if sent is None:
                    self.changed.wait(self.line.compute_wait(read_steady_clock()))
                    continue
                self._publish_waiting()
            assert isinstance(sent.call, AdviceCall)
            self._send(sent, sent.call)

    def _send(self, sent: SentCall, call: AdviceCall) -> None:
        assert self.client is not None
        outcome, error = CallOutcome.ANSWERED, ""
        tickets: dict[str, str] | None = None
        valid_s = 0.0
        command = call.command
        try:
            advice = self.client.advise(
                command.step, list(command.workers), sent.timeout_s
            )
            tickets = advice.tickets
            # Counted from the request, which is earlier than the tickets' issue.
            valid_s = advice.valid_ms / 1000 - (read_steady_clock() - sent.sent_at)
        except PlatformCallError as failure:
            outcome, error = classify_failure(failure), str(failure)
        except Exception:
            # Without a message, advice for the step would never be asked for again.
            log_failure("advice_failed", pool=call.pool)
        finally:
            now = read_steady_clock()
            with self.changed:
                self.line.finish(sent, outcome, now)
                counts = {
                    "under_way": len(self.line.under_way),
                    "given_up": len(self.line.given_up),
                    "waiting": self.line.count_waiting(),
                    "pause_s": round(max(0.0, self.line.paused_until - now), 3),
                }
                self.changed.notify()
            call.answers.put(AdviceFinished(command.step, tickets, valid_s))
        ADVICE_CALLS.labels(outcome.value).inc()
        ADVICE_SECONDS.labels(call.pool).observe(now - call.added_at)
        if error:
            log_warning(
                "advice_failed",
                pool=call.pool,
                queue=command.queue,
                error=error,
                outcome=outcome.value,
                took_s=round(now - sent.sent_at, 3),
                **counts,
            )

    def _publish_waiting(self) -> None:
        ADVICE_WAITING.set(self.line.count_waiting())
