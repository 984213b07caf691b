"""Models of the core protocols, checked exhaustively over all reachable states.

Each module models one protocol: an immutable state, the steps and faults that
lead from one state to another, and invariants. The invariants are named after
the guarantees P1 to P8 of ``docs/design.md`` or, for jobs, after the rules of the
users' platform. ``python -m sesameladder.specification`` checks all protocols.
"""

from collections.abc import Callable

import minicheck

from sesameladder.specification._at_most_once import (
    TOKEN_WITHOUT_WITNESS,
    AtMostOnceRules,
    build_at_most_once,
)
from sesameladder.specification._claims import build_claims
from sesameladder.specification._configuration import build_configuration
from sesameladder.specification._jobs import LEASE_SCOPE, PROGRESS_SCOPE, build_jobs
from sesameladder.specification._permits import build_permits
from sesameladder.specification._protocol import (
    PROGRESS,
    CheckResult,
    PropertyResult,
    check,
    find_counterexample,
)
from sesameladder.specification._slots import build_slots
from sesameladder.specification._stops import build_stops
from sesameladder.specification._submissions import build_submissions
from sesameladder.specification._tickets import build_tickets

PROTOCOLS: dict[str, Callable[[], minicheck.Protocol]] = {
    "tickets": build_tickets,
    "configuration": build_configuration,
    "permits": build_permits,
    "stops": build_stops,
    "slots": build_slots,
    "at-most-once": build_at_most_once,
    "at-most-once-no-witness": lambda: build_at_most_once(
        AtMostOnceRules(token=TOKEN_WITHOUT_WITNESS)
    ),
    "claims": build_claims,
    "job leases": lambda: build_jobs(scope=LEASE_SCOPE),
    "job progress": lambda: build_jobs(scope=PROGRESS_SCOPE),
    "submissions": build_submissions,
}

__all__ = [
    "PROGRESS",
    "PROTOCOLS",
    "CheckResult",
    "PropertyResult",
    "check",
    "find_counterexample",
]
