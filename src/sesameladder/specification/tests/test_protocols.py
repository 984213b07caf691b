"""The protocols hold, and the checker refutes each broken variant."""

import pytest

from sesameladder.configuration import ConfigurationReplica
from sesameladder.idempotency import Answer, NotRun, SendToWorker, StartProcedure
from sesameladder.idempotency.tests.faulty_variants import (
    ClaimNotReadBack,
    HomeIgnoringIncarnation,
    NotRunForRetries,
    RetriesAfterUnknown,
    VoidNotRecorded,
    WitnessIgnoringIncarnation,
)
from sesameladder.measure.at_most_once import WithoutWitnessRule
from sesameladder.specification import (
    PROGRESS,
    PROTOCOLS,
    _at_most_once,
    _jobs,
    _permits,
    _slots,
    _stops,
    _tickets,
    check,
    find_counterexample,
)
from sesameladder.specification._claims import build_claims
from sesameladder.specification._configuration import build_configuration
from sesameladder.tickets import apply_ticket, decode_state

build_at_most_once = _at_most_once.build_at_most_once
build_permits = _permits.build_permits
build_slots = _slots.build_slots
build_stops = _stops.build_stops
build_tickets = _tickets.build_tickets


class StartsWithoutRecord(StartProcedure):
    """Sends the request although the witness did not answer."""

    def witness_unreachable(self, now):
        return self._confirm(now)


class DeniesARun(StartProcedure):
    """Answers "not run" when a refusal comes late."""

    def _refuse(self, reason, now):
        self.table.finish(self.token, NotRun(reason), now)
        return Answer(NotRun(reason))


class StartsTwice(StartProcedure):
    """Sends the request for each answer of the witness."""

    def _confirm(self, now):
        self.table.confirm_start(self.token)
        return SendToWorker()


class AnswersBeforeTheEnd(_at_most_once.Dispatch):
    """Takes a request that a worker has received for one that is done."""

    def _start(self, run):
        yield from super()._start(run)
        if run.worker == "sent":
            yield "home answers early", run.send("Done")


class AcceptsLowerNumbers(ConfigurationReplica):
    """Replaces its state by any snapshot."""

    def offer_snapshot(self, number, state_bytes):
        self.state = decode_state(state_bytes)


class SkipsNumbers(ConfigurationReplica):
    """Folds in a ticket although an earlier one is missing."""

    def offer_ticket(self, number, ticket, digest):
        if number > self.number:
            self.state = apply_ticket(self.state, ticket)


@pytest.mark.parametrize("name", PROTOCOLS)
def test_protocol_holds(name) -> None:
    """Guards against states that break a promise or never end."""
    result = check(PROTOCOLS[name]())
    assert result.holds, result.findings


def at_most_once(**rules):
    return build_at_most_once(_at_most_once.Rules(**rules))


def early_answer():
    protocol = build_at_most_once()
    dispatch = AnswersBeforeTheEnd(_at_most_once.Rules())
    faults = protocol.transitions

    def transitions(run):
        return [*faults(run), *dispatch.steps(run)]

    protocol.transitions = transitions
    return protocol


