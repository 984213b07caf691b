"""The home table: the state of the tokens that one process answers for."""

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
    """State of a token in its home's table."""

    STARTING = "starting"
    RUNNING = "running"
    REFUSED = "refused"
    DONE = "done"
    VOID = "void"


@dataclass(slots=True)
class HomeRecord:
    """What the home knows about a token that was used or voided."""

    digest: bytes
    """Digest of the token's request."""

    state: TokenState
    """Current state of the token."""

    outcome: Outcome | None = None
    """Outcome of the run or of the latest refusal; None before either."""

    highest_attempt: int = NO_ATTEMPT
    """Highest attempt number that has arrived, or ``NO_ATTEMPT``."""

    refused_through_attempt: int = NO_ATTEMPT
    """Attempts up to this number were answered ``NotRun`` and may not start."""


class HomeTable:
    """Decides which attempt of a token may start; safe for use by several threads.

    Records of starting and running tokens are never evicted; the admission
    limits bound their number. Records of ended tokens are evicted by age and
    total size. A token whose record was evicted never runs again, and its
    outcome is reported as unknown.
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
        """Return whether this table is the home's own or has adopted its records."""
        return home == self.identity or home in self._adopted_homes

    def state_of(self, token: Token) -> TokenState | None:
        """Return the state of a token, or None if it has no record."""
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
        """Return whether an attempt of a token may start, must wait or is answered.

        ``attempt`` is the number that the caller states, from 1, or
        ``UNSTATED_ATTEMPT``. After a refusal as not run, only an attempt with
        a higher number may start, because a delayed message of an earlier
        attempt can still arrive.
        """
        with self._lock:
            if not self.answers_for(token.home_identity):
                return NotHome()
            record = self._active.get(token) or self._ended.get(token)
            if record is None:
                return self._begin_new_token(token, request_digest, now, attempt)
            return self._begin_known_token(token, record, request_digest, now, attempt)

    def confirm_start(self, token: Token) -> bool:
        """Change the state from starting to running.

        Returns False if the token is not starting, so that only the first call
        after a start is allowed returns True.
        """
        with self._lock:
            record = self._active.get(token)
            if record is None or record.state is not TokenState.STARTING:
                return False
            record.state = TokenState.RUNNING
            return True

    def refuse_start(self, token: Token) -> bool:
        """Void a token whose start the witness did not record.

        Returns False, without a change, if the token is no longer starting.
        """
        with self._lock:
            record = self._active.get(token)
            if record is None or record.state is not TokenState.STARTING:
                return False
            self._void(token, record)
            return True

    def finish(self, token: Token, outcome: Outcome, now: float) -> Outcome:
        """End a starting or running token and return its recorded outcome.

        After a ``NotRun``, attempts with a higher number may start the token.
        If the token has already ended, the outcome recorded before is returned.
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
        """Seal the table and return it as chunks for a peer in the zone.

        A sealed table starts no more tokens. A token that is still running is
        exported with an unknown outcome; a second export, after it ended,
        replaces that outcome at the peer.
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
        """Store one chunk; adopt the table when its last chunk has arrived.

        Returns the homes that were adopted, or an empty set while chunks are
        missing. An incomplete table is not adopted, because a token without a
        record in it would count as never started. Raises ``HandoverMalformed``.
        """
        chunk = HandoverChunk.from_bytes(data)
        with self._lock:
            received_chunks = self._incoming_handovers.setdefault(chunk.sender, {})
            if len(self._incoming_handovers) > MAX_INCOMING_HANDOVERS:
                # Discard the oldest handover, whose sender has most likely ended.
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
        """Return record counts and eviction floors for the state dump."""
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
        # Tokens of an adopted home never start here: if the response to a
        # handover is lost, two peers may hold the same table.
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
