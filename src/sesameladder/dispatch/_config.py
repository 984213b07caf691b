"""Settings of one cell's dispatcher."""

from dataclasses import dataclass

from sesameladder.model import Pool


@dataclass(frozen=True, slots=True)
class DispatcherConfig:
    """Limits and policy parameters of one cell's dispatcher."""

    queue_limit: int = 512
    """Demands that may wait; resumed jobs are accepted beyond it."""

    wait_limit_ms: float = 10_000.0
    """Longest wait of a demand, in milliseconds."""

    task_lease_s: float = 3.0
    """Lease of a task on a worker, and length of the recovery, in seconds."""

    grant_use_limit_s: float = 1.0
    """Time in seconds within which a forwarder uses a grant or returns it."""

    long_threshold_factor: float = 8.0
    """Run time, in medians of the cell, from which work counts as long."""

    default_run_ms: float = 200.0
    """Run time assumed for the cell before anything was observed."""

    aging_factor: float = 0.1
    """Seconds of waiting that outweigh one second of expected run time."""

    starvation_limit_share: float = 0.25
    """Part of the wait limit after which waiting outweighs any run time."""

    fairness_slack_runs: float = 1.0
    """Lead in slot time, in median runs of all slots, that order may give a team."""

    long_max_share: float = 0.5
    """Largest share of the slots that long work may hold."""

    long_min_share: float = 0.05
    """Share of the slots that waiting long work gets before short work."""

    long_overdue_share: float = 0.25
    """Share of the slots that long work gets first once it waited for long."""

    non_preemptible_headroom: float = 0.0
    """Slots kept free for short work, in square roots of its mean use."""

    load_time_constant_s: float = 5.0
    """Time constant of the mean slot use by work class, in seconds."""

    long_wait_factor: float = 0.2
    """Wait, in expected run times, after which long work ignores the headroom."""

    preemptible_headroom: float = -0.6
    """Like ``short_headroom``, for long work that can be preempted.

    A negative value lets such work fill slots that short work leaves idle
    while it is below its mean.
    """

    preemptible_reserve_share: float = 0.05
    """Share of the slots left free when long work starts that can be preempted."""

    preempt_tolerance_share: float = 0.24
    """Part of the short jobs that end during a checkpoint which may wait."""

    default_checkpoint_s: float = 0.1
    """Time of a checkpoint assumed before any was observed, in seconds."""

    preempt_min_run_s: float = 0.1
    """Time in seconds for which a grant is not preempted for short work."""

    throttle_after_s: float = 1.0
    """Wait of short work, in seconds, from which stragglers are throttled."""

    throttle_share: float = 0.5
    """Share of its slot that a throttled straggler gets."""

    retry_ratio: float = 0.1
    """Retries per first attempt."""

    retry_burst: float = 10.0
    """Retries that can be saved up."""

    unrunnable_min_workers: int = 3
    """Distinct workers on which a job fails before it counts as unrunnable."""

    ejection_failures: int = 3
    """Consecutive failures after which a worker is ejected."""

    max_ejected_share: float = 1 / 3
    """Largest share of the cell's workers that is ejected (at least one)."""

    probe_delay_s: float = 1.0
    """Delay in seconds before the first probe of an ejected worker."""

    probe_delay_limit_s: float = 60.0
    """Longest delay in seconds between probes."""

    leaving_refusal_ttl_s: float = 5.0
    """Time in seconds for which a worker's own leaving refusal counts."""

    full_refusal_backoff_s: float = 0.5
    """Time in seconds without grants after a worker refused as full."""

    @property
    def wait_limit_s(self) -> float:
        """Longest wait of a demand, in seconds."""
        return self.wait_limit_ms / 1000

    @property
    def starvation_limit_s(self) -> float:
        """Wait in seconds after which waiting outweighs any run time."""
        return self.starvation_limit_share * self.wait_limit_s

    def ordering_penalty_s(self, expected_ms: float) -> float:
        """Return how much later, in seconds, a job counts as submitted.

        A fixed handicap orders like expected time less aging, without
        reordering while demands wait.
        """
        return min(self.aging_factor * expected_ms / 1000, self.starvation_limit_s)

    @classmethod
    def from_pool(cls, pool: Pool) -> "DispatcherConfig":
        """Return the settings of a pool's cells."""
        return cls(
            queue_limit=pool.queue_limit,
            wait_limit_ms=float(pool.wait_limit_ms),
        )
