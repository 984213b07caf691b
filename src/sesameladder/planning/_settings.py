"""Settings of the planner; the defaults suit both users and the target size."""

from dataclasses import dataclass, field

DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Times and limits of the planner; all times are in seconds."""

    instances: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """Configured entry instances by zone of the region.

    VMs of other zones are left to other planners; an empty dictionary means
    that every zone belongs to the region.
    """

    quiet_hours_utc: tuple[int, int] | None = None
    """First and last-but-one hour of routine maintenance; None means any hour."""

    drain_prior_s: float = 30.0
    """Drain time that is assumed until drains have been seen."""

    reboot_prior_s: float = 120.0
    """Reboot time that is assumed until reboots have been seen."""

    failure_confirm_s: float = 10.0
    """Time that a VM is suspected before it counts as failed in the plan."""

    repair_backoff_s: float = 10.0
    """Shortest time between failure and return; doubles with each repetition."""

    repair_backoff_limit_s: float = 600.0
    """Longest time between failure and return of a healthy VM."""

    failure_alarm_s: float = 900.0
    """Time after which a VM that stays failed is reported."""

    silent_owner_alarm_s: float = 60.0
    """Time after which an owner of cells that does not report is reported."""

    stop_retry_s: float = 60.0
    """Time until an abandoned stop is retried; doubles with each repetition."""

    stop_retry_limit_s: float = 3_600.0
    """Longest time until an abandoned stop is retried."""

    action_repeat_s: float = 10.0
    """Time after which an action without visible effect is repeated."""

    quick_check_interval_s: float = 3.0
    """Time between health checks of VMs that failed recently."""

    quick_check_duration_s: float = 300.0
    """Time after a failure in which it is checked quickly."""

    slow_check_interval_s: float = 30.0
    """Time between health checks of VMs that failed or were set aside."""

    checks_per_step: int = 64
    """Health checks that one step asks for."""

    lend_delay_s: float = 5.0
    """Time that a pool has to be short before it is lent a VM."""

    return_delay_s: float = 600.0
    """Time that a pool has to do without a lent VM before it goes back."""

    return_delay_in_wave_s: float = 60.0
    """Such time while a maintenance wave waits in the pool that lent the VM."""

    demand_time_constant_s: float = 600.0
    """Time constant of the mean demand; far above the length of a burst."""

    lend_load_share: float = 0.95
    """Mean demand per slot above which a pool is lent a VM."""

    return_load_share: float = 0.75
    """Mean demand per slot below which a lent VM may go back."""

    reboot_interval_min_s: float = 20 * DAY_S
    """Shortest time between two routine reboots of a VM."""

    reboot_interval_max_s: float = 26 * DAY_S
    """Longest such time; two days are left for retries within four weeks."""

    reboot_overdue_age_s: float = 27 * DAY_S
    """Age of the last reboot from which quiet hours no longer matter."""
