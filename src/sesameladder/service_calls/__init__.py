"""Decisions about a process's calls to the services that all processes share.

These are the store, the machines' API and the advice service. ``CallRules`` has
the time limit of each kind of call and what keeps a late execution harmless.
``ClientCalls`` bounds the store's calls that clients cause, by what the store shows,
and gives each client its turn; ``CallLine`` orders the calls to the advice service,
which handles those of one VM in turn. ``ClientRepeats``, ``LeaseRenewals`` and
``draw_pause`` decide when a call is made again. The package opens no sockets and reads
no clocks.
"""

from sesameladder.service_calls._client_calls import RETRY_SPREAD, Caller, ClientCalls
from sesameladder.service_calls._client_repeats import (
    CallFailure,
    ClientRepeats,
    Decision,
)
from sesameladder.service_calls._fairness import RecentCalls
from sesameladder.service_calls._learned_rate import LearnedRate, RateKind
from sesameladder.service_calls._lease_renewals import LeaseRenewals
from sesameladder.service_calls._line import (
    MAX_UNDER_WAY,
    Call,
    CallLine,
    CallOutcome,
    SentCall,
)
from sesameladder.service_calls._rules import (
    LEASE_END,
    LEASE_GRANT,
    LEASE_RENEWAL,
    PAGE_READ,
    READ,
    TRANSACTION,
    VM_LIST,
    VM_ORDER,
    WATCH,
    CallRules,
    LateExecution,
    Service,
    draw_pause,
)

__all__ = [
    "LEASE_END",
    "LEASE_GRANT",
    "LEASE_RENEWAL",
    "MAX_UNDER_WAY",
    "PAGE_READ",
    "READ",
    "RETRY_SPREAD",
    "TRANSACTION",
    "VM_LIST",
    "VM_ORDER",
    "WATCH",
    "Call",
    "CallFailure",
    "CallLine",
    "CallOutcome",
    "CallRules",
    "Caller",
    "ClientCalls",
    "ClientRepeats",
    "Decision",
    "LateExecution",
    "LearnedRate",
    "LeaseRenewals",
    "RateKind",
    "RecentCalls",
    "SentCall",
    "Service",
    "draw_pause",
]
