"""Reads the store and the VM list on behalf of a zone."""

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

STEP_SECONDS = 0.5
VM_LIST_SECONDS = 1.0
WATCH_SECONDS = 5.0
RETRY_SECONDS = 0.5
MAX_TICKETS_PER_READ = 100

logger = logging.getLogger(__name__)


class RelayTask:
    """Holds the zone's relay role and reads what the zone needs.

    The relay watches the head of the ticket log and the plan, and reads the
    VM list every second. Other instances poll when no relay is heard of. Two
    relays at once are harmless, since all readers only move forward.
    """

    __slots__ = (
        "configuration",
        "held",
        "lease",
        "plan_key",
        "platform",
        "schedules",
        "stopping",
        "tickets",
    )

    def __init__(
        self,
        configuration: ConfigurationTask,
        platform: PlatformClient,
        region: str,
        zone: str,
        now: Callable[[], float],
        random: Random,
    ) -> None:
        self.configuration = configuration
        self.platform = platform
        self.tickets = TicketLog(platform)
        self.plan_key = f"plan/{region}"
        instance = configuration.peers.identity.instance
        self.lease = RoleLease(platform, f"roles/relay/{zone}", instance, now)
        self.schedules = {
            key: PollSchedule(now, random) for key in (HEAD_KEY, self.plan_key)
        }
        self.held = False
        self.stopping = Event()

    def start(self) -> None:
        """Start the role task, the two followers and the VM list reader."""
        for name, target in (
            ("relay-role", self._keep_role),
            ("relay-head", lambda: self._follow(HEAD_KEY, self._read_tickets)),
            ("relay-plan", lambda: self._follow(self.plan_key, self._read_plan)),
            ("relay-vms", self._read_vm_lists),
        ):
            Thread(target=target, name=name, daemon=True).start()

    def stop(self) -> None:
        """Give the role up and end the tasks."""
        self.stopping.set()
        self.lease.release()

    def _keep_role(self) -> None:
        while not self.stopping.wait(STEP_SECONDS):
            held = self.lease.renew() or self._take_vacant_role()
            if held != self.held:
                self.held = held
                self.configuration.post(RelayRoleChanged(held))
                log_event(logger, logging.INFO, "relay_role_changed", held=held)

    def _take_vacant_role(self) -> bool:
        # While a relay is heard, asking the store would cost two reads a second
        # for each instance of the fleet.
        return not self.configuration.hears_relay and self.lease.acquire_if_vacant()

    def _follow(self, key: str, read: Callable[[], ConfigurationMessage]) -> None:
        revision = 0
        schedule = self.schedules[key]
        while not self.stopping.is_set():
            if not self.held:
                self._poll_when_due(schedule, read)
                revision = 0
                continue
            try:
                entry = self.platform.watch(key, revision, WATCH_SECONDS)
                if entry is not None:
                    self.configuration.post(read())
                    revision = entry.revision
            except (PlatformError, TicketLogError, PlanMalformed) as error:
                self._log_failure(key, error)
                self.stopping.wait(RETRY_SECONDS)

    def _poll_when_due(
        self, schedule: PollSchedule, read: Callable[[], ConfigurationMessage]
    ) -> None:
        if self.configuration.hears_relay:
            schedule.record_relay_seen()
        if schedule.is_due():
            try:
                self.configuration.post(read())
                schedule.record_success()
            except (PlatformError, TicketLogError, PlanMalformed):
                schedule.record_failure()
        self.stopping.wait(STEP_SECONDS / 2)

    def _read_tickets(self) -> ConfigurationMessage:
        head = self.tickets.read_head()
        known = self.configuration.replica.number
        if head.ticket is not None and head.number == known + 1:
            return TicketsRead((head.ticket,))
        if head.number <= known:
            return TicketsRead(())
        if head.number - known <= MAX_TICKETS_PER_READ:
            history = self.tickets.list_history(known + 1, MAX_TICKETS_PER_READ)
            return TicketsRead(tuple(history))
        state = self.tickets.load_state()
        return SnapshotRead(state.number, encode_state(state))

    def _read_plan(self) -> ConfigurationMessage:
        entry = self.platform.get(self.plan_key)
        return TicketsRead(()) if entry is None else PlanRead(entry.value)

    def _read_vm_lists(self) -> None:
        while not self.stopping.wait(VM_LIST_SECONDS):
            if not self.held:
                continue
            try:
                rows = self.platform.list_vms()
            except PlatformError as error:
                self._log_failure("vm list", error)
                continue
            self.configuration.post(VmListRead(tuple(rows)))

    def _log_failure(self, what: str, error: Exception) -> None:
        log_event(
            logger, logging.INFO, "platform_read_failed", key=what, reason=str(error)
        )
