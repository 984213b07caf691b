"""Which workers may run the steps of queues with an advice policy.

The load is a pool of any size in which a policy permits few or many workers for a step.
The advice service answers for up to ``MAX_WORKERS_PER_REQUEST`` workers at a time and
takes longer for each of them. Its answer about a worker stays the same, only the ticket
expires. So a request names the workers on which the step could start now: those known
to be permitted first, then unknown ones, and never one that was refused. It names more
of them after each answer without a permitted worker. All workers are asked about in the
end.

For callers, a request that names a worker without room is wasted time, and a step whose
only permitted worker is never named waits for ever.
"""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Iterable

from sesameladder.jobs._commands import AdviceCommand
from sesameladder.jobs._job import Step
from sesameladder.jobs._model import AdvicePolicy
from sesameladder.jobs._placement import can_take, count_places, score_for_step
from sesameladder.jobs._runs import WorkerView
from sesameladder.jobs._worker_numbers import Incarnation, WorkerNumbers

MAX_WORKERS_PER_REQUEST = 100  # limit published by the platform
MIN_WORKERS_PER_REQUEST = 2
WANTED_PERMITTED = 2.0  # workers expected in an answer; the best one may fill up
# Requests of one queue that wait for their answer. More would only wait longer, and
# keep steps that become urgent meanwhile from their turn.
MAX_REQUESTED_S = 0.2
MIN_REQUESTS = 2
RETRY_PAUSE_S = 0.15  # after a call that failed, or tickets that can't be used
LOOK_PAUSE_S = 0.1  # between looks for workers to ask about; each visits all workers
# A step that no worker may run is asked about again, in case an answer was wrong.
FIRST_RECHECK_PAUSE_S = 10.0
MAX_RECHECK_PAUSE_S = 60.0
MAX_PLACES = 1000  # beyond which the room of a worker need not be known
SHARE_FADING = 0.9  # weight of the earlier answers, with each step that has a new one
MAX_QUEUES = 1000  # whose share of permitted workers is remembered

StepKey = tuple[str, int, int]


class StepAdvice:
    """What the advice service has answered about one step."""

    __slots__ = (
        "expiries",
        "named_in_vain",
        "not_before",
        "permitted",
        "recheck_at",
        "recheck_pause_s",
        "refused",
        "requests_in_vain",
        "tickets",
    )

    def __init__(self) -> None:
        self.permitted = 0
        """Bit mask of the workers that may run the step."""

        self.refused = 0
        """Bit mask of the workers that may not."""

        self.tickets: dict[str, str] = {}
        """Tickets that have not expired when last checked, by worker."""

        self.expiries: dict[str, float] = {}
        """Steady time until which each ticket is valid."""

        self.requests_in_vain = 0
        """Answers without a permitted worker since the last one with some."""

        self.named_in_vain = 0
        """Workers named in these answers."""

        self.recheck_at: float | None = None
        """Steady time at which refused workers are asked about again, if at all."""

        self.recheck_pause_s = FIRST_RECHECK_PAUSE_S
        """Time from the refusal of all workers to that, in seconds."""

        self.not_before = 0.0
        """Steady time before which nothing is asked about the step."""

    def expire(self, now: float) -> None:
        """Forget the tickets that are not valid any more."""
        for worker in [w for w, until in self.expiries.items() if until <= now]:
            del self.tickets[worker], self.expiries[worker]

    def drop(self, worker: str) -> None:
        """Forget the ticket of a worker."""
        self.tickets.pop(worker, None)
        self.expiries.pop(worker, None)


class PermittedShares:
    """Share of the named workers that were permitted, learned for each queue.

    Steps that no worker may run are left out: they say nothing about the others.
    """

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: OrderedDict[str, tuple[float, float]] = OrderedDict()
        """Permitted and named workers by queue; older answers count for less."""

    def get(self, queue: str) -> float:
        """Return the expected share; one half for an unknown queue."""
        permitted, named = self.counts.get(queue, (0.0, 0.0))
        return (1.0 + permitted) / (2.0 + named)

    def record(self, queue: str, permitted: int, named: int) -> None:
        """Record the answers about a step up to one with a permitted worker."""
        earlier = self.counts.pop(queue, (0.0, 0.0))
        self.counts[queue] = (
            SHARE_FADING * earlier[0] + permitted,
            SHARE_FADING * earlier[1] + named,
        )
        while len(self.counts) > MAX_QUEUES:
            self.counts.popitem(last=False)


class PendingRequest:
    """A request whose answer is expected."""

    __slots__ = ("claim", "expected_s", "named", "queue")

    def __init__(
        self,
        queue: str,
        named: tuple[WorkerView, ...],
        expected_s: float,
        claim: float = 0.0,
    ) -> None:
        self.queue = queue
        self.named = named
        self.expected_s = expected_s
        """Time that the service takes for it, in seconds."""

        self.claim = claim
        """Places that the step may take on each worker, on average."""


