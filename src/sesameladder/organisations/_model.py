"""Organisations as a configuration names them, with digests of their keys."""

import secrets
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from hmac import compare_digest

DIGEST_BYTES = 32
SECRET_BYTES = 32
MAX_KEY_BYTES = 200  # longer keys are unknown; bounds the work for each request


@dataclass(frozen=True, slots=True)
class Amounts:
    """Amounts of the resources that subtasks request."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0


class KeyDigester:
    """Computes digests of keys with a secret of the process.

    Only digests are kept, so that no dump, log line or error text shows a key, and
    the time of a lookup tells nothing about the keys.
    """

    __slots__ = ("secret",)

    def __init__(self, secret: bytes | None = None) -> None:
        self.secret = secret or secrets.token_bytes(SECRET_BYTES)

    def digest(self, key: str) -> bytes:
        """Return the digest of a key."""
        data = key.encode(errors="surrogatepass")
        return blake2b(data, digest_size=DIGEST_BYTES, key=self.secret).digest()


PROCESS_DIGESTER = KeyDigester()


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation of the configuration."""

    name: str
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)
    weight: float = 1.0
    """Share of a full pool, and the jobs a second that may come before others'."""

    cap: Amounts = Amounts()
    """Most that may run in all pools together; 0 stands for no limit."""


@dataclass(frozen=True, slots=True)
class OrganisationRefusal:
    """A row of the configuration that names no organisation."""

    position: int | None
    """Number of the row, from 0; None for the list as a whole."""

    reason: str
    """What is wrong, without any value of the row: each may be a key."""


@dataclass(frozen=True, slots=True)
class KeyRefusal:
    """A key that no organisation can use."""

    positions: tuple[int, ...]
    """Numbers of the rows that have it, from 0."""

    reason: str


class Organisations:
    """The organisations of one configuration."""

    __slots__ = ("by_digest", "by_name", "digester", "refusals")

    def __init__(
        self,
        organisations: Iterable[Organisation] = (),
        digester: KeyDigester = PROCESS_DIGESTER,
        refusals: Iterable[OrganisationRefusal | KeyRefusal] = (),
    ) -> None:
        self.digester = digester
        self.refusals = tuple(refusals)
        self.by_name = {row.name: row for row in organisations}
        self.by_digest = {
            digest: row for row in self.by_name.values() for digest in row.key_digests
        }

    def find_by_key(self, key: str) -> Organisation | None:
        """Return the organisation that a key belongs to, or None."""
        if not key or len(key.encode(errors="surrogatepass")) > MAX_KEY_BYTES:
            return None
        digest = self.digester.digest(key)
        organisation = self.by_digest.get(digest)
        if organisation is None:
            return None
        is_known = any(compare_digest(digest, d) for d in organisation.key_digests)
        return organisation if is_known else None
