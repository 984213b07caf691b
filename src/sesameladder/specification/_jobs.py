"""One job, its workers, and owners that follow one another.

Orders are never taken out of a state: each start and stop may arrive late, more
than once, or not at all. A worker may be cut from its owner; its lease then ends
before the owner gives its runs up, and runs again once the owner has reached it.
The rules of a variant can be switched off, each alone. Two scopes keep the search
small: leases (one step on two workers, one of which may be cut off) and progress
(two steps on one worker, failures, cancellation).
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

import minicheck

from sesameladder.specification._protocol import build_protocol

TERMS = 2
MAX_ATTEMPTS = 1
MAX_STARTS = 2
RUNS_PER_TERM = 10

Run = tuple[int, int, int]
"""Worker, step and run number."""


@dataclass(frozen=True, slots=True)
class JobScope:
    """What the search covers."""

    name: str
    steps: tuple[int, ...]
    workers: tuple[int, ...]
    has_cuts: bool
    has_failures: bool
    can_cancel: bool


LEASES = JobScope("job leases", (0,), (0, 1), True, False, False)
PROGRESS_SCOPE = JobScope("job progress", (0, 1), (0,), False, True, True)


@dataclass(frozen=True, slots=True)
class JobRules:
    """Rules that keep the invariants; a variant leaves one out."""

    reads_workers_first: bool = True
    """A new owner starts nothing before it has read both workers."""

    bars_ghosts: bool = True
    """A lease runs again only after given-up starts have been barred."""

    stores_ends_first: bool = True
    """An end is acknowledged only after what follows from it is stored."""

    waits_for_step: bool = True
    """A step starts after the one before it is done."""

    counts_failures: bool = True
    """A subtask is not started after its attempts have failed."""

    unknown_is_no_refusal: bool = True
    """A write without an answer is not reported as a refusal."""

    stops_when_cancelled: bool = True
    """Nothing is started once the owner knows of the cancellation."""


class JobSystem(NamedTuple):
    """State of the job, the store, the owner's memory and the workers."""

    calm: bool = False
    write: str = "none"
    """The submission in the store: none, sent, stored."""

    answer: str = "none"
    """What the caller was told: none, accepted, refused."""

    cancelled: bool = False
    """Whether the cancellation is stored."""

    term: int = 1
    read: frozenset[int] = frozenset()
    """Workers whose lists the present owner has read."""

    runs: tuple[Run | None, Run | None] = (None, None)
    """The owner's run of each step that may be present."""

    sent_without_answer: frozenset[Run] = frozenset()
    ghosts: frozenset[Run] = frozenset()
    seen_done: frozenset[int] = frozenset()
    seen_failed: frozenset[Run] = frozenset()
    stored_done: frozenset[int] = frozenset()
    stored_failed: frozenset[Run] = frozenset()
    acknowledged: frozenset[tuple[Run, str]] = frozenset()
    """Ends that workers have forgotten."""

    excused: frozenset[Run] = frozenset()
    """Runs that ended done, and whose lease lapsed before that was acknowledged."""

    starts: frozenset[tuple[int, Run]] = frozenset()
    """Start orders with the term that sent them."""

    fences: tuple[int, int] = (1, 1)
    leased: tuple[bool, bool] = (True, True)
    cut: int | None = None
    active: frozenset[Run] = frozenset()
    barred: frozenset[Run] = frozenset()
    ends: frozenset[tuple[Run, str]] = frozenset()
    """Ends that workers list."""

    late_cancelled: frozenset[tuple[int, Run]] = frozenset()
    """Start orders that were sent after the cancellation was stored."""

    broken: frozenset[str] = frozenset()
    """Names of the rules that a start has broken."""


def build_jobs(
    rules: JobRules | None = None, scope: JobScope = LEASES
) -> minicheck.Protocol:
    """Return the protocol; ``rules`` with one switched off is a broken variant."""
    kept = rules or JobRules()
    names = ("TWICE", "ORDER", "BUDGET", "UNASKED", "REFUSED")
    return build_protocol(
        scope.name,
        JobSystem(read=frozenset(scope.workers)),
        lambda state: _list_steps(state, kept, scope),
        lambda state: _list_faults(state, scope),
        {name: _build_invariant(name) for name in names},
        lambda state: _has_ended(state, scope),
    )


def _build_invariant(name: str) -> Callable[[JobSystem], bool]:
    return lambda state: name not in state.broken


