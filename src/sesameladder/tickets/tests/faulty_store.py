"""A fake store whose calls fail by their index."""

from sesameladder.environment import FakeStore, StoreOutcomeUnknown, StoreUnavailable


class FaultyStore(FakeStore):
    """Fails the calls whose index, counted from 0, is in one of three sets.

    A call in ``unavailable`` has no effect and raises ``StoreUnavailable``. A
    write in ``response_lost`` takes effect, one in ``request_lost`` doesn't, and
    both raise the error for an unknown effect.
    """

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)
        self.call_count = 0
        self.unavailable: set[int] = set()
        self.response_lost: set[int] = set()
        self.request_lost: set[int] = set()

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
        index = self.call_count
        self.fail_if_listed()
        if index in self.request_lost:
            raise StoreOutcomeUnknown("the request was lost")
        outcome = apply()
        if index in self.response_lost:
            raise StoreOutcomeUnknown("the response was lost")
        return outcome

    def fail_if_listed(self) -> None:
        index = self.call_count
        self.call_count += 1
        if index in self.unavailable:
            raise StoreUnavailable("the store is down")

    def clear_faults(self) -> None:
        self.unavailable, self.response_lost, self.request_lost = set(), set(), set()


def calls_from(index: int) -> set[int]:
    """Return the indices of all calls from ``index`` on."""
    return set(range(index, index + 10_000))
