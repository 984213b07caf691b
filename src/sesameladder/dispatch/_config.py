"""Configuration of one cell's dispatcher."""

from dataclasses import dataclass

from sesameladder.model import Pool


@dataclass(frozen=True, slots=True)
class DispatcherConfig:
    """Limits and policy parameters of one cell's dispatcher."""

    queue_limit: int = 512
    """Maximum number of waiting demands; resumed jobs are queued beyond it."""

    wait_limit_ms: float = 10_000.0
    """Maximum wait of a demand, in milliseconds; resumed jobs have no limit."""

    task_lease_s: float = 3.0
    """Lease of a task on a worker and duration of the recovery, in seconds."""

    grant_use_limit_s: float = 1.0
    """Time in seconds within which a forwarder starts the task or returns the grant."""

    long_threshold_factor: float = 8.0
    """Multiple of the cell's median run time from which work counts as long."""

    default_run_ms: float = 200.0
    """Median run time in milliseconds that is assumed before any observation."""

    aging_factor: float = 0.1
    """Seconds of waiting that offset one second of expected run time in the order."""

    starvation_limit_share: float = 0.25
    """Share of the wait limit after which waiting offsets any expected run time."""

    fairness_slack_runs: float = 1.0
    """Lead in granted slot time up to which a team competes by its sort keys.

    A team with a longer lead over the last team waits. The unit is one median
    run on every serving slot.
    """

    long_max_share: float = 0.5
    """Maximum share of the slots held by long work that can't be preempted."""

    long_min_share: float = 0.05
    """Share of the slots that waiting long work gets ahead of short work."""

    long_overdue_share: float = 0.25
    """Share of the slots up to which overdue long work precedes short work.

    Long work is overdue once it has waited for ``starvation_limit_s``.
    """

    non_preemptible_headroom: float = 0.0
    """Slots kept free for short work when other long work starts.

    The unit is the square root of the mean number of slots in demand by short
    work. It applies to long work that can't be preempted.
    """

    load_time_constant_s: float = 5.0
    """Time constant of the mean slot demand of short work, in seconds."""

    long_wait_factor: float = 0.2
    """Multiple of its expected run time after which waiting long work may start.

    It then takes a free slot regardless of headroom and reserve.
    """

    preemptible_headroom: float = -0.6
    """Like ``non_preemptible_headroom``, for long work that can be preempted.

    A negative value lets such work use slots that are idle while the demand of
    short work is below its mean.
    """

    preemptible_reserve_share: float = 0.05
    """Share of the slots kept free when preemptible long work starts."""

    preempt_tolerance_share: float = 0.24
    """Waiting short demands that don't cause a preemption.

    The unit is the number of short jobs expected to end during a checkpoint.
    """

    default_checkpoint_s: float = 0.1
    """Duration of a checkpoint in seconds that is assumed before any observation."""

    preempt_min_run_s: float = 0.1
    """Minimum run time in seconds before a job is preempted for short work."""

    throttle_after_s: float = 1.0
    """Wait of short work in seconds from which long tasks are throttled."""

    throttle_share: float = 0.5
    """Share of its slot that a throttled task gets."""

    retry_ratio: float = 0.1
    """Retries allowed per first attempt."""

    retry_burst: float = 10.0
    """Maximum number of unused retries in the budget."""

    unrunnable_min_workers: int = 3
    """Number of healthy workers on which a job must fail to count as unrunnable."""

    ejection_failures: int = 3
    """Consecutive failures after which a worker may be ejected."""

    max_ejected_share: float = 1 / 3
    """Maximum share of the cell's workers that is ejected; one is always allowed."""

    probe_delay_s: float = 1.0
    """Delay in seconds before the first probe of an ejected worker."""

    probe_delay_limit_s: float = 60.0
    """Maximum delay in seconds between probes."""

    leaving_refusal_ttl_s: float = 5.0
    """Time in seconds for which a refusal by a leaving worker marks its VM."""

    full_refusal_backoff_s: float = 0.5
    """Time in seconds without grants to a worker that refused a task as full."""

    @property
    def wait_limit_s(self) -> float:
        """Maximum wait of a demand, in seconds."""
        return self.wait_limit_ms / 1000

    @property
    def starvation_limit_s(self) -> float:
        """Wait in seconds after which waiting offsets any expected run time."""
        return self.starvation_limit_share * self.wait_limit_s

    def ordering_penalty_s(self, expected_ms: float) -> float:
        """Return the seconds by which expected run time delays a demand in its queue.

        Adding this fixed penalty to the submission time gives the same order as
        expected run time minus aging, so waiting demands need no reordering.
        """
        return min(self.aging_factor * expected_ms / 1000, self.starvation_limit_s)

    @classmethod
    def from_pool(cls, pool: Pool) -> "DispatcherConfig":
        """Return the configuration for the cells of a pool."""
        return cls(
            queue_limit=pool.queue_limit,
            wait_limit_ms=float(pool.wait_limit_ms),
        )
