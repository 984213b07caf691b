"""A store that fails at a chosen call."""

from sesameladder.environment import FakeStore, StoreOutcomeUnknown, StoreUnavailable


class FaultyStore(FakeStore):
    """Fails the calls whose index is listed, counted from 0."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)
        self.count = 0
        self.down: set[int] = set()
        self.lost: set[int] = set()
        self.lost_unapplied: set[int] = set()

    def get(self, key):
        self.fail_if_listed()
        return super().get(key)

    def compare_and_swap(self, key, expected_revision, value, lease=None):
        return self.write(
            lambda: super(FaultyStore, self).compare_and_swap(
                key, expected_revision, value, lease
            )
        )

    def delete(self, key, expected_revision):
        return self.write(
            lambda: super(FaultyStore, self).delete(key, expected_revision)
        )

    def write(self, apply):
        index = self.count
        self.fail_if_listed()
        if index in self.lost_unapplied:
            raise StoreOutcomeUnknown("the write was lost on its way")
        outcome = apply()
        if index in self.lost:
            raise StoreOutcomeUnknown("the answer was lost")
        return outcome

    def fail_if_listed(self) -> None:
        index = self.count
        self.count += 1
        if index in self.down:
            raise StoreUnavailable("the store is down")

    def heal(self) -> None:
        self.down, self.lost, self.lost_unapplied = set(), set(), set()


def fail_from(index: int) -> set[int]:
    """Return the indices of all calls from one on."""
    return set(range(index, index + 10_000))
