"""The result format that every measurement reports."""

from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class MeasureEntry:
    """One measured figure with what it is compared to."""

    name: str
    """Stable name, for example ``short_wait_p99``."""

    deployment: str
    """``coral-strand``, ``pfennigblatt`` or ``target-size``."""

    unit: str
    """Unit of value, baseline and bound, for example ``ms`` or ``ratio``."""

    value: float
    """Figure of the product's decision code."""

    baseline: float | None
    """Figure of the plain alternative on the same input."""

    bound: float | None
    """Best possible figure, computed from the same input."""

    target: str
    """Stated target as a comparison, for example ``value <= 1.5 * bound``."""

    met: bool | None
    """Whether the target holds; None when the entry has no target."""

    def to_json(self) -> dict[str, object]:
        """Return the entry as a JSON object."""
        return asdict(self)
