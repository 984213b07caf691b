"""Rendezvous hashing: a stable ranking of members for each key."""

from collections.abc import Iterable
from hashlib import blake2b


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return the members sorted by the hash of the key and the member."""
    return sorted(members, key=lambda member: (_hash(key, member), member))


def _hash(key: str, member: str) -> bytes:
    return blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
