"""Rendezvous hashing: a stable choice of members for a key."""

from collections.abc import Iterable
from hashlib import blake2b


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in the order of their hash with a key."""
    return sorted(members, key=lambda member: (_hash(key, member), member))


def _hash(key: str, member: str) -> bytes:
    return blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
