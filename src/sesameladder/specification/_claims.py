"""Claims of one caller's key at two entries, with a store that fails.

The ``ClaimBinder`` of ``sesameladder.idempotency`` runs against a store whose
calls fail according to a script. Each entry offers its own token. A request can
run once for each token that was bound (see ``_at_most_once``).
"""

from collections.abc import Iterator
from functools import cache
from typing import NamedTuple

import minicheck

from sesameladder.environment import (
    FakeStore,
    StoreEntry,
    StoreOutcomeUnknown,
    StoreUnavailable,
    SwapOutcome,
)
from sesameladder.idempotency import BindRefused, ClaimBinder, Token, claim_store_key
from sesameladder.specification._protocol import build_protocol

CALLER_KEY = "order"
TOKENS = tuple(Token(home, 1, None, 0, 1, 1.0) for home in ("a", "b"))
TOKEN_TEXTS = tuple(token.to_text().encode() for token in TOKENS)
ENTRIES = (0, 1)
# One fault for each store call of an attempt; later calls succeed ("ok").
# down: the call fails without effect; lost: it takes effect, but its response is
# lost; late: its response is lost, and it may take effect later.
FAULT_SCRIPTS = (
    ("down",),
    ("lost",),
    ("lost", "down"),
    ("late",),
    ("late", "down"),
    ("late", "late"),
    ("late", "ok", "lost", "down"),
)


class ClaimState(NamedTuple):
    """State of the claim, the entries and the writes that may still take effect."""

    claim: bytes | None = None
    """Token text in the store, or None."""

    late_writes: frozenset[bytes] = frozenset()
    """Token texts of writes without response that may still take effect."""

    results: tuple[str, str] = ("unsent", "unsent")
    """For each entry: unsent, not-run, unknown or bound."""

    used_tokens: frozenset[bytes] = frozenset()
    """Token texts that were bound, so that a request may have run."""

    faults_stopped: bool = False
    """Whether faults have stopped."""


class ScriptedStore(FakeStore):
    """A store whose calls fail according to a script, one entry for each call."""

    def __init__(self, claim: bytes | None, script: tuple[str, ...]) -> None:
        super().__init__(clock=lambda: 0.0)
        if claim is not None:
            super().compare_and_swap(claim_store_key(CALLER_KEY), 0, claim)
        self.script = list(script)
        self.late_writes: set[bytes] = set()

    def get(self, key: str) -> StoreEntry | None:
        """Return an entry, or raise StoreUnavailable for any scripted fault."""
        if self._take_fault() != "ok":
            raise StoreUnavailable("the script makes this read fail")
        return super().get(key)

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease: int | None = None,
    ) -> SwapOutcome:
        """Create a claim unless the script has a fault for this call.

        Raises StoreUnavailable or StoreOutcomeUnknown for the fault.
        """
        fault = self._take_fault()
        if fault == "down":
            raise StoreUnavailable("the script makes this write fail")
        if fault == "late":
            self.late_writes.add(value)
            raise StoreOutcomeUnknown("the script delays this write")
        outcome = super().compare_and_swap(key, expected_revision, value, lease)
        if fault == "lost":
            raise StoreOutcomeUnknown("the script drops the response")
        return outcome

    def _take_fault(self) -> str:
        return self.script.pop(0) if self.script else "ok"


class ClaimProtocol:
    """The steps and faults of the protocol with one class of binder."""

    def __init__(self, binder_type: type[ClaimBinder]) -> None:
        self.binder_type = binder_type
        self.bind = cache(self._bind)

    def _bind(
        self, claim: bytes | None, script: tuple[str, ...], entry: int
    ) -> tuple[str, bytes | None, bytes | None, frozenset[bytes]]:
        """Return the entry's result, the bound token, the claim and the late writes.

        At the first entry, the caller states that this is its first attempt.
        """
        store = ScriptedStore(claim, script)
        outcome = self.binder_type(store).bind(
            CALLER_KEY, TOKENS[entry], entry == 0, 0.0
        )
        stored = store.entries.get(claim_store_key(CALLER_KEY))
        after = stored.value if stored else None
        if isinstance(outcome, BindRefused):
            result = "not-run" if outcome.not_run else "unknown"
            return result, None, after, frozenset(store.late_writes)
        return (
            "bound",
            outcome.token.to_text().encode(),
            after,
            frozenset(store.late_writes),
        )

    def attempt_bind(
        self, state: ClaimState, entry: int, script: tuple[str, ...]
    ) -> ClaimState:
        """Return the state after an entry has tried to bind the key."""
        result, token, claim, late_writes = self.bind(state.claim, script, entry)
        results = list(state.results)
        results[entry] = result
        return state._replace(
            claim=claim,
            late_writes=state.late_writes | late_writes,
            results=(results[0], results[1]),
            used_tokens=state.used_tokens | ({token} if token else frozenset()),
        )

    def steps(self, state: ClaimState) -> Iterator[tuple[str, ClaimState]]:
        """Return attempts without store faults, and late writes that take effect."""
        for entry in ENTRIES:
            if _may_attempt(state, entry):
                yield f"entry {entry} binds", self.attempt_bind(state, entry, ())
        for value in sorted(state.late_writes):
            claim = value if state.claim is None else state.claim
            remaining_writes = state.late_writes - {value}
            yield (
                "a late write arrives",
                state._replace(claim=claim, late_writes=remaining_writes),
            )

    def faults(self, state: ClaimState) -> Iterator[tuple[str, ClaimState]]:
        """Return attempts during which the store fails."""
        for entry in ENTRIES:
            if _may_attempt(state, entry):
                for script in FAULT_SCRIPTS:
                    after = self.attempt_bind(state, entry, script)
                    yield f"entry {entry} binds, store: {' '.join(script)}", after


def _may_attempt(state: ClaimState, entry: int) -> bool:
    # The second attempt is made only after the first, whatever its result.
    return state.results[entry] == "unsent" and (
        entry == 0 or state.results[0] != "unsent"
    )


def _not_run_covers_earlier_attempts(state: ClaimState) -> bool:
    """Return whether no attempt has run if the second one is told "not run".

    The second attempt's "not run" covers both attempts, so no token may have been
    used.
    """
    return state.results[1] != "not-run" or not state.used_tokens


def build_claims(binder_type: type[ClaimBinder] = ClaimBinder) -> minicheck.Protocol:
    """Return the protocol with the production binder or a broken variant."""
    protocol = ClaimProtocol(binder_type)
    return build_protocol(
        "claims",
        ClaimState(),
        protocol.steps,
        protocol.faults,
        {
            "P4_not_run_covers_earlier_attempts": _not_run_covers_earlier_attempts,
            "P5_one_token_per_key": lambda state: len(state.used_tokens) <= 1,
        },
        lambda state: "unsent" not in state.results,
    )
