"""The state of the tokens that one process answers for."""

import threading
from dataclasses import dataclass
from enum import StrEnum

from sesameladder.idempotency._begin import (
    BeginResult,
    DigestMismatch,
    Expired,
    Finished,
    InProgress,
    NotHome,
    RecordEvicted,
    StartAllowed,
    TokenVoided,
)
from sesameladder.idempotency._handover import (
    HandoverChunk,
    HandoverRecord,
    split_records,
)
from sesameladder.idempotency._outcome import (
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
    outcome_size_bytes,
)
from sesameladder.idempotency._retention import RETENTION_SECONDS, RetainedRecords
from sesameladder.idempotency._token import Token
from sesameladder.model import PeerIdentity

HOME_TABLE_MAX_BYTES = 32 * 1024 * 1024
UNSTATED_ATTEMPT = 0
NO_ATTEMPT = -1
MAX_INCOMING_HANDOVERS = 4


class TokenState(StrEnum):
    """State of a used token at its home."""

    STARTING = "starting"
    RUNNING = "running"
    REFUSED = "refused"
    DONE = "done"
    VOID = "void"


@dataclass(slots=True)
class HomeRecord:
    """A used token."""

    digest: bytes
    """Digest of the request; empty for a token voided before its first use."""

    state: TokenState
    """Where the token stands."""

    outcome: Outcome | None = None
    """Outcome of the run or of the latest refusal."""

    highest_attempt: int = NO_ATTEMPT
    """Highest attempt number that has arrived."""

    refused_through_attempt: int = NO_ATTEMPT
    """Attempts up to this number were answered "not run" and stay refused."""


