"""Description of a load, read from a file in JSON with comments."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, ClassVar, Self

from pydantic import ConfigDict, Field

from sesameladder.settings._checks import Problems, check_unique
from sesameladder.settings._document import Document
from sesameladder.settings._fields import STRICT_CONFIG, Name
from sesameladder.settings._reader import read_settings

Share = Annotated[float, Field(ge=0, le=1)]
Weight = Annotated[float, Field(ge=0)]
Seconds = Annotated[float, Field(ge=0, le=3600)]
Rate = Annotated[float, Field(gt=0, le=100_000)]
Count = Annotated[int, Field(ge=1, le=200)]
DEFAULT_NODES = 2
KINDS = "submit", "read", "cancel"


@dataclass(frozen=True, slots=True)
class LoadMix:
    """Weights of the kinds of calls in a stream."""

    submit: Weight = 1.0
    read: Weight = 0.0
    cancel: Weight = 0.0


@dataclass(frozen=True, slots=True)
class LoadStream:
    """Calls of one group of clients."""

    name: Name
    """Name in the report; with ``has_keys`` also that of the organisation."""

    per_s: Rate
    """Mean number of calls a second."""

    clients: Count = 8
    """Number of clients; each has one connection and waits for its answers."""

    start_s: Seconds = 0.0
    """Time at which the calls begin."""

    seconds: Seconds | None = None
    """Time for which they last; until the end of the load if it isn't given."""

    is_even: bool = False
    """Whether the calls are evenly spaced; else they arrive at random times."""

    mix: LoadMix = field(default_factory=LoadMix)

    node: Annotated[int, Field(ge=0)] | None = None
    """Node that the clients call; all in turn if it isn't given."""

    retries: Annotated[int, Field(ge=0, le=20)] = 0
    """Times that a client repeats a refused call, after its ``Retry-After``."""

    leave_share: Share = 0.0
    """Share of the calls whose client leaves without waiting for the answer."""

    job_ms: Annotated[int, Field(ge=1, le=600_000)] = 50
    """Duration of a subtask."""

    width: Count = 1
    """Number of subtasks of a job."""


@dataclass(frozen=True, slots=True)
class StoreBehaviour:
    """Rates and faults of the stand-in's store."""

    writes_per_s: Rate = 400.0
    reads_per_s: Rate = 2000.0

    lost_answers_per_s: Weight = 0.0
    """Writes a second that are carried out without an answer."""

    late_writes_per_s: Weight = 0.0
    """Writes a second that get no answer and are carried out later."""

    late_s: Seconds = 1.0
    """Time after which late writes are carried out, in seconds."""


@dataclass(frozen=True, slots=True)
class LoadDescription:
    """A load, the nodes that it is played against, and their surroundings."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT_CONFIG

    seconds: Annotated[float, Field(gt=0, le=3600)]
    """Time for which calls are made."""

    streams: Annotated[tuple[LoadStream, ...], Field(min_length=1)]

    has_keys: bool = False
    """Whether the clients of each stream use the key of an organisation of its name."""

    seed: int = 1
    """Seed of the arrivals and of all other choices."""

    nodes: Annotated[int, Field(ge=1, le=50)] = DEFAULT_NODES
    """Number of node processes."""

    workers: Count = 4
    """Number of workers, with 8 cores each."""

    finish_s: Seconds = 20.0
    """Time after the last call in which accepted jobs have to end."""

    kill_owner_every_s: Annotated[float, Field(ge=5)] | None = None
    """Time between two kills of the pool's owner; it is started again."""

    store: StoreBehaviour = field(default_factory=StoreBehaviour)

    @classmethod
    def from_file(cls, path: str | Path) -> Self:
        """Return the description in a file; raises ``SettingsInvalid``."""
        return read_settings(cls, path, _find_contradictions)


def _find_contradictions(document: Document) -> Problems:
    yield from check_unique(document, "streams", "name")
    nodes = document.values.get("nodes", DEFAULT_NODES)
    for path, row in document.iterate_rows("streams"):
        node = row.get("node")
        if isinstance(node, int) and isinstance(nodes, int) and node >= nodes:
            remedy = f"give a node from 0 to {nodes - 1}"
            yield document.build_problem(f"{path}.node", node, "is not there", remedy)
        mix = row.get("mix")
        if isinstance(mix, dict) and not any(mix.get(k, k == "submit") for k in KINDS):
            remedy = "give one kind of call a weight"
            yield document.build_problem(f"{path}.mix", mix, "has no calls", remedy)
