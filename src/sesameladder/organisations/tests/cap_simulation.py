"""Several processes that own pools, over a store that loses and delays calls."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from sesameladder.organisations import (
    NOTHING,
    Amounts,
    CapLedger,
    CapRecord,
    RecordWrite,
    add,
    exceeds_cap,
)

TICK_S = 0.02
WATCH_S = 0.1
UNREAD_WAIT_S = 7.5
CONFIRMATION_S = 3.0  # an owner starts nothing once its role is unconfirmed so long
IN_FORCE_S = 3.0


@dataclass(slots=True)
class Run:
    """A run that is present in a pool until ``ends_at``."""

    organisation: str
    needs: Amounts
    fence: int
    ends_at: float


@dataclass(slots=True)
class Faults:
    """Probabilities of what happens to a call, and the longest delays in seconds."""

    lost_answer: float = 0.0
    lost_call: float = 0.0
    late_call: float = 0.0
    latest_s: float = 4.0
    view_delay_s: float = 0.0


@dataclass(slots=True)
class Store:
    """Records and role holders, with revisions."""

    records: dict[str, CapRecord] = field(default_factory=dict)
    fences: dict[str, int] = field(default_factory=dict)
    revision: int = 0
    writes: int = 0

    def commit(self, write: RecordWrite) -> int | None:
        """Execute a write; returns its revision, or None if it is refused."""
        known = self.records.get(write.organisation, CapRecord())
        if known.revision != write.revision:
            return None
        if self.fences.get(write.pool) != write.fence:
            return None
        if write.ownerless_pool and self.fences.get(write.ownerless_pool):
            return None
        self.revision += 1
        self.writes += 1
        if write.removes_record:
            del self.records[write.organisation]
        else:
            record = CapRecord(write.rows, self.revision)
            self.records[write.organisation] = record
        return self.revision


@dataclass(slots=True)
class Pool:
    """What runs in a pool, and the subtasks that its jobs would start now."""

    runs: list[Run] = field(default_factory=list)
    demand: dict[str, list[Amounts]] = field(default_factory=dict)
    capacity_millis: int = 1_000_000
    settled_fence: int = 0
    """Fence of the latest owner that has read all workers; they refuse older ones."""


class Process:
    """A process with its ledger and the pools that it believes to own."""

    def __init__(self, name: str, world: "World") -> None:
        self.name = name
        self.world = world
        self.events: list[tuple[str, dict[str, object]]] = []
        self.ledger = CapLedger(lambda event, **fields: self.log(event, fields))
        self.owned: dict[str, tuple[int, float]] = {}
        """Fence and time of the take-over by pool."""

        self.cut_until = 0.0
        self.paused_until = 0.0
        self.confirmed_at = 0.0
        self.next_watch_at = 0.0
        self.call_until = 0.0

    def log(self, event: str, fields: dict[str, object]) -> None:
        """Keep a log line."""
        self.events.append((event, fields))

    def step(self, now: float) -> None:
        """Run what the threads of the process do in one tick."""
        if now < self.paused_until:
            return
        if now >= self.cut_until and now >= self.next_watch_at:
            self.confirmed_at = now
            self.next_watch_at = now + WATCH_S
            delay_s = self.world.random.uniform(0, self.world.faults.view_delay_s)
            snapshot = dict(self.world.store.records)
            revision, caps = self.world.store.revision, dict(self.world.caps)
            self.world.call_later(
                delay_s, lambda: self.apply_view(snapshot, revision, caps, now)
            )
        for pool in list(self.owned):
            if self.world.store.fences.get(pool) != self.owned[pool][0] and (
                now - self.confirmed_at > CONFIRMATION_S or now >= self.cut_until
            ):
                self.ledger.remove_pool(pool, self.owned.pop(pool)[0])
                continue
            if now - self.confirmed_at <= CONFIRMATION_S:
                self.run_pass(pool, now)
        self.write(now)

    def apply_view(
        self,
        records: dict[str, CapRecord],
        revision: int,
        caps: dict[str, Amounts],
        sent_at: float,
    ) -> None:
        """Apply a read of the records and the configuration."""
        now = self.world.now
        self.ledger.set_caps(caps, sent_at, now)
        for name, record in records.items():
            self.ledger.apply_record(name, record)
        for name in self.ledger.records.keys() - records.keys():
            self.ledger.apply_removal(name, revision, now)
        self.ledger.confirm_records(sent_at)

    def run_pass(self, name: str, now: float) -> None:
        """Start what the caps allow of a pool's demand."""
        pool, (fence, taken_at) = self.world.pools[name], self.owned[name]
        is_settled = pool.settled_fence == fence
        if not is_settled and now - taken_at >= UNREAD_WAIT_S:
            pool.settled_fence, is_settled = max(pool.settled_fence, fence), True
        present: dict[str, Amounts] = {}
        own: dict[str, Amounts] = {}
        for run in pool.runs:
            if is_settled or run.fence == fence:
                key = run.organisation
                present[key] = add(present.get(key, NOTHING), run.needs)
                if run.fence == fence:
                    own[key] = add(own.get(key, NOTHING), run.needs)
        used = sum(run.needs.cpu_millis for run in pool.runs)
        free = pool.capacity_millis - used
        result = self.ledger.begin_pass(
            name, fence, pool.demand, present, own, is_settled, free, now
        )
        for organisation, waiting in pool.demand.items():
            while waiting:
                needs = waiting[0]
                if needs.cpu_millis > free:
                    break
                if not result.may_start(organisation, needs):
                    for refused in waiting:
                        result.record_refusal(organisation, refused, 1)
                    break
                result.record_start(organisation, needs)
                waiting.pop(0)
                free -= needs.cpu_millis
                self.world.start(name, organisation, needs, fence)
        self.ledger.end_pass(name, fence, result, now)

    def write(self, now: float) -> None:
        """Send the next write, with one call under way at a time."""
        for _ in range(4):
            if now < self.call_until:
                return
            write = self.ledger.plan(now)
            if write is None:
                return
            self.ledger.record_sent(write, now)
            self.send(write, now)

    def send(self, write: RecordWrite, now: float) -> None:
        """Send a write, which may be lost or executed late."""
        world = self.world
        faults, random = world.faults, world.random
        fate = random.random()
        if now < self.cut_until or fate < faults.lost_call:
            self.call_until = now + 0.6
            return
        fate -= faults.lost_call
        if fate < faults.late_call:
            self.call_until = now + 0.6
            delay_s = random.uniform(0, faults.latest_s)
            world.call_later(delay_s, lambda: world.store.commit(write))
            return
        fate -= faults.late_call
        revision = world.store.commit(write)
        if fate < faults.lost_answer:
            self.call_until = now + 0.6
        elif revision is not None:
            self.ledger.record_stored(write, revision, now)
        else:
            self.ledger.record_refused(write)
            known = world.store.records.get(write.organisation)
            if known is not None:
                self.ledger.apply_record(write.organisation, known)
            self.call_until = now + 0.02


