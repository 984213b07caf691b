"""Serialisation of a home table that is handed over at graceful shutdown."""

import base64
import json
from dataclasses import dataclass

from sesameladder.idempotency._errors import HandoverMalformed, TokenMalformed
from sesameladder.idempotency._outcome import Done, NotRun, Outcome, Unknown
from sesameladder.idempotency._token import Token
from sesameladder.model import PeerIdentity

# A peer frame is limited to 2 MiB, which must also hold its envelope.
MAX_CHUNK_BYTES = 1_500_000


@dataclass(frozen=True, slots=True)
class HandoverRecord:
    """The record of one token in a handover, always with an outcome."""

    token: Token
    """Token that the record belongs to."""

    digest: bytes
    """Digest of the token's request."""

    is_void: bool
    """Whether the token never started and can no longer start."""

    refused_through_attempt: int
    """Attempts up to this number were answered ``NotRun``; -1 if none was."""

    outcome: Outcome
    """Outcome that retries receive."""


@dataclass(frozen=True, slots=True)
class HandoverChunk:
    """A part of a home table; a receiver adopts the table once it has all chunks."""

    sender: PeerIdentity
    """The process that is shutting down."""

    homes: tuple[PeerIdentity, ...]
    """The homes whose tokens the table holds: the sender and those it adopted."""

    floors: dict[str, tuple[int, int]]
    """Eviction floors by instance id, see ``RetainedRecords``."""

    export_number: int
    """Number of the sender's export; chunks of different exports are not combined."""

    index: int
    """Index of the chunk within its export, from 0."""

    count: int
    """Number of chunks of the export."""

    records: tuple[HandoverRecord, ...]
    """The token records in this chunk."""

    def to_bytes(self) -> bytes:
        """Return the chunk as UTF-8 encoded JSON."""
        return json.dumps(
            {
                "sender": [self.sender.instance, self.sender.incarnation],
                "homes": [[home.instance, home.incarnation] for home in self.homes],
                "floors": self.floors,
                "export": self.export_number,
                "index": self.index,
                "count": self.count,
                "records": [_record_to_json(record) for record in self.records],
            },
            separators=(",", ":"),
        ).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "HandoverChunk":
        """Decode a chunk from JSON; raises ``HandoverMalformed``."""
        try:
            fields = json.loads(data)
            return cls(
                sender=PeerIdentity(*fields["sender"]),
                homes=tuple(PeerIdentity(*home) for home in fields["homes"]),
                floors={
                    home: (int(incarnation), int(sequence))
                    for home, (incarnation, sequence) in fields["floors"].items()
                },
                export_number=int(fields["export"]),
                index=int(fields["index"]),
                count=int(fields["count"]),
                records=tuple(map(_record_from_json, fields["records"])),
            )
        except (ValueError, TypeError, KeyError, TokenMalformed) as error:
            raise HandoverMalformed(f"not a part of a home table: {error}") from error


def split_records(records: list[HandoverRecord]) -> list[tuple[HandoverRecord, ...]]:
    """Split the records into groups of at most ``MAX_CHUNK_BYTES`` of JSON each.

    A record that exceeds this size forms a group of its own. The result has at
    least one group, which is empty if there are no records.
    """
    groups: list[tuple[HandoverRecord, ...]] = []
    group: list[HandoverRecord] = []
    size = 0
    for record in records:
        record_size = len(json.dumps(_record_to_json(record)))
        if group and size + record_size > MAX_CHUNK_BYTES:
            groups.append(tuple(group))
            group, size = [], 0
        group.append(record)
        size += record_size
    return [*groups, tuple(group)]


def _record_to_json(record: HandoverRecord) -> list[object]:
    return [
        record.token.to_text(),
        record.digest.hex(),
        record.is_void,
        record.refused_through_attempt,
        _outcome_to_json(record.outcome),
    ]


def _record_from_json(fields: list[object]) -> HandoverRecord:
    token, digest, is_void, refused_through_attempt, outcome = fields
    return HandoverRecord(
        token=Token.from_text(str(token)),
        digest=bytes.fromhex(str(digest)),
        is_void=bool(is_void),
        refused_through_attempt=int(str(refused_through_attempt)),
        outcome=_outcome_from_json(outcome),
    )


def _outcome_to_json(outcome: Outcome) -> list[object]:
    if isinstance(outcome, Done):
        body = base64.b64encode(outcome.body).decode()
        return ["done", outcome.status, outcome.headers, body]
    if isinstance(outcome, NotRun):
        return ["not-run", outcome.reason, outcome.retry_after_s]
    return ["unknown", outcome.reason]


def _outcome_from_json(value: object) -> Outcome:
    match value:
        case ["done", int(status), list(headers), str(body)]:
            pairs = tuple((str(name), str(text)) for name, text in headers)
            return Done(status, pairs, base64.b64decode(body, validate=True))
        case ["not-run", str(reason), None | int() | float() as retry_after_s]:
            return NotRun(reason, retry_after_s)
        case ["unknown", str(reason)]:
            return Unknown(reason)
    raise ValueError(f"not an outcome: {value!r}")
