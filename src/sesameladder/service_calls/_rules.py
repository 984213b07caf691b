"""Rules of the calls to shared services: time limits, repeats, late executions.

Each of these services may execute a call after its caller has given it up, so the
rules name what keeps that harmless. docs/design/outside-calls.md has the tests.
"""

from enum import StrEnum
from random import Random

from sesameladder.service_calls._learned_rate import RateKind

PAUSE_S = 0.15  # a store that was away is found soon; a refused call costs it little
PAUSE_SPREAD = (0.5, 1.5)  # processes that fail together don't come back together


class Service(StrEnum):
    """Service that all processes of a deployment share."""

    STORE = "store"
    VMS = "vms"
    ADVICE = "advice"


class LateExecution(StrEnum):
    """What keeps a call harmless that is executed after it was given up."""

    READS = "reads"
    """It changes nothing."""

    CONDITION = "condition"
    """Its transaction requires keys that a later write has changed."""

    EXPIRY = "expiry"
    """What it creates, extends or ends is used by nobody, or ends by itself."""

    RESET = "reset"
    """Its connection is reset, and the next caller waits until it can't arrive."""


class CallRules:
    """Rules that all calls of one kind have in common."""

    __slots__ = ("late_execution", "name", "rate", "service", "timeout_s")

    def __init__(
        self,
        service: Service,
        name: str,
        timeout_s: float,
        late_execution: LateExecution,
        rate: RateKind | None = None,
    ) -> None:
        self.service = service
        self.name = name
        """Name in metrics; unique for each service."""

        self.timeout_s = timeout_s
        """Time in seconds after which a call is given up."""

        self.late_execution = late_execution
        self.rate = rate
        """Rate of the store that it counts against; None for other services."""


# The store responds in 4 ms; after 150 times that a response counts as lost.
READ = CallRules(Service.STORE, "read", 0.6, LateExecution.READS, RateKind.READ)
# A page holds up to 1 MB.
PAGE_READ = CallRules(Service.STORE, "page", 1.0, LateExecution.READS, RateKind.READ)
WATCH = CallRules(Service.STORE, "watch", 0.7, LateExecution.READS, RateKind.READ)
"""Its time limit is added to the time for which the store is asked to wait."""

TRANSACTION = CallRules(
    Service.STORE, "transaction", 0.6, LateExecution.CONDITION, RateKind.WRITE
)
LEASE_GRANT = CallRules(
    Service.STORE, "grant", 0.6, LateExecution.EXPIRY, RateKind.WRITE
)
LEASE_RENEWAL = CallRules(
    Service.STORE, "renewal", 0.6, LateExecution.EXPIRY, RateKind.READ
)
LEASE_END = CallRules(Service.STORE, "end", 0.6, LateExecution.EXPIRY, RateKind.WRITE)
# A response takes milliseconds, 50 times as long when slow.
VM_LIST = CallRules(Service.VMS, "list", 2.0, LateExecution.READS)
VM_ORDER = CallRules(Service.VMS, "order", 2.0, LateExecution.RESET)


def draw_pause(random: Random) -> float:
    """Return the seconds after which control repeats a call that failed.

    Control is everything but clients' requests; it repeats its calls for as long as
    they are needed. The load is all threads of all processes, whose calls fail at the
    same time when the store does.
    """
    return PAUSE_S * random.uniform(*PAUSE_SPREAD)
