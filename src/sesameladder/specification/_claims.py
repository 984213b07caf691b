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

KEY = "order"
TOKENS = tuple(Token(home, 1, None, 0, 1, 1.0) for home in ("a", "b"))
TEXTS = tuple(token.to_text().encode() for token in TOKENS)
ENTRIES = (0, 1)
# What the store does with an entry's calls, one word a call; then "ok".
SCRIPTS = (
    ("down",),
    ("lost",),
    ("lost", "down"),
    ("late",),
    ("late", "down"),
    ("late", "late"),
    ("late", "ok", "lost", "down"),
)


class Keys(NamedTuple):
    """A state of the claim, the entries and writes on their way."""

    claim: bytes | None = None
    """Token text that stands in the store."""

    late: frozenset[bytes] = frozenset()
    """Creations whose answer is lost and that may still take effect."""

    told: tuple[str, str] = ("unsent", "unsent")
    """For each entry: unsent, not-run, unknown or bound."""

    used: frozenset[bytes] = frozenset()
    """Tokens that a request may have run with."""

    calm: bool = False
    """Whether faults have stopped."""


class ScriptedStore(FakeStore):
    """A store that fails call by call as a script says."""

    def __init__(self, claim: bytes | None, script: tuple[str, ...]) -> None:
        super().__init__(now=lambda: 0.0)
        if claim is not None:
            super().compare_and_swap(claim_store_key(KEY), 0, claim)
        self.script = list(script)
        self.late: set[bytes] = set()

    def get(self, key: str) -> StoreEntry | None:
        """Return an entry unless the script says otherwise."""
        if self._next_fault() != "ok":
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
        fault = self._next_fault()
        if fault == "down":
            raise StoreUnavailable("scripted")
        if fault == "late":
            self.late.add(value)
            raise StoreOutcomeUnknown("scripted")
        outcome = super().compare_and_swap(key, expected_revision, value, lease)
        if fault == "lost":
            raise StoreOutcomeUnknown("scripted")
        return outcome

    def _next_fault(self) -> str:
        return self.script.pop(0) if self.script else "ok"


class Binding:
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
        bound = self.binder(store).bind(KEY, TOKENS[entry], entry == 0, 0.0)
        standing = store.entries.get(claim_store_key(KEY))
        after = standing.value if standing else None
        if isinstance(bound, BindRefused):
            word = "not-run" if bound.not_run else "unknown"
            return word, None, after, frozenset(store.late)
        return "bound", bound.token.to_text().encode(), after, frozenset(store.late)

    def attempt(self, keys: Keys, entry: int, script: tuple[str, ...]) -> Keys:
        """Return the state after an entry has bound the key or failed to."""
        word, used, claim, late = self.bind(keys.claim, script, entry)
        told = list(keys.told)
        told[entry] = word
        return keys._replace(
            claim=claim,
            late=keys.late | late,
            told=(told[0], told[1]),
            used=keys.used | ({used} if used else frozenset()),
        )

    def steps(self, keys: Keys) -> Iterator[tuple[str, Keys]]:
        """Return the attempts under a store that works, and late writes."""
        for entry in ENTRIES:
            if _may_send(keys, entry):
                yield f"entry {entry} binds", self.attempt(keys, entry, ())
        for value in sorted(keys.late):
            claim = value if keys.claim is None else keys.claim
            rest = keys.late - {value}
            yield "a late write arrives", keys._replace(claim=claim, late=rest)

    def faults(self, keys: Keys) -> Iterator[tuple[str, Keys]]:
        """Return the attempts under a store that fails."""
        for entry in ENTRIES:
            if _may_send(keys, entry):
                for script in SCRIPTS:
                    after = self.attempt(keys, entry, script)
                    yield f"entry {entry} binds, store: {' '.join(script)}", after


def _may_send(keys: Keys, entry: int) -> bool:
    # The second attempt follows the first one, which may be unanswered.
    return keys.told[entry] == "unsent" and (entry == 0 or keys.told[0] != "unsent")


def _not_run_is_true(keys: Keys) -> bool:
    """Tell whether a refusal is true for all attempts made up to it.

    The first attempt's token must stay unused by it; the second attempt's
    refusal covers both.
    """
    return keys.told[1] != "not-run" or not keys.used


def build_claims(binder: type[ClaimBinder] = ClaimBinder) -> minicheck.Protocol:
    """Return the protocol with the product's binder or a broken one."""
    binding = Binding(binder)
    return build_protocol(
        "claims",
        Keys(),
        binding.steps,
        binding.faults,
        {
            "P4_not_run_covers_earlier_attempts": _not_run_is_true,
            "P5_one_token_per_key": lambda keys: len(keys.used) <= 1,
        },
        lambda keys: "unsent" not in keys.told,
    )
