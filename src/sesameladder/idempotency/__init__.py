"""At-most-once execution: idempotency tokens, home and witness tables, claims.

The classes open no sockets and read no clock: callers pass the current time in
seconds and send the messages between processes. Section 2.3 of
``docs/design.md`` describes the protocol.
"""

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
    begin_outcome,
)
from sesameladder.idempotency._claims import (
    CLAIM_LEASE_REUSE_SECONDS,
    CLAIM_RETENTION_SECONDS,
    KEY_LIFETIME_SECONDS,
    BindRefused,
    Bound,
    ClaimBinder,
    claim_store_key,
)
from sesameladder.idempotency._errors import (
    HandoverMalformed,
    IdempotencyError,
    TokenMalformed,
)
from sesameladder.idempotency._home import (
    UNSTATED_ATTEMPT,
    HomeTable,
    TokenState,
)
from sesameladder.idempotency._issuer import (
    TOKEN_LIFETIME_SECONDS,
    TokenIssuer,
)
from sesameladder.idempotency._outcome import (
    Done,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
    unsent_outcome,
)
from sesameladder.idempotency._resolver import (
    Answer,
    AskWitness,
    AttemptEvent,
    AttemptResolver,
    AttemptStep,
    DeadlinePassed,
    ForwardToHome,
    HomeAnswered,
    HomeGone,
    HomeMoved,
    HomeUnreachable,
    RunLocally,
    WitnessAnswered,
    WitnessUnreachable,
)
from sesameladder.idempotency._start import (
    RecordStart,
    ReportNotHome,
    SendToWorker,
    StartProcedure,
    StartStep,
    WaitForRun,
)
from sesameladder.idempotency._token import Token, is_token_text
from sesameladder.idempotency._witness import (
    NeverStarted,
    NotWitness,
    Started,
    WitnessState,
    WitnessTable,
    WitnessVerdict,
)
from sesameladder.model import PeerIdentity

__all__ = [
    "CLAIM_LEASE_REUSE_SECONDS",
    "CLAIM_RETENTION_SECONDS",
    "KEY_LIFETIME_SECONDS",
    "TOKEN_LIFETIME_SECONDS",
    "UNSTATED_ATTEMPT",
    "Answer",
    "AskWitness",
    "AttemptEvent",
    "AttemptResolver",
    "AttemptStep",
    "BeginResult",
    "BindRefused",
    "Bound",
    "ClaimBinder",
    "DeadlinePassed",
    "DigestMismatch",
    "Done",
    "Expired",
    "Finished",
    "ForwardToHome",
    "HandoverMalformed",
    "HomeAnswered",
    "HomeGone",
    "HomeMoved",
    "HomeTable",
    "HomeUnreachable",
    "IdempotencyError",
    "InProgress",
    "NeverStarted",
    "NotHome",
    "NotRun",
    "NotRunReason",
    "NotWitness",
    "Outcome",
    "PeerIdentity",
    "RecordEvicted",
    "RecordStart",
    "ReportNotHome",
    "RunLocally",
    "SendToWorker",
    "StartAllowed",
    "StartProcedure",
    "StartStep",
    "Started",
    "Token",
    "TokenIssuer",
    "TokenMalformed",
    "TokenState",
    "TokenVoided",
    "Unknown",
    "UnknownReason",
    "WaitForRun",
    "WitnessAnswered",
    "WitnessState",
    "WitnessTable",
    "WitnessUnreachable",
    "WitnessVerdict",
    "begin_outcome",
    "claim_store_key",
    "is_token_text",
    "unsent_outcome",
]
