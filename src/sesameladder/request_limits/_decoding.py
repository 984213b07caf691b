"""Limits of what a body needs while it is decoded."""

from collections.abc import Iterator
from contextlib import contextmanager
from threading import BoundedSemaphore

# A job within the users' limits has under 5,100, with 4,000 brackets in its text.
MAX_CONTAINERS = 10_000
# Decoded, a body takes up to 50 times its size; so much of it may be decoded at once.
LARGE_BODY_BYTES = 16_384
LARGE_DECODINGS = 2


def count_containers(body: bytes) -> int:
    """Return how many lists and objects a JSON body has at most.

    Brackets in texts are counted too.
    """
    return body.count(b"[") + body.count(b"{")


class DecodingGate:
    """Lets few large bodies be decoded at a time; thread-safe.

    The load is clients whose bodies are small on the wire and large when decoded, on
    all request threads at once. Other requests do not wait.
    """

    __slots__ = ("places",)

    def __init__(self) -> None:
        self.places = BoundedSemaphore(LARGE_DECODINGS)

    @contextmanager
    def enter(self, body: bytes) -> Iterator[None]:
        """Wait for a place if the body is large."""
        if len(body) <= LARGE_BODY_BYTES:
            yield
            return
        with self.places:
            yield
