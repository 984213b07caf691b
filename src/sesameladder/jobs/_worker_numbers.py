"""Small numbers for the incarnations of workers, for use in bit masks."""

from collections.abc import Iterable

Incarnation = tuple[str, int]
"""A worker's identifier and its ``born_ms``."""


class WorkerNumbers:
    """Numbers of the incarnations in use; the number of a forgotten one is reused.

    A bit mask over 200 workers takes 50 bytes, a set of their identifiers 8 KB.
    """

    __slots__ = ("by_incarnation", "free")

    def __init__(self) -> None:
        self.by_incarnation: dict[Incarnation, int] = {}
        self.free: list[int] = []

    def get_bit(self, incarnation: Incarnation) -> int:
        """Return the mask with the bit of a known incarnation; 0 for other ones."""
        number = self.by_incarnation.get(incarnation)
        return 0 if number is None else 1 << number

    def assign_bit(self, incarnation: Incarnation) -> int:
        """Return the mask with the bit of an incarnation, which becomes known."""
        if incarnation not in self.by_incarnation:
            number = self.free.pop() if self.free else len(self.by_incarnation)
            self.by_incarnation[incarnation] = number
        return 1 << self.by_incarnation[incarnation]

    def forget_others(self, kept: Iterable[Incarnation]) -> dict[Incarnation, int]:
        """Forget all other incarnations; returns each with the mask of its bit."""
        forgotten = self.by_incarnation.keys() - set(kept)
        numbers = {name: self.by_incarnation.pop(name) for name in forgotten}
        self.free.extend(numbers.values())
        return {name: 1 << number for name, number in numbers.items()}
