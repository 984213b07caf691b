"""Submissions and cancels of one job at two nodes, and the owner that starts it.

A client submits the job at one node and may leave; it or another client repeats the
submission at the other one. Cancels are sent to both, before, between and after the
submissions. The store may carry out a write whose answer is lost at once or later, in
any order with all others, while the node repeats it or has given up. The owner sees the
store without a lag: a start in the moment of the answer to a cancel is within the
rule's allowance.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import minicheck

from sesameladder.specification._protocol import build_protocol

NODES = (0, 1)
MAX_LOST_ANSWERS = 1
MAX_OWNER_CHANGES = 1

# Values of the key accepted/JOB; a job is stored together with the first.
ACCEPTED = "accepted"
MARKED = "marked"
ABSENT = "absent"

# Writes, and phases of requests that wait for their answers.
SUBMIT = "submission"
MARK = "mark"
CANCEL = "cancel record"

IDLE = "idle"
REFUSED = "refused"
ACKNOWLEDGED = "acknowledged"
UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SubmissionRules:
    """The rules that a broken variant leaves out."""

    marks_unknown_jobs: bool = True
    """A cancel of a job without a record stores a mark before it is answered."""

    submission_requires_absence: bool = True
    """A submission fails if the key exists, whatever its value is."""

    mark_requires_absence: bool = True
    """A mark does not replace the record of an accepted job."""

    mark_outlives_writes: bool = True
    """A mark stays for as long as a submission may be carried out."""

    new_owner_reads_cancels: bool = True
    """An owner reads the cancel records that were stored before it."""


class SubmissionState(NamedTuple):
    """State of the store, the requests at both nodes, and the owner."""

    key: str = ABSENT
    """Value of ``accepted/JOB``."""

    is_cancel_stored: bool = False
    """Whether the pool has a cancel record of the job."""

    late_writes: frozenset[str] = frozenset()
    """Writes without an answer that the store may still carry out."""

    submits: tuple[str, str] = (IDLE, IDLE)
    """Submission at each node: idle, its write, accepted, refused or unknown."""

    cancels: tuple[str, str] = (IDLE, IDLE)
    """Cancel at each node: idle, its write, acknowledged or unknown."""

    lost_answers: int = 0
    """Writes so far whose answer was lost."""

    owner_changes: int = 0
    """Owners so far that were lost."""

    sees_cancel: bool = True
    """Whether the owner would see a cancel record."""

    is_running: bool = False
    """Whether the owner has started the job and not stopped it."""

    has_started: bool = False
    """Whether an owner has started the job."""

    has_started_unasked: bool = False
    """Whether an owner has started the job after an acknowledged cancel."""

    faults_stopped: bool = False
    """Whether faults have stopped."""

    def with_submit(self, node: int, phase: str) -> "SubmissionState":
        """Return the state with the submission at one node replaced."""
        phases = list(self.submits)
        phases[node] = phase
        return self._replace(submits=(phases[0], phases[1]))

    def with_cancel(self, node: int, phase: str) -> "SubmissionState":
        """Return the state with the cancel at one node replaced."""
        phases = list(self.cancels)
        phases[node] = phase
        return self._replace(cancels=(phases[0], phases[1]))


class SubmissionProtocol:
    """The steps and faults of the protocol under given rules."""

    def __init__(self, rules: SubmissionRules) -> None:
        self.rules = rules

    def steps(self, state: SubmissionState) -> Iterator[tuple[str, SubmissionState]]:
        """Return the steps of clients, nodes, store and owner."""
        for node in NODES:
            yield from self._list_submit_steps(state, node)
            yield from self._list_cancel_steps(state, node)
        for write in sorted(state.late_writes):
            after = state._replace(late_writes=state.late_writes - {write})
            yield f"the store carries out a late {write}", self._execute(after, write)
        yield from _list_owner_steps(state)
        if state.key == MARKED and self._may_expire(state):
            yield "the mark expires", state._replace(key=ABSENT)

    def faults(self, state: SubmissionState) -> Iterator[tuple[str, SubmissionState]]:
        """Return lost answers and losses of the owner."""
        if state.owner_changes < MAX_OWNER_CHANGES:
            keeps_cancel = self.rules.new_owner_reads_cancels
            yield (
                "the owner is lost",
                state._replace(
                    owner_changes=state.owner_changes + 1,
                    is_running=False,
                    sees_cancel=keeps_cancel or not state.is_cancel_stored,
                ),
            )
        if state.lost_answers >= MAX_LOST_ANSWERS:
            return
        lost = state._replace(lost_answers=state.lost_answers + 1)
        for write in sorted({*state.submits, *state.cancels} & {SUBMIT, MARK, CANCEL}):
            yield f"the answer to a {write} is lost", self._execute(lost, write)
            late_writes = state.late_writes | {write}
            yield f"a {write} is late", lost._replace(late_writes=late_writes)

    def _list_submit_steps(
        self, state: SubmissionState, node: int
    ) -> Iterator[tuple[str, SubmissionState]]:
        phase = state.submits[node]
        if phase == IDLE:
            yield f"a client submits at node {node}", state.with_submit(node, SUBMIT)
        elif phase == SUBMIT:
            after = self._execute(state, SUBMIT)
            answer = ACCEPTED if after.key == ACCEPTED else REFUSED
            yield f"node {node} submits: {answer}", after.with_submit(node, answer)
            # What it has written may still be carried out.
            yield f"node {node} gives up", state.with_submit(node, UNKNOWN)

    def _list_cancel_steps(
        self, state: SubmissionState, node: int
    ) -> Iterator[tuple[str, SubmissionState]]:
        phase = state.cancels[node]
        if phase == IDLE:
            is_known = ACCEPTED in (state.key, state.submits[node])
            is_new = state.key == ABSENT and self.rules.marks_unknown_jobs
            found = CANCEL if is_known else MARK if is_new else ACKNOWLEDGED
            yield f"node {node} cancels: {found}", state.with_cancel(node, found)
            return
        if phase not in (MARK, CANCEL):
            return
        after = self._execute(state, phase)
        is_accepted = phase == MARK and after.key == ACCEPTED
        answer = CANCEL if is_accepted else ACKNOWLEDGED
        yield f"node {node} stores a {phase}: {answer}", after.with_cancel(node, answer)
        yield f"node {node} gives its cancel up", state.with_cancel(node, UNKNOWN)

    def _execute(self, state: SubmissionState, write: str) -> SubmissionState:
        """Return the state after the store has carried out a write."""
        if write == CANCEL:
            return state._replace(is_cancel_stored=True)
        needs_absence = (
            self.rules.mark_requires_absence
            if write == MARK
            else self.rules.submission_requires_absence
        )
        if needs_absence and state.key != ABSENT:
            return state
        return state._replace(key=MARKED if write == MARK else ACCEPTED)

    def _may_expire(self, state: SubmissionState) -> bool:
        """Return whether the lease of a mark may have ended."""
        may_submit = {IDLE, SUBMIT} & {*state.submits} or SUBMIT in state.late_writes
        return not (self.rules.mark_outlives_writes and may_submit)


def _list_owner_steps(
    state: SubmissionState,
) -> Iterator[tuple[str, SubmissionState]]:
    is_cancelled = state.is_cancel_stored and state.sees_cancel
    if state.is_running and is_cancelled:
        yield "the owner stops the job", state._replace(is_running=False)
    if state.key == ACCEPTED and not state.is_running and not is_cancelled:
        is_unasked = ACKNOWLEDGED in state.cancels
        yield (
            "the owner starts the job",
            state._replace(
                is_running=True,
                has_started=True,
                has_started_unasked=state.has_started_unasked or is_unasked,
            ),
        )


def _is_settled(state: SubmissionState) -> bool:
    """Return whether all requests have ended and no cancelled job runs."""
    is_open = {SUBMIT, MARK, CANCEL} & {*state.submits, *state.cancels}
    return not is_open and not (state.is_running and ACKNOWLEDGED in state.cancels)


def build_submissions(rules: SubmissionRules | None = None) -> minicheck.Protocol:
    """Return the protocol with all rules or a broken variant."""
    protocol = SubmissionProtocol(rules or SubmissionRules())
    return build_protocol(
        "submissions",
        SubmissionState(),
        protocol.steps,
        protocol.faults,
        {
            "UNASKED": lambda state: not state.has_started_unasked,
            "REFUSED": lambda state: (
                not (state.has_started and REFUSED in state.submits)
            ),
        },
        _is_settled,
    )
