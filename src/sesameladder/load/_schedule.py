"""Times and kinds of the calls of a stream, drawn from a seed."""

from collections.abc import Iterator
from enum import StrEnum
from itertools import count
from random import Random

from sesameladder.settings import LoadStream


class CallKind(StrEnum):
    """What a call asks for."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"


class Arrival:
    """A call that a client is to make."""

    __slots__ = ("at_s", "client", "kind", "leaves")

    def __init__(self, at_s: float, client: int, kind: CallKind, leaves: bool) -> None:
        self.at_s = at_s
        """Time from the start of the load, in seconds."""

        self.client = client
        """Number of the client in its stream."""

        self.kind = kind
        self.leaves = leaves
        """Whether the client leaves without waiting for the answer."""


def draw_arrivals(
    stream: LoadStream, load_seconds: float, seed: int
) -> Iterator[Arrival]:
    """Yield the calls of a stream in order; clients take turns.

    They arrive at random (a Poisson process) or evenly, until the stream or the load
    ends, whichever comes first.
    """
    random = Random(f"{seed}/{stream.name}")
    mix = stream.mix
    end_s = load_seconds
    if stream.seconds is not None:
        end_s = min(end_s, stream.start_s + stream.seconds)
    at_s = stream.start_s
    for number in count():
        at_s += random.expovariate(stream.per_s)
        if stream.is_even:
            at_s = stream.start_s + number / stream.per_s
        if at_s >= end_s:
            return
        weights = (mix.submit, mix.read, mix.cancel)
        kind = random.choices(list(CallKind), weights)[0]
        leaves = random.random() < stream.leave_share
        yield Arrival(at_s, number % stream.clients, kind, leaves)
