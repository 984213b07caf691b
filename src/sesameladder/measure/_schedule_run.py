"""A seeded schedule of requests and faults on the at-most-once path of one zone."""

import random
from dataclasses import dataclass

from sesameladder.idempotency import PeerIdentity
from sesameladder.measure._schedule_caller import Caller, Findings, GuaranteeChecker
from sesameladder.measure._schedule_network import (
    FaultRates,
    Network,
    Schedule,
    ScheduleStore,
)
from sesameladder.measure._schedule_process import (
    WRITES_PER_SECOND,
    Process,
    Upstream,
    Variant,
)

SETTLE_SECONDS = 80.0
MAX_OUTAGE_SECONDS = 4.0
SHUTDOWN_WAIT_SECONDS = 2.0
NO_FAULTS = FaultRates(
    message_loss=0.0, duplication=0.0, long_delay=0.0, store_failure=0.0, refusal=0.0
)


@dataclass(frozen=True, slots=True)
class ScheduleOptions:
    """Requests, faults and size of a schedule."""

    callers: int = 6
    """Number of callers; each has one logical request."""

    duration_s: float = 12.0
    """Time in seconds within which requests and faults start."""

    process_faults: int = 8
    """Number of crashes, pauses, shutdowns and store outages."""

    has_call_faults: bool = True
    """Whether messages and store calls fail, at randomly chosen rates."""

    uses_keys: bool | None = None
    """Whether callers choose their keys; None chooses at random for each caller."""

    instances: int | None = None
    """Number of entry instances; None chooses 1 to 4 at random."""


class Zone:
    """The entry instances of one zone with their store and fault injection."""

    def __init__(self, seed: int, variant: Variant, options: ScheduleOptions) -> None:
        source = random.Random(seed)
        rates = _draw_rates(source) if options.has_call_faults else NO_FAULTS
        self.options = options
        self.schedule = Schedule(source, rates)
        self.variant = variant
        self.checker = GuaranteeChecker()
        self.network: Network[Process] = Network(self.schedule)
        self.store = ScheduleStore.from_schedule(self.schedule)
        self.upstream = Upstream(self.checker.record_run)
        self.incarnations = 0
        for number in range(options.instances or source.choice((1, 2, 3, 3, 3, 4))):
            self.start_process(f"entry-{number}")

    def start_process(self, instance: str) -> None:
        """Start a process with empty tables under an instance id."""
        self.incarnations += 1
        identity = PeerIdentity(instance, self.incarnations)
        binder = self.variant.binder(self.store, WRITES_PER_SECOND)
        self.network.processes[instance] = (
            identity,
            Process(identity, self.network, binder, self.variant, self.upstream),
        )

    def run(self) -> Findings:
        """Run all callers and faults to the end and return the findings."""
        callers = [
            Caller(
                number,
                self.schedule,
                self.checker,
                self.network.processes,
                self.options.uses_keys,
            )
            for number in range(self.options.callers)
        ]
        for caller in callers:
            self.schedule.call_later(self._draw_time(), None, caller.step)
        for _ in range(self.options.process_faults):
            self.schedule.call_later(
                self._draw_time(), None, self._inject_process_fault
            )
        self.schedule.run(self.options.duration_s + SETTLE_SECONDS)
        findings = self.checker.findings
        findings.unanswered = sum(caller.count_unanswered() for caller in callers)
        return findings

    def _draw_time(self) -> float:
        return self.schedule.random.uniform(0.0, self.options.duration_s)

    def _inject_process_fault(self) -> None:
        instance = self.schedule.random.choice(sorted(self.network.processes))
        identity, process = self.network.processes[instance]
        kind = self.schedule.random.choice(
            ("crash", "crash", "pause", "pause", "handover", "store")
        )
        self.checker.findings.count_fault(kind)
        if kind == "store":
            self._take_store_down()
        elif not process.alive:
            return
        elif kind == "crash":
            self._replace_process(identity, process)
        elif kind == "pause":
            process.paused_until = self.schedule.now + self._draw_outage()
        else:
            self._shut_down(identity, process)

    def _draw_outage(self) -> float:
        return self.schedule.random.uniform(0.1, MAX_OUTAGE_SECONDS)

    def _take_store_down(self) -> None:
        self.store.available = False

        def restore() -> None:
            self.store.available = True

        self.schedule.call_later(self._draw_outage(), None, restore)

    def _replace_process(self, identity: PeerIdentity, process: Process) -> None:
        """End a process; later a new one with empty tables starts in its place."""
        if not process.alive:
            return
        process.alive = False
        self.schedule.call_later(
            self._draw_outage(), None, lambda: self.start_process(identity.instance)
        )

    def _shut_down(self, identity: PeerIdentity, process: Process) -> None:
        """Hand the home table to one peer, or to two as after a lost response."""
        others = [
            other
            for name, (_, other) in sorted(self.network.processes.items())
            if other.alive and name != identity.instance
        ]
        count = min(len(others), self.schedule.random.choice((1, 1, 2)))
        peers = self.schedule.random.sample(others, count)
        wait = self.schedule.random.uniform(0.0, SHUTDOWN_WAIT_SECONDS)
        self.schedule.call_later(
            wait,
            process,
            lambda: process.hand_over(
                peers, lambda: self._replace_process(identity, process)
            ),
        )


def _draw_rates(source: random.Random) -> FaultRates:
    intensity = source.choice((0.0, 0.02, 0.1, 0.2))
    return FaultRates(
        message_loss=intensity,
        duplication=intensity,
        long_delay=2 * intensity,
        store_failure=intensity,
        refusal=source.choice((0.0, 0.1, 0.3)),
    )


def run_schedule(
    seed: int, variant: Variant | None = None, options: ScheduleOptions | None = None
) -> Findings:
    """Run a schedule; equal arguments give equal findings."""
    return Zone(seed, variant or Variant(), options or ScheduleOptions()).run()