BROKEN = [
    (
        "P1_stops_within_budget",
        lambda: build_permits(_permits.Rules(compares_revision=False)),
    ),
    (
        "P1_stops_within_budget",
        lambda: build_permits(_permits.Rules(counts_failures=False)),
    ),
    (
        "P1_fence_never_falls",
        lambda: build_permits(_permits.Rules(checks_fence=False)),
    ),
    (
        "P2_one_pool_at_a_time",
        lambda: build_stops(_stops.Rules(moves_through_release=False)),
    ),
    ("P3_done_means_ran", early_answer),
    ("P4_not_run_never_ran", lambda: at_most_once(resolver=WithoutWitnessRule)),
    ("P4_not_run_never_ran", lambda: at_most_once(witness=VoidNotRecorded)),
    ("P4_not_run_never_ran", lambda: at_most_once(witness=WitnessIgnoringIncarnation)),
    ("P4_not_run_never_ran", lambda: at_most_once(start=StartsWithoutRecord)),
    ("P4_not_run_never_ran", lambda: at_most_once(start=DeniesARun)),
    (
        "P4_not_run_covers_earlier_attempts",
        lambda: build_claims(NotRunForRetries),
    ),
    ("P5_runs_at_most_once", lambda: at_most_once(home=HomeIgnoringIncarnation)),
    ("P5_runs_at_most_once", lambda: at_most_once(home=RetriesAfterUnknown)),
    ("P5_runs_at_most_once", lambda: at_most_once(start=StartsTwice)),
    ("P5_one_token_per_key", lambda: build_claims(ClaimNotReadBack)),
    (
        "P6_no_work_for_a_leaving_vm",
        lambda: build_stops(_stops.Rules(heeds_leaving=False)),
    ),
    (
        "P7_stop_cuts_no_request",
        lambda: build_stops(_stops.Rules(waits_for_drain=False)),
    ),
    *(
        (invariant, lambda rule=rule: build_slots(_slots.Rules(**{rule: False})))
        for invariant in ("P7_slot_is_used_once", "P7_drained_means_idle")
        for rule in (
            "asks_forwarders",
            "reads_task_reports",
            "waits_for_lease",
            "voids_late_grants",
            "stops_before_takeover",
        )
    ),
    (
        "P8_accepted_ticket_stays",
        lambda: build_tickets(_tickets.Rules(compares_revision=False)),
    ),
    (
        "P8_refused_ticket_never_counts",
        lambda: build_tickets(_tickets.Rules(settles_lost_answers=False)),
    ),
    ("P8_number_never_decreases", lambda: build_configuration(AcceptsLowerNumbers)),
    ("P8_same_number_same_state", lambda: build_configuration(SkipsNumbers)),
]


def without(rule, scope):
    """Return a builder of the job protocol with one rule switched off."""
    return lambda: _jobs.build_jobs(_jobs.JobRules(**{rule: False}), scope)


BROKEN += [
    ("TWICE", without("reads_workers_first", _jobs.LEASES)),
    ("TWICE", without("bars_ghosts", _jobs.LEASES)),
    ("TWICE", without("stores_ends_first", _jobs.PROGRESS_SCOPE)),
    ("ORDER", without("waits_for_step", _jobs.PROGRESS_SCOPE)),
    ("BUDGET", without("counts_failures", _jobs.PROGRESS_SCOPE)),
    ("UNASKED", without("stops_when_cancelled", _jobs.PROGRESS_SCOPE)),
    ("REFUSED", without("unknown_is_no_refusal", _jobs.PROGRESS_SCOPE)),
]


@pytest.mark.parametrize(("invariant", "build"), BROKEN)
def test_broken_variant_is_refuted(invariant, build) -> None:
    """Guards against an invariant that no fault can break."""
    assert find_counterexample(build(), invariant)


def test_every_invariant_has_a_broken_variant() -> None:
    """Guards against an invariant that is added without its refutation."""
    known = {name for build in PROTOCOLS.values() for name in build().invariants}
    assert known == {invariant for invariant, _ in BROKEN}


def test_missing_progress_is_found() -> None:
    """Guards against a progress goal that every state reaches."""
    result = check(build_slots(_slots.Rules(frees_dead_forwarders=False)))
    assert result.findings[PROGRESS].holds is False


def test_unfinished_search_holds_nothing() -> None:
    """Guards against a search that stops early and counts as a proof."""
    protocol = build_tickets()
    protocol.transitions = lambda log: [
        ("grow", log._replace(number=(log.number[0] + 1, 0)))
    ]
    result = check(protocol)
    assert not result.holds
    assert result.findings["P8_accepted_ticket_stays"].holds is None


@pytest.mark.parametrize("word", ["Done", "NotRun", "Unknown"])
def test_every_outcome_is_reached(word) -> None:
    """Guards against a model that is too small to end a request."""
    protocol = build_at_most_once()
    protocol.invariants = {"never": lambda run: word not in run["told"]}
    assert find_counterexample(protocol, "never")
