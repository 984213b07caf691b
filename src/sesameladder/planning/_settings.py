"""Settings of the planner."""

from dataclasses import dataclass, field

DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Times and limits of the planner; all times are in seconds.

    The defaults suit both known deployments and the target fleet size.
    """

    instances: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """Configured entry instances by availability zone of the region.

    The planner ignores VMs in other zones, which belong to other planners. An
    empty dictionary means that every zone belongs to the region.
    """

    quiet_hours_utc: tuple[int, int] | None = None
    """First hour of routine reboots and the hour at which they end, in UTC.

    The end is exclusive, and the range may wrap past midnight. None means any hour.
    """

    drain_prior_s: float = 30.0
    """Drain time that is assumed until drains have been observed."""

    reboot_prior_s: float = 120.0
    """Reboot time that is assumed until reboots have been observed."""

    failure_confirm_s: float = 10.0
    """Time that a VM has to be suspected before the plan marks it as failed."""

    repair_backoff_s: float = 10.0
    """Shortest time from a failure to the return; doubles with each further failure."""

    repair_backoff_limit_s: float = 600.0
    """Longest time from a failure to the return of a VM that is healthy again."""

    failure_alarm_s: float = 900.0
    """Time that a VM has to stay failed before an alarm is raised."""

    silent_owner_alarm_s: float = 60.0
    """Time without a report from the owner of a cell before an alarm is raised."""

    stop_retry_s: float = 60.0
    """Base delay before an abandoned stop is retried; doubles with each attempt."""

    stop_retry_limit_s: float = 3_600.0
    """Upper limit of the delay before an abandoned stop is retried."""

    action_repeat_s: float = 10.0
    """Time after which an action that had no visible effect is repeated."""

    quick_check_interval_s: float = 3.0
    """Interval between health checks of VMs that failed recently."""

    quick_check_duration_s: float = 300.0
    """Time after a failure during which the quick check interval applies."""

    slow_check_interval_s: float = 30.0
    """Interval between health checks of VMs that failed earlier or were set aside."""

    checks_per_step: int = 64
    """Unused: a step requests every health check that is due."""

    lend_delay_s: float = 5.0
    """Time that a pool has to be short of capacity before it is lent a VM."""

    return_delay_s: float = 600.0
    """Time that a pool has to have a surplus before a lent VM is returned."""

    return_delay_in_wave_s: float = 60.0
    """Return delay while a maintenance wave in the lending pool can't stop a VM."""

    demand_time_constant_s: float = 600.0
    """Time constant of the smoothed demand; much longer than a demand burst."""

    lend_load_share: float = 0.95
    """Mean demand per slot above which a pool is lent a VM."""

    return_load_share: float = 0.75
    """Mean demand per slot below which a lent VM may go back."""

    reboot_interval_min_s: float = 20 * DAY_S
    """Shortest interval between two routine reboots of a VM."""

    reboot_interval_max_s: float = 26 * DAY_S
    """Longest interval; leaves two days for retries within the four-week limit."""

    reboot_overdue_age_s: float = 27 * DAY_S
    """Time since the last reboot from which quiet hours no longer apply."""
