"""Runs of one job on the workers of a pool whose owner changes.

Start orders are never removed from a state, so each may arrive late, more than
once, or not at all. A network partition may separate a worker from the owner. The
worker's lease then expires before the owner gives up the worker's runs, and is
renewed once the owner reaches the worker again. Each rule can be switched off for
a broken variant. Two scopes keep the search small: leases (one step on two
workers, one of which may be partitioned) and progress (two steps on one worker,
failures, cancellation).
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

import minicheck

from sesameladder.specification._protocol import build_protocol

MAX_TERMS = 2
MAX_ATTEMPTS = 1
MAX_STARTS_PER_STEP = 2
RUN_NUMBERS_PER_TERM = 10

Run = tuple[int, int, int]
"""Worker, step and run number; the run numbers of a step increase."""


@dataclass(frozen=True, slots=True)
class JobScope:
    """Steps, workers and faults that a search covers."""

    name: str
    """Name of the protocol."""

    steps: tuple[int, ...]
    """Steps of the job, in order."""

    workers: tuple[int, ...]
    """Workers of the pool."""

    has_partitions: bool
    """Whether worker 0 may be partitioned from the owner."""

    has_failures: bool
    """Whether runs may fail."""

    can_cancel: bool
    """Whether the caller may cancel the job."""


LEASE_SCOPE = JobScope("job leases", (0,), (0, 1), True, False, False)
PROGRESS_SCOPE = JobScope("job progress", (0, 1), (0,), False, True, True)


@dataclass(frozen=True, slots=True)
class JobRules:
    """The rules that a broken variant leaves out."""

    reads_workers_first: bool = True
    """A new owner starts nothing before it has read all workers."""

    blocks_unresolved_starts: bool = True
    """A lease is renewed only after the worker blocks the runs that were given up."""

    stores_ends_first: bool = True
    """An end is acknowledged only after its result is stored."""

    waits_for_previous_step: bool = True
    """A step starts only after the previous step is done."""

    counts_failures: bool = True
    """A step is not started again after ``MAX_ATTEMPTS`` failures."""

    never_refuses_unsettled_writes: bool = True
    """A submission whose write has no response yet is not reported as refused."""

    stops_when_cancelled: bool = True
    """Nothing is started after the cancellation is stored."""


class JobSystemState(NamedTuple):
    """State of the job, the store, the owner and the workers."""

    faults_stopped: bool = False
    """Whether faults have stopped."""

    submission: str = "none"
    """Write of the submission to the store: none, sent or stored."""

    response: str = "none"
    """Response to the caller: none, accepted or refused."""

    is_cancelled: bool = False
    """Whether the cancellation is stored."""

    term: int = 1
    """Term of the present owner."""

    workers_read: frozenset[int] = frozenset()
    """Workers whose runs and ends the present owner has read."""

    current_runs: tuple[Run | None, Run | None] = (None, None)
    """For each step, the run that the owner regards as possibly running."""

    unanswered_starts: frozenset[Run] = frozenset()
    """Runs whose start has got no response yet."""

    unresolved_starts: frozenset[Run] = frozenset()
    """Runs that the owner gave up and whose start may still arrive."""

    known_done: frozenset[int] = frozenset()
    """Steps that the owner knows to be done."""

    known_failed: frozenset[Run] = frozenset()
    """Failed runs that the owner knows of."""

    stored_done: frozenset[int] = frozenset()
    """Steps that are stored as done."""

    stored_failed: frozenset[Run] = frozenset()
    """Failed runs that are stored."""

    acknowledged_ends: frozenset[tuple[Run, str]] = frozenset()
    """Ends with their reason that workers no longer list."""

    done_with_expired_lease: frozenset[Run] = frozenset()
    """Runs that ended as done on a worker whose lease expired before the end was
    acknowledged. The owner may start their step again without violating TWICE.
    """

    start_orders: frozenset[tuple[int, Run]] = frozenset()
    """Start orders sent so far, each with the term of the owner that sent it."""

    fences: tuple[int, int] = (1, 1)
    """Highest term that each worker has seen; it ignores orders of lower terms."""

    has_lease: tuple[bool, bool] = (True, True)
    """Whether the lease of each worker is valid."""

    partitioned_worker: int | None = None
    """Worker that the owner cannot reach, or None."""

    active_runs: frozenset[Run] = frozenset()
    """Runs that run on a worker."""

    blocked_runs: frozenset[Run] = frozenset()
    """Runs that their worker no longer starts, nor lower run numbers of their step."""

    listed_ends: frozenset[tuple[Run, str]] = frozenset()
    """Ends with their reason that workers list until they are acknowledged."""

    starts_after_cancellation: frozenset[tuple[int, Run]] = frozenset()
    """Start orders that were sent after the cancellation was stored."""

    violations: frozenset[str] = frozenset()
    """Names of the invariants that a start has violated."""


def build_jobs(
    rules: JobRules | None = None, scope: JobScope = LEASE_SCOPE
) -> minicheck.Protocol:
    """Return the protocol with all rules or a broken variant.

    A start on a worker violates TWICE if the step runs already or its end as done
    was acknowledged, ORDER if the previous step is not done, BUDGET if
    ``MAX_ATTEMPTS`` failures of the step were acknowledged, UNASKED if its order was
    sent after the cancellation, and REFUSED if the caller was told that the
    submission is refused.
    """
    active_rules = rules or JobRules()
    invariant_names = ("TWICE", "ORDER", "BUDGET", "UNASKED", "REFUSED")
    return build_protocol(
        scope.name,
        JobSystemState(workers_read=frozenset(scope.workers)),
        lambda state: _list_steps(state, active_rules, scope),
        lambda state: _list_faults(state, scope),
        {name: _build_invariant(name) for name in invariant_names},
        lambda state: _is_goal(state, scope),
    )


def _build_invariant(name: str) -> Callable[[JobSystemState], bool]:
    return lambda state: name not in state.violations


def _is_goal(state: JobSystemState, scope: JobScope) -> bool:
    """Return whether the job has reached a final state and nothing runs."""
    if state.submission == "none":
        return state.response == "refused"
    failed = any(
        _count_stored_failures(state, step) >= MAX_ATTEMPTS for step in scope.steps
    )
    finished = state.stored_done == frozenset(scope.steps)
    # The search limits the starts of a step; a step that has used them all cannot
    # progress in the model, so its state counts as final.
    exhausted = any(
        sum(run[1] == step for _, run in state.start_orders) >= MAX_STARTS_PER_STEP
        for step in scope.steps
    )
    settled = state.is_cancelled or failed or finished or exhausted
    return settled and (exhausted or not state.active_runs)


def _list_steps(
    state: JobSystemState, rules: JobRules, scope: JobScope
) -> Iterator[tuple[str, JobSystemState]]:
    yield from _list_submission_steps(state, rules)
    if scope.can_cancel and state.response == "accepted" and not state.is_cancelled:
        yield "cancel", state._replace(is_cancelled=True)
    for worker in scope.workers:
        if state.partitioned_worker != worker:
            yield from _list_worker_reads(state, worker, rules, scope)
    yield from _list_starts(state, rules, scope)
    if state.partitioned_worker is not None:
        yield from _list_expiry_steps(state, state.partitioned_worker, scope)
        yield "partition heals", state._replace(partitioned_worker=None)
    yield from _list_deliveries(state)
    for run in state.active_runs:
        yield f"{run} is done", _end_run(state, run, "done")
    yield from _list_stops(state)
    yield from _list_store_writes(state)
    yield from _list_acknowledgements(state, rules)


def _list_faults(
    state: JobSystemState, scope: JobScope
) -> Iterator[tuple[str, JobSystemState]]:
    if scope.has_partitions and state.partitioned_worker is None:
        yield "partition worker 0", state._replace(partitioned_worker=0)
    if state.term < MAX_TERMS:
        yield "new owner", _change_owner(state)
    if scope.has_failures:
        for run in state.active_runs:
            yield f"{run} fails", _end_run(state, run, "failed")


def _list_submission_steps(
    state: JobSystemState, rules: JobRules
) -> Iterator[tuple[str, JobSystemState]]:
    if state.submission == "none" and state.response == "none":
        yield "submit", state._replace(submission="sent")
        yield "refuse at once", state._replace(response="refused")
    if state.submission == "sent":
        yield "write arrives", state._replace(submission="stored")
        if not rules.never_refuses_unsettled_writes and state.response == "none":
            yield "refuse unsettled write", state._replace(response="refused")
    if state.submission == "stored" and state.response == "none":
        yield "accept", state._replace(response="accepted")


def _list_worker_reads(
    state: JobSystemState, worker: int, rules: JobRules, scope: JobScope
) -> Iterator[tuple[str, JobSystemState]]:
    """Return the step that reads a worker's runs and ends and renews its lease.

    The same step makes the worker block given-up runs whose start may still arrive.
    """
    fences = _replace_item(state.fences, worker, state.term)
    unresolved = frozenset(run for run in state.unresolved_starts if run[0] == worker)
    blocked, remaining = state.blocked_runs, state.unresolved_starts
    if rules.blocks_unresolved_starts:
        blocked, remaining = blocked | unresolved, remaining - unresolved
    runs = list(state.current_runs)
    for step in scope.steps:
        current_run = runs[step]
        present = [r for r in state.active_runs if r[:2] == (worker, step)]
        if present and current_run is None:
            runs[step] = present[0]
    done, failed = set(state.known_done), set(state.known_failed)
    for run, reason in state.listed_ends:
        if run[0] != worker:
            continue
        if reason == "done":
            done.add(run[1])
        elif reason == "failed":
            failed.add(run)
        if runs[run[1]] == run:
            runs[run[1]] = None
    after = state._replace(
        fences=fences,
        has_lease=_replace_item(state.has_lease, worker, True),
        workers_read=state.workers_read | {worker},
        current_runs=(runs[0], runs[1]),
        blocked_runs=blocked,
        unresolved_starts=remaining,
        unanswered_starts=frozenset(
            run for run in state.unanswered_starts if run in runs
        ),
        known_done=frozenset(done),
        known_failed=frozenset(failed),
    )
    if after != state:
        yield f"read {worker}", after


def _list_starts(
    state: JobSystemState, rules: JobRules, scope: JobScope
) -> Iterator[tuple[str, JobSystemState]]:
    if state.submission != "stored" or (
        state.is_cancelled and rules.stops_when_cancelled
    ):
        return
    if rules.reads_workers_first and state.workers_read != frozenset(scope.workers):
        return
    for step in scope.steps:
        if state.current_runs[step] is not None or step in state.known_done:
            continue
        if step and rules.waits_for_previous_step and 0 not in state.known_done:
            continue
        tried_numbers = [run[2] for _, run in state.start_orders if run[1] == step]
        failed = sum(run[1] == step for run in state.known_failed)
        if rules.counts_failures and failed >= MAX_ATTEMPTS:
            continue
        if len(tried_numbers) >= MAX_STARTS_PER_STEP:
            continue
        first_number = state.term * RUN_NUMBERS_PER_TERM
        number = max(
            [first_number, *(n + 1 for n in tried_numbers if n >= first_number)]
        )
        for worker in scope.workers:
            if worker == state.partitioned_worker and worker not in state.workers_read:
                continue
            run = (worker, step, number)
            yield (
                f"start {run}",
                state._replace(
                    start_orders=state.start_orders | {(state.term, run)},
                    starts_after_cancellation=state.starts_after_cancellation
                    | ({(state.term, run)} if state.is_cancelled else set()),
                    current_runs=_replace_item(state.current_runs, step, run),
                    unanswered_starts=state.unanswered_starts | {run},
                ),
            )


def _list_deliveries(state: JobSystemState) -> Iterator[tuple[str, JobSystemState]]:
    for term, run in state.start_orders:
        worker, step, number = run
        if worker == state.partitioned_worker or term < state.fences[worker]:
            continue
        known_runs = [
            r
            for r in (*state.active_runs, *state.blocked_runs)
            if r[:2] == (worker, step)
        ]
        if not state.has_lease[worker] or any(r[2] >= number for r in known_runs):
            continue
        violations = set(state.violations)
        if any(r[1] == step for r in state.active_runs):
            violations.add("TWICE")
        acknowledged_done = {r for r, end in state.acknowledged_ends if end == "done"}
        if any(r[1] == step for r in acknowledged_done - state.done_with_expired_lease):
            violations.add("TWICE")
        if step and not _has_done_run(state, 0):
            violations.add("ORDER")
        acknowledged_failed = {
            r for r, end in state.acknowledged_ends if end == "failed"
        }
        if sum(r[1] == step for r in acknowledged_failed) >= MAX_ATTEMPTS:
            violations.add("BUDGET")
        if state.response == "refused":
            violations.add("REFUSED")
        if state.is_cancelled and (term, run) in state.starts_after_cancellation:
            violations.add("UNASKED")
        yield (
            f"worker {worker} starts {run}",
            state._replace(
                active_runs=state.active_runs | {run},
                fences=_replace_item(state.fences, worker, term),
                violations=frozenset(violations),
            ),
        )


def _list_stops(state: JobSystemState) -> Iterator[tuple[str, JobSystemState]]:
    """Return stops of the runs of a cancelled job and of obsolete runs."""
    for run in state.active_runs:
        if run[0] == state.partitioned_worker or run[0] not in state.workers_read:
            continue
        if state.is_cancelled or state.current_runs[run[1]] != run:
            yield f"stop {run}", _end_run(state, run, "stopped")


def _list_store_writes(state: JobSystemState) -> Iterator[tuple[str, JobSystemState]]:
    done = state.stored_done | state.known_done
    failed = state.stored_failed | state.known_failed
    if (done, failed) != (state.stored_done, state.stored_failed):
        yield "store progress", state._replace(stored_done=done, stored_failed=failed)


def _list_acknowledgements(
    state: JobSystemState, rules: JobRules
) -> Iterator[tuple[str, JobSystemState]]:
    for end in state.listed_ends:
        run, reason = end
        if run[0] == state.partitioned_worker or run[0] not in state.workers_read:
            continue
        is_stored = {
            "done": run[1] in state.stored_done,
            "failed": run in state.stored_failed,
        }.get(reason, state.current_runs[run[1]] != run)
        is_known = {
            "done": run[1] in state.known_done,
            "failed": run in state.known_failed,
        }.get(reason, state.current_runs[run[1]] != run)
        if is_stored or (is_known and not rules.stores_ends_first):
            yield (
                f"acknowledge {run}",
                state._replace(
                    listed_ends=state.listed_ends - {end},
                    acknowledged_ends=state.acknowledged_ends | {end},
                ),
            )


def _list_expiry_steps(
    state: JobSystemState, worker: int, scope: JobScope
) -> Iterator[tuple[str, JobSystemState]]:
    """Return the expiry of a partitioned worker's lease.

    After the expiry, return the steps by which the owner gives up the worker's runs.
    """
    if state.has_lease[worker]:
        after = state
        for run in state.active_runs:
            if run[0] == worker:
                after = _end_run(after, run, "lapsed")
        ends = {
            run for run, end in state.listed_ends if run[0] == worker and end == "done"
        }
        after = after._replace(
            has_lease=_replace_item(state.has_lease, worker, False),
            done_with_expired_lease=state.done_with_expired_lease | ends,
        )
        yield f"expire lease of worker {worker}", after
        return
    for step in scope.steps:
        current_run = state.current_runs[step]
        if (
            current_run is not None
            and current_run[0] == worker
            and worker in state.workers_read
        ):
            unresolved = state.unresolved_starts
            if current_run in state.unanswered_starts:
                unresolved = unresolved | {current_run}
            yield (
                f"give up {current_run}",
                state._replace(
                    current_runs=_replace_item(state.current_runs, step, None),
                    unresolved_starts=unresolved,
                ),
            )


def _change_owner(state: JobSystemState) -> JobSystemState:
    """Change the owner of the pool; the new one knows only what is stored."""
    return state._replace(
        term=state.term + 1,
        workers_read=frozenset(),
        current_runs=(None, None),
        unanswered_starts=frozenset(),
        unresolved_starts=frozenset(),
        known_done=state.stored_done,
        known_failed=state.stored_failed,
    )


def _end_run(state: JobSystemState, run: Run, reason: str) -> JobSystemState:
    return state._replace(
        active_runs=state.active_runs - {run},
        blocked_runs=state.blocked_runs | {run},
        listed_ends=state.listed_ends | {(run, reason)},
    )


def _has_done_run(state: JobSystemState, step: int) -> bool:
    ends = state.listed_ends | state.acknowledged_ends
    return any(run[1] == step and reason == "done" for run, reason in ends)


def _count_stored_failures(state: JobSystemState, step: int) -> int:
    return sum(run[1] == step for run in state.stored_failed)


def _replace_item(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    return tuple(value if i == index else old for i, old in enumerate(values))