class World:
    """Processes, pools and the store, with a clock of their own."""

    def __init__(
        self, seed: int, processes: int, pools: list[str], caps: dict[str, Amounts]
    ) -> None:
        self.random = Random(seed)
        self.now = 100.0
        self.store = Store()
        self.faults = Faults()
        self.caps = caps
        self.earlier_caps: list[tuple[float, dict[str, Amounts]]] = []
        self.pools = {name: Pool() for name in pools}
        self.later: list[tuple[float, int, Callable[[], object]]] = []
        self.numbers = count()
        self.run_s: tuple[float, float] = (0.5, 1.0)
        self.violations: list[str] = []
        self.largest: dict[str, int] = {}
        self.processes = [Process(f"n{i}", self) for i in range(processes)]
        for process in self.processes:
            process.ledger.set_caps(caps, self.now, self.now)
        for number, name in enumerate(pools):
            self.give(name, self.processes[number % processes])

    def give(self, pool: str, process: Process) -> None:
        """Make a process the owner of a pool; the earlier one is not told."""
        self.store.revision += 1
        self.store.fences[pool] = self.store.revision
        process.owned[pool] = self.store.revision, self.now
        process.ledger.add_pool(pool, self.store.revision, self.now)

    def set_caps(self, caps: dict[str, Amounts]) -> None:
        """Store a configuration."""
        self.earlier_caps.append((self.now, self.caps))
        self.caps = caps

    def call_later(self, delay_s: float, call: Callable[[], object]) -> None:
        """Call something after a delay in seconds."""
        self.later.append((self.now + delay_s, next(self.numbers), call))

    def start(self, pool: str, organisation: str, needs: Amounts, fence: int) -> None:
        """Start a run unless the workers refuse the owner, and check the bound."""
        if fence < self.pools[pool].settled_fence:
            return
        ends_at = self.now + self.random.uniform(*self.run_s)
        self.pools[pool].runs.append(Run(organisation, needs, fence, ends_at))
        largest = max(self.largest.get(organisation, 0), needs.cpu_millis)
        self.largest[organisation] = largest
        in_force = [self.caps.get(organisation, NOTHING)]
        for until, caps in self.earlier_caps:
            if self.now - until <= IN_FORCE_S:
                in_force.append(caps.get(organisation, NOTHING))
        if any(cap.cpu_millis == 0 for cap in in_force):
            return
        cap_millis = max(cap.cpu_millis for cap in in_force)
        total = self.count(organisation)
        if total > cap_millis + largest:
            self.violations.append(
                f"{self.now:.2f} {organisation} {total} of {cap_millis} in {pool}"
            )

    def count(self, organisation: str, pool: str = "") -> int:
        """Return the millicores that an organisation uses, in a pool or in all."""
        return sum(
            run.needs.cpu_millis
            for name, row in self.pools.items()
            for run in row.runs
            if run.organisation == organisation and pool in ("", name)
        )

    def run(self, seconds: float, on_tick: Callable[[], object] | None = None) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            due = sorted(row for row in self.later if row[0] <= self.now)
            self.later = [row for row in self.later if row[0] > self.now]
            for _, _, call in due:
                call()
            for pool in self.pools.values():
                pool.runs = [run for run in pool.runs if run.ends_at > self.now]
            if on_tick is not None:
                on_tick()
            for process in self.random.sample(self.processes, len(self.processes)):
                process.step(self.now)

    def ask(self, pool: str, organisation: str, needs: Amounts, amount: int) -> None:
        """Keep ``amount`` subtasks of an organisation waiting in a pool."""
        waiting = self.pools[pool].demand.setdefault(organisation, [])
        waiting.extend([needs] * (amount - len(waiting)))

    def is_consistent(self) -> bool:
        """Return whether no record grants more than its cap to several pools."""
        for name, record in self.store.records.items():
            cap = self.caps.get(name, NOTHING)
            rows = [row.granted for row in record.rows.values()]
            rows = [amounts for amounts in rows if amounts != NOTHING]
            total = NOTHING
            for amounts in rows:
                total = add(total, amounts)
            if len(rows) > 1 and exceeds_cap(total, cap):
                return False
        return True
