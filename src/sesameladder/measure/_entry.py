"""Result format of all measurements."""

from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class MeasureEntry:
    """A measured figure with its baseline, bound and target."""

    name: str
    """Stable name, for example ``short_wait_p99``."""

    deployment: str
    """``coral-strand``, ``pfennigblatt`` or ``target-size``."""

    unit: str
    """Unit of value, baseline and bound, for example ``ms`` or ``ratio``."""

    value: float
    """Figure of the decision code."""

    baseline: float | None
    """Figure of a simple alternative on the same input; None if there is none."""

    bound: float | None
    """Best possible figure for the same input; None if it is not computed."""

    target: str
    """Target as a comparison, for example ``value <= 1.5 * bound``; may be empty."""

    met: bool | None
    """Whether the target is met; None if the entry has no target."""

    def to_json(self) -> dict[str, object]:
        """Return the entry as a JSON object."""
        return asdict(self)
