"""Idempotency tokens and their encoding as text."""

import base64
import binascii
import json
import math
from dataclasses import astuple, dataclass
from hashlib import blake2b

from sesameladder.idempotency._errors import TokenMalformed
from sesameladder.model import PeerIdentity

TOKEN_PREFIX = "slt1."
MAX_TOKEN_CHARACTERS = 1024
CHECKSUM_BYTES = 8


@dataclass(frozen=True, slots=True)
class Token:
    """Permission to run one request at most once, at one home."""

    home: str
    """Instance id of the issuer, the only process that may run the request."""

    home_incarnation: int
    """Incarnation of the issuer."""

    witness: str | None
    """Instance id of the witness; None if the zone has only one live instance."""

    witness_incarnation: int
    """Incarnation of the witness; 0 without a witness."""

    sequence: int
    """Number of the token within the home's incarnation, from 1."""

    expires_at: float
    """Time in seconds on the home's clock from which the token can't be started."""

    nonce: int = 0
    """Random number, so that a caller can't guess another caller's token."""

    @property
    def home_identity(self) -> PeerIdentity:
        """The process that issued the token."""
        return PeerIdentity(self.home, self.home_incarnation)

    @property
    def witness_identity(self) -> PeerIdentity | None:
        """The process that records the start, or None without a witness."""
        if self.witness is None:
            return None
        return PeerIdentity(self.witness, self.witness_incarnation)

    def to_text(self) -> str:
        """Encode the token as text that is safe in URLs and HTTP headers."""
        payload = json.dumps(astuple(self), separators=(",", ":")).encode()
        encoded = base64.urlsafe_b64encode(payload + _checksum(payload))
        return TOKEN_PREFIX + encoded.decode().rstrip("=")

    @classmethod
    def from_text(cls, text: str) -> "Token":
        """Decode a token from its text; raises ``TokenMalformed``."""
        if not is_token_text(text):
            raise TokenMalformed(f"a token starts with {TOKEN_PREFIX!r}")
        if len(text) > MAX_TOKEN_CHARACTERS:
            raise TokenMalformed(f"a token has at most {MAX_TOKEN_CHARACTERS} bytes")
        return cls(*_checked_fields(_decode(text.removeprefix(TOKEN_PREFIX))))


def is_token_text(text: str) -> bool:
    """Return whether a text has the prefix that tells tokens from callers' keys."""
    return text.startswith(TOKEN_PREFIX)


def _checksum(payload: bytes) -> bytes:
    return blake2b(payload, digest_size=CHECKSUM_BYTES).digest()


def _decode(encoded: str) -> bytes:
    try:
        raw = base64.b64decode(
            encoded + "=" * (-len(encoded) % 4), altchars=b"-_", validate=True
        )
    except (binascii.Error, ValueError) as error:
        raise TokenMalformed("the token is not base64url") from error
    payload, checksum = raw[:-CHECKSUM_BYTES], raw[-CHECKSUM_BYTES:]
    if _checksum(payload) != checksum:
        raise TokenMalformed("the token's checksum does not match")
    return payload


def _checked_fields(
    payload: bytes,
) -> tuple[str, int, str | None, int, int, float, int]:
    try:
        (
            home,
            home_incarnation,
            witness,
            witness_incarnation,
            sequence,
            expires_at,
            nonce,
        ) = json.loads(payload)
    except (ValueError, TypeError) as error:
        raise TokenMalformed("the token does not have seven fields") from error
    numbers = (home_incarnation, witness_incarnation, sequence, nonce)
    if not all(type(number) is int for number in numbers):
        raise TokenMalformed("the token's numbers are not integers")
    if not isinstance(home, str) or not isinstance(witness, str | None):
        raise TokenMalformed("the token's instance ids are not texts")
    if type(expires_at) not in (int, float) or not math.isfinite(expires_at):
        raise TokenMalformed("the token's expiry is not a finite number")
    return (
        home,
        home_incarnation,
        witness,
        witness_incarnation,
        sequence,
        expires_at,
        nonce,
    )
