"""Reading of the store and the platform's VM list for an availability zone."""

import logging
from collections.abc import Callable
from random import Random
from threading import Event, Thread

from sesameladder.configuration import PollSchedule
from sesameladder.entry._configuration_messages import (
    ConfigurationMessage,
    PlanRead,
    RelayRoleChanged,
    SnapshotRead,
    TicketsRead,
    VmListRead,
)
from sesameladder.entry._configuration_task import ConfigurationTask
from sesameladder.environment import PlatformClient, PlatformError
from sesameladder.observability import log_event
from sesameladder.planning import PlanMalformed, RoleLease
from sesameladder.tickets import HEAD_KEY, TicketLog, TicketLogError, encode_state

STEP_INTERVAL_S = 0.5
VM_LIST_INTERVAL_S = 1.0
WATCH_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.5
MAX_TICKETS_PER_READ = 100

logger = logging.getLogger(__name__)


class RelayTask:
    """Acquires the zone's relay role and reads for the zone while it holds it.

    The relay watches the head of the ticket log and the plan, and reads the
    VM list every second. Other instances poll the store while their zone has no
    live relay. Two relays at the same time do no harm, since receivers ignore
    ticket numbers, plan versions and VM list sequences that are not newer.
    """

    __slots__ = (
        "configuration",
        "holds_role",
        "plan_key",
        "platform",
        "poll_schedules",
        "role_lease",
        "stopping",
        "ticket_log",
    )

    def __init__(
        self,
        configuration: ConfigurationTask,
        platform: PlatformClient,
        region: str,
        zone: str,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self.configuration = configuration
        self.platform = platform
        self.ticket_log = TicketLog(platform)
        self.plan_key = f"plan/{region}"
        instance = configuration.peers.identity.instance
        self.role_lease = RoleLease(platform, f"roles/relay/{zone}", instance, clock)
        self.poll_schedules = {
            key: PollSchedule(clock, random) for key in (HEAD_KEY, self.plan_key)
        }
        self.holds_role = False
        self.stopping = Event()

    def start(self) -> None:
        """Start the threads for the role, the two watched keys and the VM list."""
        for name, target in (
            ("relay-role", self._maintain_role),
            ("relay-head", lambda: self._follow_key(HEAD_KEY, self._read_tickets)),
            ("relay-plan", lambda: self._follow_key(self.plan_key, self._read_plan)),
            ("relay-vms", self._read_vm_lists),
        ):
            Thread(target=target, name=name, daemon=True).start()

    def stop(self) -> None:
        """Release the role and stop the threads."""
        self.stopping.set()
        self.role_lease.release()

    def _maintain_role(self) -> None:
        while not self.stopping.wait(STEP_INTERVAL_S):
            holds_role = self.role_lease.renew() or self._acquire_vacant_role()
            if holds_role != self.holds_role:
                self.holds_role = holds_role
                self.configuration.post(RelayRoleChanged(holds_role))
                log_event(logger, logging.INFO, "relay_role_changed", held=holds_role)

    def _acquire_vacant_role(self) -> bool:
        # The store is not asked while the zone has a relay, because that would cost
        # two reads a second for each instance of the fleet.
        return (
            not self.configuration.zone_has_relay
            and self.role_lease.acquire_if_vacant()
        )

    def _follow_key(self, key: str, read: Callable[[], ConfigurationMessage]) -> None:
        revision = 0
        schedule = self.poll_schedules[key]
        while not self.stopping.is_set():
            if not self.holds_role:
                self._poll_when_due(schedule, read)
                revision = 0
                continue
            try:
                entry = self.platform.watch(key, revision, WATCH_TIMEOUT_S)
                if entry is not None:
                    self.configuration.post(read())
                    revision = entry.revision
            except (PlatformError, TicketLogError, PlanMalformed) as error:
                self._log_failure(key, error)
                self.stopping.wait(RETRY_DELAY_S)

    def _poll_when_due(
        self, schedule: PollSchedule, read: Callable[[], ConfigurationMessage]
    ) -> None:
        if self.configuration.zone_has_relay:
            schedule.record_relay_seen()
        if schedule.is_due():
            try:
                self.configuration.post(read())
                schedule.record_success()
            except (PlatformError, TicketLogError, PlanMalformed):
                schedule.record_failure()
        self.stopping.wait(STEP_INTERVAL_S / 2)

    def _read_tickets(self) -> ConfigurationMessage:
        head = self.ticket_log.read_head()
        known_number = self.configuration.replica.number
        if head.ticket is not None and head.number == known_number + 1:
            return TicketsRead((head.ticket,))
        if head.number <= known_number:
            return TicketsRead(())
        if head.number - known_number <= MAX_TICKETS_PER_READ:
            history = self.ticket_log.list_history(
                known_number + 1, MAX_TICKETS_PER_READ
            )
            return TicketsRead(tuple(history))
        state = self.ticket_log.load_state()
        return SnapshotRead(state.number, encode_state(state))

    def _read_plan(self) -> ConfigurationMessage:
        entry = self.platform.get(self.plan_key)
        return TicketsRead(()) if entry is None else PlanRead(entry.value)

    def _read_vm_lists(self) -> None:
        while not self.stopping.wait(VM_LIST_INTERVAL_S):
            if not self.holds_role:
                continue
            try:
                rows = self.platform.list_vms()
            except PlatformError as error:
                self._log_failure("vm list", error)
                continue
            self.configuration.post(VmListRead(tuple(rows)))

    def _log_failure(self, key: str, error: Exception) -> None:
        log_event(
            logger, logging.INFO, "platform_read_failed", key=key, reason=str(error)
        )
