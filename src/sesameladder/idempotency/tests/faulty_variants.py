"""Variants of the at-most-once path that each break one rule of the protocol."""

from dataclasses import replace

from sesameladder.environment import StoreEntry, StoreOutcomeUnknown
from sesameladder.idempotency import (
    ClaimBinder,
    HomeTable,
    NeverStarted,
    Token,
    Unknown,
    WitnessTable,
)
from sesameladder.measure._schedule_process import Variant
from sesameladder.measure.at_most_once import NotRunWithoutWitness

SMALL_TABLE_BYTES = 1500


class SmallHome(HomeTable):
    """A correct home whose table has room for two ended records."""

    def __init__(self, instance: str, incarnation: int) -> None:
        super().__init__(instance, incarnation, max_bytes=SMALL_TABLE_BYTES)


class SmallWitness(WitnessTable):
    """A correct witness whose table has room for two records."""

    def __init__(self, instance: str, incarnation: int) -> None:
        super().__init__(instance, incarnation, max_bytes=SMALL_TABLE_BYTES)


class VoidNotRecorded(WitnessTable):
    """Answers "never started" without recording the void, so a start stays possible."""

    def void(self, token: Token, now: float):
        known = self._records.get(token)
        return super().void(token, now) if known else NeverStarted()


class WitnessIgnoringIncarnation(WitnessTable):
    """Answers for tokens that name an earlier incarnation of its instance."""

    def _with_own_incarnation(self, token: Token) -> Token:
        return replace(token, witness_incarnation=self.identity.incarnation)

    def void(self, token: Token, now: float):
        return super().void(self._with_own_incarnation(token), now)

    def record_start(self, token: Token, now: float) -> bool:
        return super().record_start(self._with_own_incarnation(token), now)


class WitnessIgnoringEvictions(SmallWitness):
    """Treats a token whose record was evicted as never started."""

    def void(self, token: Token, now: float):
        self._records._floors.clear()
        return super().void(token, now)


class HomeIgnoringEvictions(SmallHome):
    """Treats a token whose record was evicted as never used."""

    def begin(self, *arguments):
        self._ended._floors.clear()
        return super().begin(*arguments)


class HomeIgnoringIncarnation(HomeTable):
    """Answers for every incarnation of its instance id."""

    def answers_for(self, home) -> bool:
        return home.instance == self.identity.instance or super().answers_for(home)

    def _may_start(self, token: Token) -> bool:
        return token.home == self.identity.instance and not self.sealed


class StartsAdoptedTokens(HomeTable):
    """Starts unused tokens of a home whose table it adopted."""

    def _may_start(self, token: Token) -> bool:
        return True


class SealedHomeStarts(HomeTable):
    """Starts tokens after it exported its table to a peer."""

    def _may_start(self, token: Token) -> bool:
        return token.home_identity == self.identity


class RestartsForEarlierAttempts(HomeTable):
    """Lets a delayed message of a refused attempt start the token."""

    def _begin_known_token(self, token, record, digest, now, attempt):
        record.refused_through_attempt = -1
        return super()._begin_known_token(token, record, digest, now, attempt)


class RetriesAfterUnknown(HomeTable):
    """Lets a retry run again after a run whose response was lost."""

    def begin(self, token, request_digest, now, attempt=0):
        record = self._ended.get(token)
        if record is not None and isinstance(record.outcome, Unknown):
            self._ended.pop(token)
        return super().begin(token, request_digest, now, attempt)


class ClaimNotReadBack(ClaimBinder):
    """Assumes that a claim write took effect when its response was lost."""

    def _try_create(self, store_key, value, now):
        try:
            return super()._try_create(store_key, value, now)
        except StoreOutcomeUnknown:
            return StoreEntry(store_key, value, 0)


class NotRunForRetries(ClaimBinder):
    """Answers a retry with "not run" while the store is down."""

    def bind(self, key, token, is_first_attempt, now, *arguments):
        return super().bind(key, token, True, now, *arguments)


SMALL_TABLES = Variant(home_table=SmallHome, witness_table=SmallWitness)

FAULTY = [
    Variant(resolver=NotRunWithoutWitness),
    Variant(witness_table=VoidNotRecorded),
    Variant(witness_table=WitnessIgnoringIncarnation),
    Variant(witness_table=WitnessIgnoringEvictions),
    Variant(home_table=HomeIgnoringEvictions),
    Variant(home_table=HomeIgnoringIncarnation),
    Variant(home_table=StartsAdoptedTokens),
    Variant(home_table=SealedHomeStarts),
    Variant(home_table=RestartsForEarlierAttempts),
    Variant(home_table=RetriesAfterUnknown),
    Variant(binder=ClaimNotReadBack),
    Variant(binder=NotRunForRetries),
]