class HomeTable:
    """Decides which attempt of a token may start; threads may share it.

    Records of tokens that are starting or running are never dropped;
    admission limits bound their number. Ended records are dropped by age and
    bytes. A token whose record was dropped never runs again and its answer is
    unknown.
    """

    __slots__ = (
        "_active",
        "_adopted_homes",
        "_ended",
        "_export_count",
        "_incoming_handovers",
        "_lock",
        "identity",
        "sealed",
    )

    def __init__(
        self,
        instance: str,
        incarnation: int,
        max_bytes: int = HOME_TABLE_MAX_BYTES,
        retention_s: float = RETENTION_SECONDS,
    ) -> None:
        self.identity = PeerIdentity(instance, incarnation)
        self.sealed = False
        self._export_count = 0
        self._active: dict[Token, HomeRecord] = {}
        self._ended: RetainedRecords[HomeRecord] = RetainedRecords(
            max_bytes, retention_s
        )
        self._adopted_homes: set[PeerIdentity] = set()
        self._incoming_handovers: dict[PeerIdentity, dict[int, HandoverChunk]] = {}
        self._lock = threading.Lock()

    def answers_for(self, home: PeerIdentity) -> bool:
        """Return whether this table holds the state of a home's tokens."""
        return home == self.identity or home in self._adopted_homes

    def state_of(self, token: Token) -> TokenState | None:
        """Return where a token stands; None without a record."""
        with self._lock:
            record = self._active.get(token) or self._ended.get(token)
            return record.state if record else None

    def begin(
        self,
        token: Token,
        request_digest: bytes,
        now: float,
        attempt: int = UNSTATED_ATTEMPT,
    ) -> BeginResult:
        """Admit an attempt of a token.

        ``attempt`` is the number that the caller states, from 1, or
        ``UNSTATED_ATTEMPT``. After a refusal as not run, only an attempt with
        a higher number may start, since a message of an earlier one may still
        be on its way.
        """
        with self._lock:
            if not self.answers_for(token.home_identity):
                return NotHome()
            record = self._active.get(token) or self._ended.get(token)
            if record is None:
                return self._begin_new_token(token, request_digest, now, attempt)
            return self._begin_known_token(token, record, request_digest, now, attempt)

    def confirm_start(self, token: Token) -> bool:
        """Turn starting into running; only the first call returns True."""
        with self._lock:
            record = self._active.get(token)
            if record is None or record.state is not TokenState.STARTING:
                return False
            record.state = TokenState.RUNNING
            return True

    def refuse_start(self, token: Token) -> bool:
        """Void a token whose start was not recorded, if it is still starting."""
        with self._lock:
            record = self._active.get(token)
            if record is None or record.state is not TokenState.STARTING:
                return False
            self._void(token, record)
            return True

    def finish(self, token: Token, outcome: Outcome, now: float) -> Outcome:
        """End a starting or running token; returns the outcome that counts.

        A ``NotRun`` leaves the token to attempts with a higher number.
        """
        with self._lock:
            record = self._active.get(token)
            if record is None:
                return self._ended_outcome(token)
            if isinstance(outcome, NotRun):
                self._refuse(token, record, outcome, now)
            else:
                record.state = TokenState.DONE
                record.outcome = outcome
                self._move_to_ended(token, record, now)
            return outcome

    def export_chunks(self) -> list[bytes]:
        """Seal the table and return it in parts for a peer of the zone.

        A sealed table starts nothing any more. A token that is still running
        travels as unknown; its answer can reach the peer by a second export.
        """
        with self._lock:
            self.sealed = True
            self._export_count += 1
            for token, record in list(self._active.items()):
                if record.state is TokenState.STARTING:
                    self._void(token, record)
            record_groups = split_records(self._handover_records())
            homes = (self.identity, *sorted(self._adopted_homes, key=str))
            floors = self._ended.floors()
            return [
                HandoverChunk(
                    self.identity,
                    homes,
                    floors,
                    self._export_count,
                    index,
                    len(record_groups),
                    records,
                ).to_bytes()
                for index, records in enumerate(record_groups)
            ]

    def import_chunk(self, data: bytes) -> frozenset[PeerIdentity]:
        """Take in one part; returns the homes adopted with the last one.

        Nothing is adopted before all parts are here: a token without a record
        counts as never started. Raises ``HandoverMalformed``.
        """
        chunk = HandoverChunk.from_bytes(data)
        with self._lock:
            received_chunks = self._incoming_handovers.setdefault(chunk.sender, {})
            if len(self._incoming_handovers) > MAX_INCOMING_HANDOVERS:
                # The sender that began first has most likely ended.
                del self._incoming_handovers[next(iter(self._incoming_handovers))]
            if any(
                received.export_number != chunk.export_number
                for received in received_chunks.values()
            ):
                received_chunks.clear()
            received_chunks[chunk.index] = chunk
            if len(received_chunks) < chunk.count:
                return frozenset()
            del self._incoming_handovers[chunk.sender]
            for received in received_chunks.values():
                self._adopt_chunk(received)
            homes = frozenset(chunk.homes) - {self.identity}
            self._adopted_homes |= homes
            return homes

    def dump(self) -> dict[str, object]:
        """Return counts and floors for the state dump."""
        with self._lock:
            states = [record.state for record in self._active.values()]
            return {
                "home": str(self.identity),
                "sealed": self.sealed,
                "adopted": sorted(str(home) for home in self._adopted_homes),
                "starting": states.count(TokenState.STARTING),
                "running": states.count(TokenState.RUNNING),
                "ended": len(self._ended),
                "ended_bytes": self._ended.total_bytes,
                "floors": self._ended.floors(),
            }

    def _handover_records(self) -> list[HandoverRecord]:
        ended = [
            _to_handover_record(token, record) for token, record in self._ended.items()
        ]
        unknown_outcome = Unknown(UnknownReason.HOME_LOST)
        running = [
            HandoverRecord(
                token,
                record.digest,
                False,
                record.refused_through_attempt,
                unknown_outcome,
            )
            for token, record in self._active.items()
        ]
        return ended + running

    def _adopt_chunk(self, chunk: HandoverChunk) -> None:
        for home, (incarnation, sequence) in chunk.floors.items():
            self._ended.raise_floor(home, incarnation, sequence)
        for record in chunk.records:
            known = self._ended.get(record.token)
            if known is None or isinstance(known.outcome, Unknown):
                size = outcome_size_bytes(record.outcome)
                self._ended.put(record.token, _from_handover_record(record), size)

    def _begin_new_token(
        self, token: Token, digest: bytes, now: float, attempt: int
    ) -> BeginResult:
        if self._ended.may_have_evicted(token):
            return RecordEvicted()
        if now >= token.expires_at and token.home_identity == self.identity:
            return Expired()
        record = HomeRecord(digest, TokenState.STARTING, highest_attempt=attempt)
        if not self._may_start(token):
            self._void(token, record, now)
            return TokenVoided()
        self._active[token] = record
        return StartAllowed()

    def _begin_known_token(
        self, token: Token, record: HomeRecord, digest: bytes, now: float, attempt: int
    ) -> BeginResult:
        if record.digest != digest:
            return DigestMismatch()
        record.highest_attempt = max(record.highest_attempt, attempt)
        if record.state in (TokenState.STARTING, TokenState.RUNNING):
            return InProgress()
        if record.state is TokenState.VOID:
            return TokenVoided()
        if (
            record.state is TokenState.REFUSED
            and attempt > record.refused_through_attempt
        ):
            return self._restart_refused(token, record, now)
        assert record.outcome is not None
        return Finished(record.outcome)

    def _restart_refused(
        self, token: Token, record: HomeRecord, now: float
    ) -> BeginResult:
        if not self._may_start(token) or now >= token.expires_at:
            self._void(token, record, now)
            return TokenVoided()
        self._ended.pop(token)
        record.state = TokenState.STARTING
        self._active[token] = record
        return StartAllowed()

    def _may_start(self, token: Token) -> bool:
        # An adopted home's tokens are only answered: two peers may both hold
        # the table when the answer of a handover is lost.
        return not self.sealed and token.home_identity == self.identity

    def _refuse(
        self, token: Token, record: HomeRecord, outcome: NotRun, now: float
    ) -> None:
        record.state = TokenState.REFUSED
        record.outcome = outcome
        record.refused_through_attempt = record.highest_attempt
        self._move_to_ended(token, record, now)

    def _void(self, token: Token, record: HomeRecord, now: float | None = None) -> None:
        record.state = TokenState.VOID
        record.outcome = NotRun(NotRunReason.TOKEN_VOID)
        self._move_to_ended(token, record, now)

    def _move_to_ended(
        self, token: Token, record: HomeRecord, now: float | None
    ) -> None:
        self._active.pop(token, None)
        assert record.outcome is not None
        self._ended.put(token, record, outcome_size_bytes(record.outcome), now)

    def _ended_outcome(self, token: Token) -> Outcome:
        record = self._ended.get(token)
        if record is None or record.outcome is None:
            return Unknown(UnknownReason.ANSWER_EVICTED)
        return record.outcome


def _to_handover_record(token: Token, record: HomeRecord) -> HandoverRecord:
    assert record.outcome is not None
    is_void = record.state is TokenState.VOID
    return HandoverRecord(
        token, record.digest, is_void, record.refused_through_attempt, record.outcome
    )


def _from_handover_record(record: HandoverRecord) -> HomeRecord:
    state = TokenState.DONE
    if record.is_void:
        state = TokenState.VOID
    elif isinstance(record.outcome, NotRun):
        state = TokenState.REFUSED
    return HomeRecord(
        record.digest,
        state,
        record.outcome,
        record.refused_through_attempt,
        record.refused_through_attempt,
    )
