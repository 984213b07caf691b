"""Leader election for a role, based on a lease in the platform's store."""

import json
from collections.abc import Callable

from sesameladder.environment import (
    PlatformError,
    Store,
    StoreOutcomeUnknown,
    SwapConflict,
)

ROLE_LEASE_S = 5.0
# Largest share by which the holder's clock may run slower than the store's.
CLOCK_DRIFT_SHARE = 0.05


class RoleLease:
    """One instance's lease on a role.

    The holder measures the lease from the time just before each call, so its own
    clock shows the role as lost before the lease can expire in the store. If a
    holder pauses between a check and a write, the fence in the value that it
    writes and compare-and-swap prevent an outdated write.
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
        """Whether the role is not held according to the holder's own clock."""
        return self.fence == 0 or self.clock() >= self.valid_until

    def acquire(self) -> bool:
        """Try to acquire the role; False if it is held or the store is down."""
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
        """Try to acquire the role if a read shows that it has no holder.

        Standby instances call this often, and a read costs the store less than
        granting a lease.
        """
        try:
            if self.store.get(self.key) is not None:
                return False
        except PlatformError:
            return False
        return self.acquire()

    def renew(self) -> bool:
        """Extend the lease; False if the role is lost.

        While the store is unreachable, the role is kept until the lease expires.
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
        """Delete the role's key so that another instance can take over at once."""
        fence = self.fence
        self._clear()
        if fence == 0:
            return
        try:
            self.store.delete(self.key, fence)
        except PlatformError:
            return

    def _create_key(self) -> int:
        """Create the key and return its revision, or 0 if another holder has it."""
        # The lease number makes the value unique to this acquisition.
        document = {"instance": self.instance, "lease": self.lease}
        value = json.dumps(document).encode()
        try:
            outcome = self.store.compare_and_swap(self.key, 0, value, self.lease)
        except StoreOutcomeUnknown:
            entry = self.store.get(self.key)
            is_own = entry is not None and entry.value == value
            return entry.revision if entry is not None and is_own else 0
        return 0 if isinstance(outcome, SwapConflict) else outcome.revision

    def _extend(self, requested_at: float) -> None:
        self.valid_until = requested_at + ROLE_LEASE_S * (1 - CLOCK_DRIFT_SHARE)

    def _clear(self) -> None:
        self.fence = 0
        self.valid_until = 0.0
