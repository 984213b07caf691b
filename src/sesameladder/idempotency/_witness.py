"""The witness table: starts that a process records for the homes of its zone."""

import threading
from dataclasses import dataclass
from enum import StrEnum

from sesameladder.idempotency._begin import Finished
from sesameladder.idempotency._outcome import Done, Outcome, outcome_size_bytes
from sesameladder.idempotency._retention import RETENTION_SECONDS, RetainedRecords
from sesameladder.idempotency._token import Token
from sesameladder.model import PeerIdentity

WITNESS_TABLE_MAX_BYTES = 16 * 1024 * 1024
MAX_OUTCOME_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class NeverStarted:
    """No start was recorded, and the token is void from now on."""


@dataclass(frozen=True, slots=True)
class Started:
    """A start was recorded, or its record may have been evicted."""


@dataclass(frozen=True, slots=True)
class NotWitness:
    """The token names another process or incarnation as its witness."""


WitnessVerdict = NeverStarted | Started | Finished | NotWitness


class WitnessState(StrEnum):
    """State of a token in its witness's table."""

    STARTED = "started"
    VOID = "void"
    ANSWERED = "answered"


class WitnessTable:
    """Records either the start or the void of a token, whichever comes first.

    It is safe for use by several threads. Records are evicted by age and total
    size. For a token whose record may have been evicted, ``void`` returns
    ``Started`` and ``record_start`` refuses the start, so neither answer can
    be wrong.
    """

    __slots__ = ("_lock", "_records", "identity", "max_outcome_bytes")

    def __init__(
        self,
        instance: str,
        incarnation: int,
        max_bytes: int = WITNESS_TABLE_MAX_BYTES,
        max_outcome_bytes: int = MAX_OUTCOME_BYTES,
        retention_s: float = RETENTION_SECONDS,
    ) -> None:
        self.identity = PeerIdentity(instance, incarnation)
        self.max_outcome_bytes = max_outcome_bytes
        self._records: RetainedRecords[WitnessState | Done] = RetainedRecords(
            max_bytes, retention_s
        )
        self._lock = threading.Lock()

    def state_of(self, token: Token) -> WitnessState | None:
        """Return the recorded state of a token, or None if it has no record."""
        with self._lock:
            record = self._records.get(token)
            return WitnessState.ANSWERED if isinstance(record, Done) else record

    def record_start(self, token: Token, now: float) -> bool:
        """Record that the home starts the token; returns False to forbid it.

        Returns True again for a token whose start is already recorded: the
        home may ask again after a refused attempt, its message may arrive
        twice, and its own table allows only one run.
        """
        with self._lock:
            if token.witness_identity != self.identity:
                return False
            record = self._records.get(token)
            if record is None and self._records.may_have_evicted(token):
                return False
            if record is None:
                self._records.put(token, WitnessState.STARTED, 0, now)
                return True
            return record is WitnessState.STARTED

    def void(self, token: Token, now: float) -> WitnessVerdict:
        """Return the verdict on a token; void it if no start is recorded."""
        with self._lock:
            if token.witness_identity != self.identity:
                return NotWitness()
            record = self._records.get(token)
            if record is None and self._records.may_have_evicted(token):
                return Started()
            if record is None or record is WitnessState.VOID:
                self._records.put(token, WitnessState.VOID, 0, now)
                return NeverStarted()
            return Started() if isinstance(record, WitnessState) else Finished(record)

    def record_outcome(self, token: Token, outcome: Outcome) -> None:
        """Store the outcome of a started token for use after its home is lost.

        Only ``Done`` is stored, because a delayed message with the ``NotRun``
        of an earlier attempt must not hide a later start. An outcome larger
        than ``max_outcome_bytes`` is not stored.
        """
        size = outcome_size_bytes(outcome)
        if not isinstance(outcome, Done) or size > self.max_outcome_bytes:
            return
        with self._lock:
            if self._records.get(token) is WitnessState.STARTED:
                self._records.put(token, outcome, size)

    def dump(self) -> dict[str, object]:
        """Return record counts and eviction floors for the state dump."""
        with self._lock:
            records = [record for _, record in self._records.items()]
            return {
                "witness": str(self.identity),
                "started": records.count(WitnessState.STARTED),
                "void": records.count(WitnessState.VOID),
                "answered": sum(isinstance(record, Done) for record in records),
                "bytes": self._records.total_bytes,
                "floors": self._records.floors(),
            }