class AdviceBook:
    """Tickets of one pool's steps, and the requests for them.

    Steady times are in seconds.
    """

    __slots__ = (
        "claims",
        "expected_s",
        "log_event",
        "numbers",
        "pending",
        "pending_by_queue",
        "requests",
        "shares",
        "steps",
    )

    def __init__(self, log_event: Callable[..., None]) -> None:
        self.log_event = log_event
        self.steps: dict[StepKey, StepAdvice] = {}
        self.pending: dict[StepKey, PendingRequest] = {}
        self.pending_by_queue: Counter[str] = Counter()
        """Number of pending requests by queue."""

        self.expected_s: defaultdict[str, float] = defaultdict(float)
        """Time that the service takes for these, in seconds."""

        self.requests: list[AdviceCommand] = []
        """Requests to send since the last ``take_requests``."""

        self.numbers = WorkerNumbers()
        self.shares = PermittedShares()
        self.claims: defaultdict[str, float] = defaultdict(float)
        """Places that the steps of pending requests may take on each worker."""

    def get_tickets(self, step: Step) -> dict[str, str] | None:
        """Return the tickets for a step by worker; None if it needs none."""
        if not step.job.submission.advice:
            return None
        known = self.steps.get(step.key)
        return known.tickets if known is not None else {}

    def consult(self, step: Step, accepting: Iterable[WorkerView], now: float) -> bool:
        """Return whether subtasks of a step may be placed now.

        Plans a request if the tickets at hand don't suffice for the waiting subtasks.
        """
        policy = step.job.submission.advice
        if policy is None:
            return True
        has_turn = self._has_turn(step.job.submission.queue)
        known = self.steps.get(step.key)
        if known is None:
            if not has_turn:
                return False
            known = self.steps[step.key] = StepAdvice()
        known.expire(now)
        may_request = (
            has_turn and now >= known.not_before and step.key not in self.pending
        )
        if not may_request and not known.tickets:
            return False
        candidates = [worker for worker in accepting if can_take(step, worker)]
        offered = [worker for worker in candidates if worker.id in known.tickets]
        failed = {w for row in step.waiting.values() for w in row.failed_workers}
        sound = [worker for worker in offered if worker.id not in failed]
        wanted = count_wanted(step) - sum(
            count_places(step, worker, count_wanted(step)) for worker in sound
        )
        if may_request and (wanted > 0 or step.spec.gang):
            self._request(step, policy, known, candidates, wanted, now)
        # Other workers are preferred to those on which a subtask has failed.
        return bool(sound) or (bool(offered) and step.key not in self.pending)

    def _has_turn(self, queue: str) -> bool:
        """Return whether a queue may have one more request."""
        count = self.pending_by_queue[queue]
        return count < MIN_REQUESTS or self.expected_s[queue] < MAX_REQUESTED_S

    def _request(
        self,
        step: Step,
        policy: AdvicePolicy,
        known: StepAdvice,
        candidates: list[WorkerView],
        wanted: int,
        now: float,
    ) -> None:
        renewed, unknown = [], []
        for worker in candidates:
            bit = self.numbers.assign_bit(get_incarnation(worker))
            if known.permitted & bit:
                if worker.id not in known.tickets:
                    renewed.append(worker)
            elif not known.refused & bit:
                unknown.append(worker)
        if not renewed and not unknown:
            known.not_before = now + LOOK_PAUSE_S
            if candidates and not known.permitted:
                self._recheck(step, known, now)
            return
        named = self._choose_named(step, policy, known, renewed, unknown, wanted)
        expected_ms = policy.decision_ms + policy.per_worker_ms * len(named)
        expected_s = expected_ms / 1000
        queue = step.job.submission.queue
        claim = max(0, wanted) / len(named)
        self.pending[step.key] = PendingRequest(queue, named, expected_s, claim)
        self.pending_by_queue[queue] += 1
        self.expected_s[queue] += expected_s
        names = tuple(worker.id for worker in named)
        for name in names:
            self.claims[name] += claim
        self.requests.append(AdviceCommand(step.key, names, expected_s, queue))

    def _choose_named(
        self,
        step: Step,
        policy: AdvicePolicy,
        known: StepAdvice,
        renewed: list[WorkerView],
        unknown: list[WorkerView],
        wanted: int,
    ) -> tuple[WorkerView, ...]:
        """Return the workers to name, the preferred ones first.

        As many as are expected to have places for the wanted subtasks. While no other
        request of the queue waits, at least as many as double the fixed cost of a call.
        """
        queue = step.job.submission.queue
        share = self.shares.get(queue)
        least = MIN_WORKERS_PER_REQUEST
        if not policy.per_worker_ms:
            least = MAX_WORKERS_PER_REQUEST
        elif not self.pending_by_queue[queue]:
            least = max(least, policy.decision_ms // policy.per_worker_ms)
        least <<= min(known.requests_in_vain, MAX_WORKERS_PER_REQUEST.bit_length())
        named: list[WorkerView] = []
        places, permitted = 0.0, 0.0
        for workers, likelihood in ((renewed, 1.0), (unknown, share)):
            for worker in sorted(workers, key=lambda w: self._rank(step, w)):
                is_enough = places >= wanted and not step.spec.gang
                has_least = likelihood == 1.0 or len(named) >= least
                if is_enough and has_least and permitted >= WANTED_PERMITTED:
                    break
                if len(named) == MAX_WORKERS_PER_REQUEST:
                    break
                named.append(worker)
                places += likelihood * self._count_unclaimed(step, worker)
                permitted += likelihood
        return tuple(named)

    def _rank(self, step: Step, worker: WorkerView) -> tuple[float, ...]:
        return self._count_unclaimed(step, worker) <= 0, *score_for_step(step, worker)

    def _count_unclaimed(self, step: Step, worker: WorkerView) -> float:
        """Return the places for a step that no other pending request may take."""
        places = count_places(step, worker, MAX_PLACES) - self.claims.get(worker.id, 0)
        return min(count_wanted(step), max(0.0, places))

    def _recheck(self, step: Step, known: StepAdvice, now: float) -> None:
        """Forget after a pause that all workers with room were refused.

        Workers that get room meanwhile are asked about without a pause.
        """
        if known.recheck_at is None:
            known.recheck_at = now + known.recheck_pause_s
            self.log_event(
                "advice_permits_none",
                job=step.job.id,
                step=step.number,
                refused=known.refused.bit_count(),
                recheck_s=known.recheck_pause_s,
            )
        elif now >= known.recheck_at:
            known.recheck_at = None
            known.recheck_pause_s = min(MAX_RECHECK_PAUSE_S, 2 * known.recheck_pause_s)
            known.refused = known.requests_in_vain = known.named_in_vain = 0

    def take_requests(self) -> list[AdviceCommand]:
        """Return the planned requests, and clear the list."""
        requests, self.requests = self.requests, []
        return requests

    def apply(
        self,
        key: StepKey,
        tickets: dict[str, str] | None,
        valid_s: float,
        now: float,
    ) -> None:
        """Apply an answer about a step; ``tickets`` is None if the call failed.

        Tickets that have expired on arrival are no use, and are asked for anew after
        a pause.
        """
        request = self._remove_pending(key)
        known = self.steps.get(key)
        if request is None or known is None:
            return
        if tickets is None:
            known.not_before = now + RETRY_PAUSE_S
            return
        permitted_count = 0
        for worker in request.named:
            # No bit is left for an incarnation that has ended since.
            bit = self.numbers.get_bit(get_incarnation(worker))
            if worker.id not in tickets:
                known.refused |= bit
                continue
            permitted_count += 1
            known.permitted |= bit
            if bit and valid_s > 0:
                known.tickets[worker.id] = tickets[worker.id]
                known.expiries[worker.id] = now + valid_s
        self._learn(known, request, permitted_count)
        self.log_event(
            "advice_received",
            job=key[0],
            step=key[2],
            named=len(request.named),
            permitted=permitted_count,
            refused=known.refused.bit_count(),
        )
        if permitted_count and valid_s <= 0:
            self.log_event("advice_expired", job=key[0], step=key[2])
            known.not_before = now + RETRY_PAUSE_S

    def _remove_pending(self, key: StepKey) -> PendingRequest | None:
        request = self.pending.pop(key, None)
        if request is None:
            return None
        for worker in request.named:
            self.claims[worker.id] -= request.claim
        if not self.pending:
            self.claims.clear()
        self.pending_by_queue[request.queue] -= 1
        self.expected_s[request.queue] -= request.expected_s
        if not self.pending_by_queue[request.queue]:
            del self.pending_by_queue[request.queue], self.expected_s[request.queue]
        return request

    def _learn(
        self, known: StepAdvice, request: PendingRequest, permitted: int
    ) -> None:
        named = len(request.named)
        if not permitted:
            known.requests_in_vain += 1
            known.named_in_vain += named
            return
        self.shares.record(request.queue, permitted, named + known.named_in_vain)
        known.requests_in_vain = known.named_in_vain = 0
        known.recheck_at = None
        known.recheck_pause_s = FIRST_RECHECK_PAUSE_S

    def reject_ticket(self, key: StepKey, worker: str, now: float) -> None:
        """Forget a ticket that its worker has rejected.

        After a ticket that should still be valid, the next request waits for a while.
        """
        known = self.steps.get(key)
        if known is None:
            return
        if now < known.expiries.get(worker, 0.0):
            known.not_before = now + RETRY_PAUSE_S
        known.drop(worker)

    def forget_step(self, key: StepKey) -> None:
        """Forget a step of a job that has ended."""
        self.steps.pop(key, None)

    def forget_other_workers(self, kept: Iterable[WorkerView]) -> None:
        """Forget what is known of incarnations that have ended.

        The next incarnation of a worker needs a new ticket, and may be of another kind.
        """
        forgotten = self.numbers.forget_others(map(get_incarnation, kept))
        if not forgotten:
            return
        mask = sum(forgotten.values())
        for known in self.steps.values():
            known.permitted &= ~mask
            known.refused &= ~mask
            for worker, _ in forgotten:
                known.drop(worker)


def count_wanted(step: Step) -> int:
    """Return the places that a step needs now; one for a copy of a run."""
    return max(1, step.waiting_count)


def get_incarnation(worker: WorkerView) -> Incarnation:
    """Return the identifier and the start time of a worker."""
    return worker.id, worker.record.born_ms
