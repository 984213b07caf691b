"""Leadership of a role under a lease of the platform's store."""

import json
from collections.abc import Callable

from sesameladder.environment import (
    PlatformError,
    Store,
    StoreAnswerLost,
    SwapConflict,
)

ROLE_LEASE_S = 5.0
# The holder's clock may run slower than the store's by up to this share.
CLOCK_DRIFT_SHARE = 0.05


class RoleLease:
    """One instance's hold on a role.

    The holder counts the lease from the moment before each call, so by its own
    clock the role is lost before the lease can have lapsed in the store. A
    holder that pauses between a check and a write is stopped by the fence in
    the value that it writes and by compare-and-swap.
    """

    __slots__ = ("clock", "fence", "instance", "key", "lease", "store", "valid_until")

    def __init__(
        self, store: Store, key: str, instance: str, clock: Callable[[], float]
    ) -> None:
        self.store = store
        self.key = key
        self.instance = instance
        self.clock = clock
        self.lease = 0
        self.fence = 0
        self.valid_until = 0.0

    @property
    def lost(self) -> bool:
        """Whether the role is not held, as of the holder's own clock."""
        return self.fence == 0 or self.clock() >= self.valid_until

    def acquire(self) -> bool:
        """Try to take the role; False when it is held or the store is down."""
        self._clear()
        requested_at = self.clock()
        try:
            self.lease = self.store.grant_lease(ROLE_LEASE_S)
            self.fence = self._create_key()
        except PlatformError:
            return False
        self._extend(requested_at)
        return not self.lost

    def acquire_if_vacant(self) -> bool:
        """Try to take the role after a read shows that nobody holds it.

        Standby instances ask often; a read is cheaper for the store than the
        write of a lease.
        """
        try:
            if self.store.get(self.key) is not None:
                return False
        except PlatformError:
            return False
        return self.acquire()

    def renew(self) -> bool:
        """Extend the lease; False when the role is lost.

        An unreachable store loses the role only when the time has run out.
        """
        if self.lost:
            self._clear()
            return False
        requested_at = self.clock()
        try:
            if self.store.keep_alive(self.lease):
                self._extend(requested_at)
            else:
                self._clear()
        except PlatformError:
            pass
        return not self.lost

    def release(self) -> None:
        """Give the role up, so that another instance need not wait."""
        fence = self.fence
        self._clear()
        if fence == 0:
            return
        try:
            self.store.delete(self.key, fence)
        except PlatformError:
            return

    def _create_key(self) -> int:
        """Return the revision of the created key, or 0 when another stands there."""
        # The lease number makes the value unique to this acquisition.
        document = {"instance": self.instance, "lease": self.lease}
        value = json.dumps(document).encode()
        try:
            outcome = self.store.compare_and_swap(self.key, 0, value, self.lease)
        except StoreAnswerLost:
            entry = self.store.get(self.key)
            is_own = entry is not None and entry.value == value
            return entry.revision if entry is not None and is_own else 0
        return 0 if isinstance(outcome, SwapConflict) else outcome.revision

    def _extend(self, requested_at: float) -> None:
        self.valid_until = requested_at + ROLE_LEASE_S * (1 - CLOCK_DRIFT_SHARE)

    def _clear(self) -> None:
        self.fence = 0
        self.valid_until = 0.0