def _has_ended(state: JobSystem, scope: JobScope) -> bool:
    """Return whether the job has its final state and nothing runs."""
    if state.write == "none":
        return state.answer == "refused"
    failed = any(_count_failed(state, step) >= MAX_ATTEMPTS for step in scope.steps)
    finished = state.stored_done == frozenset(scope.steps)
    # The search allows each step a number of starts; beyond it nothing can be said.
    exhausted = any(
        sum(run[1] == step for _, run in state.starts) >= MAX_STARTS
        for step in scope.steps
    )
    settled = state.cancelled or failed or finished or exhausted
    return settled and (exhausted or not state.active)


def _list_steps(
    state: JobSystem, rules: JobRules, scope: JobScope
) -> Iterator[tuple[str, JobSystem]]:
    yield from _submit(state, rules)
    if scope.can_cancel and state.answer == "accepted" and not state.cancelled:
        yield "cancel", state._replace(cancelled=True)
    for worker in scope.workers:
        if state.cut != worker:
            yield from _read_worker(state, worker, rules, scope)
    yield from _start(state, rules, scope)
    if state.cut is not None:
        yield from _lapse(state, state.cut, scope)
        yield "heal", state._replace(cut=None)
    yield from _deliver(state)
    for run in state.active:
        yield f"{run} is done", _end(state, run, "done")
    yield from _stop(state)
    yield from _store(state)
    yield from _acknowledge(state, rules)


def _list_faults(state: JobSystem, scope: JobScope) -> Iterator[tuple[str, JobSystem]]:
    if scope.has_cuts and state.cut is None:
        yield "cut 0", state._replace(cut=0)
    if state.term < TERMS:
        yield "new owner", _take_over(state)
    if scope.has_failures:
        for run in state.active:
            yield f"{run} fails", _end(state, run, "failed")


def _submit(state: JobSystem, rules: JobRules) -> Iterator[tuple[str, JobSystem]]:
    if state.write == "none" and state.answer == "none":
        yield "submit", state._replace(write="sent")
        yield "refuse at once", state._replace(answer="refused")
    if state.write == "sent":
        yield "write arrives", state._replace(write="stored")
        if not rules.unknown_is_no_refusal and state.answer == "none":
            yield "refuse unanswered", state._replace(answer="refused")
    if state.write == "stored" and state.answer == "none":
        yield "accept", state._replace(answer="accepted")


def _read_worker(
    state: JobSystem, worker: int, rules: JobRules, scope: JobScope
) -> Iterator[tuple[str, JobSystem]]:
    """Read a worker's lists, bar ghosts there, extend its lease."""
    fences = _set(state.fences, worker, state.term)
    ghosts = frozenset(run for run in state.ghosts if run[0] == worker)
    barred, left = state.barred, state.ghosts
    if rules.bars_ghosts:
        barred, left = barred | ghosts, left - ghosts
    runs = list(state.runs)
    for step in scope.steps:
        mine = runs[step]
        present = [r for r in state.active if r[:2] == (worker, step)]
        if present and mine is None:
            runs[step] = present[0]
    done, failed = set(state.seen_done), set(state.seen_failed)
    for run, reason in state.ends:
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
        leased=_set(state.leased, worker, True),
        read=state.read | {worker},
        runs=(runs[0], runs[1]),
        barred=barred,
        ghosts=left,
        sent_without_answer=frozenset(
            run for run in state.sent_without_answer if run in runs
        ),
        seen_done=frozenset(done),
        seen_failed=frozenset(failed),
    )
    if after != state:
        yield f"read {worker}", after


def _start(
    state: JobSystem, rules: JobRules, scope: JobScope
) -> Iterator[tuple[str, JobSystem]]:
    if state.write != "stored" or (state.cancelled and rules.stops_when_cancelled):
        return
    if rules.reads_workers_first and state.read != frozenset(scope.workers):
        return
    for step in scope.steps:
        if state.runs[step] is not None or step in state.seen_done:
            continue
        if step and rules.waits_for_step and 0 not in state.seen_done:
            continue
        tried = [run[2] for _, run in state.starts if run[1] == step]
        failed = sum(run[1] == step for run in state.seen_failed)
        if rules.counts_failures and failed >= MAX_ATTEMPTS:
            continue
        if len(tried) >= MAX_STARTS:
            continue
        floor = state.term * RUNS_PER_TERM
        number = max([floor, *(n + 1 for n in tried if n >= floor)])
        for worker in scope.workers:
            if worker == state.cut and worker not in state.read:
                continue
            run = (worker, step, number)
            yield (
                f"start {run}",
                state._replace(
                    starts=state.starts | {(state.term, run)},
                    late_cancelled=state.late_cancelled
                    | ({(state.term, run)} if state.cancelled else set()),
                    runs=_set(state.runs, step, run),
                    sent_without_answer=state.sent_without_answer | {run},
                ),
            )


