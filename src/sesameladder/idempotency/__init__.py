"""At-most-once execution: tokens, home and witness tables, claims.

Plain objects with an injected clock and no sockets. ``docs/design.md``
section 2.3 describes the protocol.
"""

from sesameladder.idempotency._begin import (
    Begin,
    DigestMismatch,
    Expired,
    Finished,
    Forgotten,
    InProgress,
    NotHome,
    RefusedVoid,
    StartAllowed,
    begin_outcome,
)
from sesameladder.idempotency._claims import (
    CLAIM_LEASE_SHARE_SECONDS,
    CLAIM_RETENTION_SECONDS,
    KEY_LIFETIME_SECONDS,
    BindRefused,
    Bound,
    ClaimBinder,
    claim_key,
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
    refuse_unsent,
)
from sesameladder.idempotency._resolver import (
    Answer,
    AskWitness,
    AttemptResolver,
    DeadlinePassed,
    Event,
    ForwardToHome,
    HomeAnswered,
    HomeGone,
    HomeMoved,
    HomeUnreachable,
    RunHere,
    Step,
    WitnessAnswered,
    WitnessUnreachable,
)
from sesameladder.idempotency._start import (
    RecordStart,
    SendBack,
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
    "CLAIM_LEASE_SHARE_SECONDS",
    "CLAIM_RETENTION_SECONDS",
    "KEY_LIFETIME_SECONDS",
    "TOKEN_LIFETIME_SECONDS",
    "UNSTATED_ATTEMPT",
    "Answer",
    "AskWitness",
    "AttemptResolver",
    "Begin",
    "BindRefused",
    "Bound",
    "ClaimBinder",
    "DeadlinePassed",
    "DigestMismatch",
    "Done",
    "Event",
    "Expired",
    "Finished",
    "Forgotten",
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
    "RecordStart",
    "RefusedVoid",
    "RunHere",
    "SendBack",
    "SendToWorker",
    "StartAllowed",
    "StartProcedure",
    "StartStep",
    "Started",
    "Step",
    "Token",
    "TokenIssuer",
    "TokenMalformed",
    "TokenState",
    "Unknown",
    "UnknownReason",
    "WaitForRun",
    "WitnessAnswered",
    "WitnessState",
    "WitnessTable",
    "WitnessUnreachable",
    "WitnessVerdict",
    "begin_outcome",
    "claim_key",
    "is_token_text",
    "refuse_unsent",
]
