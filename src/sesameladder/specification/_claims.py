"""One caller's key at two entries, with a store that fails and answers late.

The product's claim binder runs against a store whose next calls fail as a
script says. Each entry offers its own token; a token that was bound may run
once (see ``_at_most_once``).
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
# What the store does with an entry's calls, one word a call; then "ok".
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
    """A state of the claim, the entries and writes on their way."""

    claim: bytes | None = None
    """Token text that stands in the store."""

    late_writes: frozenset[bytes] = frozenset()
    """Creations whose answer is lost and that may still take effect."""

    results: tuple[str, str] = ("unsent", "unsent")
    """For each entry: unsent, not-run, unknown or bound."""

    used_tokens: frozenset[bytes] = frozenset()
    """Tokens that a request may have run with."""

    faults_stopped: bool = False
    """Whether faults have stopped."""


class ScriptedStore(FakeStore):
    """A store that fails call by call as a script says."""

    def __init__(self, claim: bytes | None, script: tuple[str, ...]) -> None:
        super().__init__(now=lambda: 0.0)
        if claim is not None:
            super().compare_and_swap(claim_store_key(CALLER_KEY), 0, claim)
        self.script = list(script)
        self.late_writes: set[bytes] = set()

    def get(self, key: str) -> StoreEntry | None:
        """Return an entry unless the script says otherwise."""
        if self._take_fault() != "ok":
            raise StoreUnavailable("scripted")
        return super().get(key)

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease: int | None = None,
    ) -> SwapOutcome:
        """Create a claim, lose the answer, or let it take effect late."""
        fault = self._take_fault()
        if fault == "down":
            raise StoreUnavailable("scripted")
        if fault == "late":
            self.late_writes.add(value)
            raise StoreOutcomeUnknown("scripted")
        outcome = super().compare_and_swap(key, expected_revision, value, lease)
        if fault == "lost":
            raise StoreOutcomeUnknown("scripted")
        return outcome

    def _take_fault(self) -> str:
        return self.script.pop(0) if self.script else "ok"


class ClaimProtocol:
    """The steps of the protocol with one class of binder."""

    def __init__(self, binder: type[ClaimBinder]) -> None:
        self.binder = binder
        self.bind = cache(self._bind)

    def _bind(
        self, claim: bytes | None, script: tuple[str, ...], entry: int
    ) -> tuple[str, bytes | None, bytes | None, frozenset[bytes]]:
        """Return what the entry tells, the token it uses, the claim, late writes.

        The first entry's caller states that this is the first attempt.
        """
        store = ScriptedStore(claim, script)
        outcome = self.binder(store).bind(CALLER_KEY, TOKENS[entry], entry == 0, 0.0)
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
        """Return the state after an entry has bound the key or failed to."""
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
        """Return the attempts under a store that works, and late writes."""
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
        """Return the attempts under a store that fails."""
        for entry in ENTRIES:
            if _may_attempt(state, entry):
                for script in FAULT_SCRIPTS:
                    after = self.attempt_bind(state, entry, script)
                    yield f"entry {entry} binds, store: {' '.join(script)}", after


def _may_attempt(state: ClaimState, entry: int) -> bool:
    # The second attempt follows the first one, which may be unanswered.
    return state.results[entry] == "unsent" and (
        entry == 0 or state.results[0] != "unsent"
    )


def _not_run_covers_earlier_attempts(state: ClaimState) -> bool:
    """Tell whether a refusal is true for all attempts made up to it.

    The first attempt's token must stay unused by it; the second attempt's
    refusal covers both.
    """
    return state.results[1] != "not-run" or not state.used_tokens


def build_claims(binder: type[ClaimBinder] = ClaimBinder) -> minicheck.Protocol:
    """Return the protocol with the product's binder or a broken one."""
    protocol = ClaimProtocol(binder)
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
