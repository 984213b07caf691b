"""Finds the pools that have accepted jobs and no route any more.

Processes take the roles of pools that a queue leads to. A pool that has lost its last
route still runs what it has accepted, so its role is taken as long as such jobs are
open.
"""

from collections.abc import Callable
from threading import Event

from sesameladder.jobs import Configuration
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._dependency import DependencyState
from sesameladder.node._keys import pool_role, submission_key
from sesameladder.node._supervision import build_thread
from sesameladder.node._telemetry import log_event
from sesameladder.platform import PlatformCallError, StoreClient

PASS_INTERVAL_S = 0.5
CHECK_INTERVAL_S = 5.0
# Processes accept jobs for a removed route for 2 s, and a write may be 6 s late.
CHECK_PERIOD_S = 20.0


class UnroutedPools:
    """Thread that looks for open jobs of pools without a route and without an owner.

    It reads a pool's submissions when the pool has lost its route or its owner, and
    again for a while.
    """

    __slots__ = (
        "dependency",
        "get_configuration",
        "has_owner",
        "last_checks",
        "stopping",
        "store",
        "thread",
        "vacant_since",
        "with_jobs",
        "without_jobs",
    )

    def __init__(
        self,
        store: StoreClient,
        get_configuration: Callable[[], Configuration | None],
        has_owner: Callable[[str], bool],
    ) -> None:
        self.store = store
        self.get_configuration = get_configuration
        self.has_owner = has_owner
        """Whether a process holds a role."""

        self.with_jobs: frozenset[str] = frozenset()
        """Pools without a route whose role is to be taken."""

        self.without_jobs: frozenset[str] = frozenset()
        """Pools without route and owner whose latest reading found no open job."""

        self.vacant_since: dict[str, float] = {}
        """Steady time since which a pool has had neither route nor owner."""

        self.last_checks: dict[str, float] = {}
        """Steady time of the latest reading of a pool's submissions."""

        self.dependency = DependencyState("store:unrouted pools")
        self.stopping = Event()
        self.thread = build_thread("unrouted pools", self._run, self.stopping)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self.stopping.set()

    def _run(self) -> None:
        while not self.stopping.is_set():
            self._run_pass(read_steady_clock())
            self.stopping.wait(PASS_INTERVAL_S)

    def _run_pass(self, now: float) -> None:
        configuration = self.get_configuration()
        if configuration is None:
            return
        unrouted = set(configuration.pools) - list_routed_pools(configuration)
        vacant = {pool for pool in unrouted if not self.has_owner(pool_role(pool))}
        self.vacant_since = {pool: self.vacant_since.get(pool, now) for pool in vacant}
        self.last_checks = {
            pool: at for pool, at in self.last_checks.items() if pool in vacant
        }
        with_jobs = set(self.with_jobs & unrouted)
        without_jobs = set(self.without_jobs & vacant)
        for pool in sorted(vacant):
            if not self._is_check_due(pool, now):
                continue
            try:
                # One page tells whether there are any; all may not fit into memory.
                page = next(self.store.read_pages(submission_key(pool, "")))
            except PlatformCallError as error:
                self.dependency.record_failure(error)
                continue
            self.dependency.record_success()
            self.last_checks[pool] = now
            if page.items:
                log_event("unrouted_pool_has_jobs", pool=pool, jobs=len(page.items))
                with_jobs.add(pool)
                without_jobs.discard(pool)
            else:
                with_jobs.discard(pool)
                without_jobs.add(pool)
        self.with_jobs = frozenset(with_jobs)
        self.without_jobs = frozenset(without_jobs)

    def list_open_pools(self) -> list[str]:
        """Return the pools of the configuration that may have open jobs."""
        configuration = self.get_configuration()
        pools = configuration.pools if configuration is not None else ()
        return sorted(set(pools) - self.without_jobs)

    def _is_check_due(self, pool: str, now: float) -> bool:
        last_check = self.last_checks.get(pool)
        if last_check is None:
            return True
        is_recent = now - self.vacant_since[pool] < CHECK_PERIOD_S
        return is_recent and now - last_check >= CHECK_INTERVAL_S


def list_routed_pools(configuration: Configuration) -> set[str]:
    """Return the pools that a queue leads to."""
    return {queue.pool for queue in configuration.queues}