def _deliver(state: JobSystem) -> Iterator[tuple[str, JobSystem]]:
    for term, run in state.starts:
        worker, step, number = run
        if worker == state.cut or term < state.fences[worker]:
            continue
        here = [r for r in (*state.active, *state.barred) if r[:2] == (worker, step)]
        if not state.leased[worker] or any(r[2] >= number for r in here):
            continue
        broken = set(state.broken)
        if any(r[1] == step for r in state.active):
            broken.add("TWICE")
        noted_done = {r for r, end in state.acknowledged if end == "done"}
        if any(r[1] == step for r in noted_done - state.excused):
            broken.add("TWICE")
        if step and not _was_done(state, 0):
            broken.add("ORDER")
        noted = {r for r, end in state.acknowledged if end == "failed"}
        if sum(r[1] == step for r in noted) >= MAX_ATTEMPTS:
            broken.add("BUDGET")
        if state.answer == "refused":
            broken.add("REFUSED")
        if state.cancelled and (term, run) in state.late_cancelled:
            broken.add("UNASKED")
        yield (
            f"worker {worker} starts {run}",
            state._replace(
                active=state.active | {run},
                fences=_set(state.fences, worker, term),
                broken=frozenset(broken),
            ),
        )


def _stop(state: JobSystem) -> Iterator[tuple[str, JobSystem]]:
    """Stop what a cancelled job runs, and runs that aren't the current one."""
    for run in state.active:
        if run[0] == state.cut or run[0] not in state.read:
            continue
        if state.cancelled or state.runs[run[1]] != run:
            yield f"stop {run}", _end(state, run, "stopped")


def _store(state: JobSystem) -> Iterator[tuple[str, JobSystem]]:
    done = state.stored_done | state.seen_done
    failed = state.stored_failed | state.seen_failed
    if (done, failed) != (state.stored_done, state.stored_failed):
        yield "store progress", state._replace(stored_done=done, stored_failed=failed)


def _acknowledge(state: JobSystem, rules: JobRules) -> Iterator[tuple[str, JobSystem]]:
    for end in state.ends:
        run, reason = end
        if run[0] == state.cut or run[0] not in state.read:
            continue
        is_stored = {
            "done": run[1] in state.stored_done,
            "failed": run in state.stored_failed,
        }.get(reason, state.runs[run[1]] != run)
        is_seen = {
            "done": run[1] in state.seen_done,
            "failed": run in state.seen_failed,
        }.get(reason, state.runs[run[1]] != run)
        if is_stored or (is_seen and not rules.stores_ends_first):
            yield (
                f"acknowledge {run}",
                state._replace(
                    ends=state.ends - {end}, acknowledged=state.acknowledged | {end}
                ),
            )


def _lapse(
    state: JobSystem, worker: int, scope: JobScope
) -> Iterator[tuple[str, JobSystem]]:
    """End the lease of a worker behind a cut; the owner gives its runs up later."""
    if state.leased[worker]:
        after = state
        for run in state.active:
            if run[0] == worker:
                after = _end(after, run, "lapsed")
        ends = {run for run, end in state.ends if run[0] == worker and end == "done"}
        after = after._replace(
            leased=_set(state.leased, worker, False), excused=state.excused | ends
        )
        yield f"lapse {worker}", after
        return
    for step in scope.steps:
        held = state.runs[step]
        if held is not None and held[0] == worker and worker in state.read:
            ghosts = state.ghosts
            if held in state.sent_without_answer:
                ghosts = ghosts | {held}
            yield (
                f"give up {held}",
                state._replace(runs=_set(state.runs, step, None), ghosts=ghosts),
            )


def _take_over(state: JobSystem) -> JobSystem:
    """Let another process own the pool; it knows only what is stored."""
    return state._replace(
        term=state.term + 1,
        read=frozenset(),
        runs=(None, None),
        sent_without_answer=frozenset(),
        ghosts=frozenset(),
        seen_done=state.stored_done,
        seen_failed=state.stored_failed,
    )


def _end(state: JobSystem, run: Run, reason: str) -> JobSystem:
    return state._replace(
        active=state.active - {run},
        barred=state.barred | {run},
        ends=state.ends | {(run, reason)},
    )


def _was_done(state: JobSystem, step: int) -> bool:
    ends = state.ends | state.acknowledged
    return any(run[1] == step and reason == "done" for run, reason in ends)


def _count_failed(state: JobSystem, step: int) -> int:
    return sum(run[1] == step for run in state.stored_failed)


def _set(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    return tuple(value if i == index else old for i, old in enumerate(values))
