"""Issues the idempotency tokens of one process."""

import random
import threading

from sesameladder.idempotency._token import Token
from sesameladder.model import PeerIdentity

TOKEN_LIFETIME_SECONDS = 24 * 3600.0
NONCE_BITS = 64


class TokenIssuer:
    """Issues numbered tokens of one incarnation; safe for use by several threads.

    ``lifetime_s`` is the time in seconds until a token expires.
    """

    __slots__ = (
        "_lock",
        "_next_sequence",
        "_random",
        "identity",
        "lifetime_s",
    )

    def __init__(
        self,
        instance: str,
        incarnation: int,
        lifetime_s: float = TOKEN_LIFETIME_SECONDS,
        random_source: random.Random | None = None,
    ) -> None:
        self.identity = PeerIdentity(instance, incarnation)
        self.lifetime_s = lifetime_s
        self._random = random_source or random.SystemRandom()
        self._next_sequence = 1
        self._lock = threading.Lock()

    def issue(self, witness: PeerIdentity | None, now: float) -> Token:
        """Return a new token that expires ``lifetime_s`` after ``now``.

        ``witness`` is a live process of another instance, or None if there is
        none. Raises ``ValueError`` for a witness on the same instance.
        """
        if witness is not None and witness.instance == self.identity.instance:
            raise ValueError(
                f"instance {witness.instance!r} can't be the witness of its own tokens"
            )
        with self._lock:
            sequence = self._next_sequence
            self._next_sequence += 1
            nonce = self._random.getrandbits(NONCE_BITS)
        return Token(
            home=self.identity.instance,
            home_incarnation=self.identity.incarnation,
            witness=witness.instance if witness else None,
            witness_incarnation=witness.incarnation if witness else 0,
            sequence=sequence,
            expires_at=now + self.lifetime_s,
            nonce=nonce,
        )
