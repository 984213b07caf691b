"""Holds the fleet role: takes VMs through upkeep."""

import json
from collections.abc import Callable
from threading import Event, Thread

from sesameladder.fleet import (
    EndedIncarnation,
    IncarnationTracker,
    LendingPlan,
    LendingPlanner,
    MaintenancePlan,
    MaintenancePlanner,
    PoolOrders,
    PoolSummary,
    Vm,
    Wave,
)
from sesameladder.jobs import Configuration
from sesameladder.node._clock import read_steady
from sesameladder.node._dependency import DependencyState
from sesameladder.node._keys import (
    BASE_KEY,
    SUMMARY_PREFIX,
    UPKEEP_PREFIX,
    orders_key,
    role_key,
    upkeep_key,
)
from sesameladder.node._records import (
    decode_names,
    decode_summary,
    encode_names,
    encode_orders,
)
from sesameladder.node._roles import HeldRole
from sesameladder.node._telemetry import logger, note, warn
from sesameladder.platform import (
    WAVE_STATUS_PREFIX,
    WORKER_PREFIX,
    Conflict,
    OrderOutcome,
    PlatformCallError,
    Put,
    RecordInvalid,
    StoreClient,
    VmClient,
    decode_worker,
    encode_wave_status,
)

STEP_S = 0.2  # a turn of demand builds up over 3 s; a VM is away for 1.5 to 2 s
LIVES_INTERVAL_S = 1.0  # a worker enters the list within a second of its start
ENDED_NOTICE_S = 10.0  # owners read a new order within a second


class FleetTask:
    """One thread that orders upkeep while this process holds the fleet role."""

    __slots__ = (
        "dependency",
        "done",
        "ended",
        "get_configuration",
        "is_sure",
        "lending",
        "list_waves",
        "lives",
        "lives_read_at",
        "machines",
        "node",
        "order_revisions",
        "orders",
        "planner",
        "quiet_until",
        "role",
        "running",
        "stopping",
        "store",
        "thread",
        "vms",
    )

    def __init__(
        self,
        role: HeldRole,
        node: str,
        store: StoreClient,
        machines: VmClient,
        order_gap_s: float,
        list_waves: Callable[[], list[Wave]],
        get_configuration: Callable[[], Configuration | None],
        is_sure: Callable[[], bool],
    ) -> None:
        self.role = role
        self.node = node
        self.store = store
        self.machines = machines
        self.list_waves = list_waves
        self.get_configuration = get_configuration
        self.is_sure = is_sure
        self.planner = MaintenancePlanner()
        self.lending = LendingPlanner()
        self.vms: dict[str, Vm] = {}
        self.done: set[int] = set()
        self.running: set[int] = set()
        self.orders: dict[str, PoolOrders] = {}
        """What each pool's owner was told last."""

        self.order_revisions: dict[str, int] = {}
        """Revision of the store at which each pool's owner was told."""

        self.lives = IncarnationTracker()
        self.lives_read_at = 0.0
        self.ended: dict[EndedIncarnation, tuple[str, float]] = {}
        """Pool and time of the notice, by life that has ended."""

        # An earlier holder's last order has to be this old before the first one.
        self.quiet_until = read_steady() + (order_gap_s if role.term > 1 else 0.0)
        self.dependency = DependencyState("machines")
        self.stopping = Event()
        self.thread = Thread(target=self._run, name="fleet", daemon=True)

    def start(self) -> None:
        """Start ordering."""
        self.thread.start()

    def stop(self) -> None:
        """Order nothing more; returns after an order under way."""
        self.stopping.set()

    def _run(self) -> None:
        self._load_done()
        while not self.stopping.is_set():
            waves = [w for w in self.list_waves() if w.number not in self.done]
            try:
                self._step(waves)
                self.dependency.note_success()
            except PlatformCallError as error:
                self.dependency.note_failure(error)
            except Exception:
                extra = {"event": "fleet_step_failed"}
                logger.exception("fleet step failed", extra=extra)
            self.stopping.wait(STEP_S)

    def _load_done(self) -> None:
        """Read which waves earlier holders have ended."""
        while not self.stopping.is_set():
            try:
                for item in self.store.read_range(WAVE_STATUS_PREFIX).items:
                    number = item.key.removeprefix(WAVE_STATUS_PREFIX)
                    if item.value == encode_wave_status(done=True):
                        self.done.add(int(number))
                    else:
                        self.running.add(int(number))
                base = self.store.read(BASE_KEY)
                if base is not None:
                    self.lending = LendingPlanner(json.loads(base.value))
                now = read_steady()
                for item in self.store.read_range(UPKEEP_PREFIX).items:
                    number = item.key.removeprefix(UPKEEP_PREFIX)
                    for vm in decode_names(item.value):
                        self.planner.record_maintenance_start(int(number), vm, now)
                return
            except PlatformCallError as error:
                self.dependency.note_failure(error)
                self.stopping.wait(STEP_S)

    def _step(self, waves: list[Wave]) -> None:
        configuration = self.get_configuration()
        if configuration is None:
            return
        known, self.vms = self.vms, {vm.name: vm for vm in self.machines.list_vms()}
        self._note_changes(known)
        self._follow_lives()
        spare = frozenset(
            pool.name for pool in configuration.pools.values() if pool.is_spare
        )
        summaries = self._read_summaries()
        drained, stoppable = self._list_emptied(summaries)
        now = read_steady()
        plan = self.planner.plan(waves, self.vms, drained, stoppable, spare, now)
        lending = self._plan_lending(plan, summaries, drained, spare, now)
        for name, wave in plan.maintenance_starts:
            self._begin(name, wave)
        for name, pool in lending.moves:
            self._move(name, pool)
        self._write_orders(plan)
        self._write_status(waves, plan)

    def _note_changes(self, known: dict[str, Vm]) -> None:
        """Log each VM whose pool, phase or worker has changed."""
        for name in {*known, *self.vms}:
            before, vm = known.get(name), self.vms.get(name)
            if before is not None and vm is None:
                note("vm_gone", vm=name, pool=before.pool, worker=before.worker)
            elif before is not None and vm is not None and before != vm:
                note(
                    "vm_changed",
                    vm=name,
                    pool=vm.pool,
                    phase=vm.phase.value,
                    before=before.phase.value,
                    worker=vm.worker,
                )

    def _follow_lives(self) -> None:
        """Note the lives that have ended, and learn when new ones began."""
        now = read_steady()
        for pool, life in self.lives.observe(self.vms):
            self.ended[life] = pool, now
        is_due = now - self.lives_read_at >= LIVES_INTERVAL_S
        if is_due and self.lives.list_workers_without_start():
            self.lives_read_at = now
            for item in self.store.read_range(WORKER_PREFIX).items:
                self._learn_life(item.key.removeprefix(WORKER_PREFIX), item.value)

    def _learn_life(self, worker: str, value: bytes) -> None:
        try:
            self.lives.record_start(worker, decode_worker(worker, value).born_ms)
        except RecordInvalid as error:
            warn("worker_record_refused", worker=worker, error=str(error))

    def _read_summaries(self) -> dict[str, PoolSummary]:
        summaries = {}
        for item in self.store.read_range(SUMMARY_PREFIX).items:
            try:
                summary = decode_summary(item.value)
            except RecordInvalid as error:
                warn("summary_refused", key=item.key, error=str(error))
                continue
            summaries[item.key.removeprefix(SUMMARY_PREFIX)] = summary
        return summaries

    def _list_emptied(
        self, summaries: dict[str, PoolSummary]
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Return the workers that run nothing, and those that run nothing lasting."""
        drained: set[str] = set()
        stoppable: set[str] = set()
        for pool, summary in summaries.items():
            # An older summary may speak of a worker that has been filled since.
            if summary.orders_revision >= self.order_revisions.get(pool, 1 << 62):
                drained.update(summary.drained)
                stoppable.update(summary.stoppable)
        return frozenset(drained), frozenset(stoppable)

    def _plan_lending(
        self,
        plan: MaintenancePlan,
        summaries: dict[str, PoolSummary],
        drained: frozenset[str],
        spare: frozenset[str],
        now: float,
    ) -> LendingPlan:
        """Plan moves beside upkeep, and add their workers to those to empty."""
        if self.lending.record_base_sizes(self.vms, spare):
            self._store_base()
        emptied = {name for names in plan.workers_to_drain.values() for name in names}
        reserved = {name for name, vm in self.vms.items() if vm.worker in emptied}
        reserved.update(name for name, _ in plan.maintenance_starts)
        lending = self.lending.plan(
            self.vms, summaries, spare, frozenset(reserved), drained, now
        )
        for pool, names in lending.workers_to_drain.items():
            plan.workers_to_drain[pool] = (*plan.workers_to_drain.get(pool, ()), *names)
        return lending

    def _store_base(self) -> None:
        """Store the sizes that pools go back to, for later holders."""
        value = json.dumps(self.lending.base_sizes).encode()
        self._commit((Put(BASE_KEY, value),))

    def _move(self, name: str, pool: str) -> None:
        now = read_steady()
        if now < self.quiet_until or not self.is_sure() or self.stopping.is_set():
            return
        vm = self.vms[name]
        if vm.worker:
            self._note_born(vm.worker)
        self.lending.record_move(name, now)
        outcome = self.machines.move(name, pool, self.node, self.role.fence)
        note(
            "move_ordered",
            vm=name,
            origin=vm.pool,
            pool=pool,
            expected_cores=self.lending.forecast_cores(),
            outcome=outcome.value,
        )

    def _write_orders(self, plan: MaintenancePlan) -> None:
        """Tell pool owners which workers to empty and which have ended."""
        now = read_steady()
        for life, (_, at) in list(self.ended.items()):
            if now - at > ENDED_NOTICE_S:
                del self.ended[life]
        wanted = {}
        for pool in {
            *plan.workers_to_drain,
            *self.orders,
            *(p for p, _ in self.ended.values()),
        }:
            ended = tuple(life for life, (p, _) in self.ended.items() if p == pool)
            names = {life.worker for life in ended}
            emptying = tuple(
                w for w in plan.workers_to_drain.get(pool, ()) if w not in names
            )
            wanted[pool] = PoolOrders(emptying, ended)
        changed = [p for p in sorted(wanted) if wanted[p] != self.orders.get(p)]
        if not changed:
            return
        puts = tuple(Put(orders_key(p), encode_orders(wanted[p])) for p in changed)
        revision = self._commit((*puts, *self._put_begun()))
        if revision is not None:
            self.orders = wanted
            for pool in changed:
                self.order_revisions[pool] = revision
                told = wanted[pool]
                ended_names = [life.worker for life in told.ended]
                note(
                    "pool_ordered",
                    pool=pool,
                    emptying=told.emptying,
                    ended=ended_names,
                )

    def _put_begun(self) -> list[Put]:
        """Store which VMs have begun their upkeep, for the next holder."""
        return [
            Put(upkeep_key(number), encode_names(tuple(progress.started_at)))
            for number, progress in self.planner.progress.items()
            if progress.started_at and number not in self.done
        ]

    def _begin(self, name: str, wave: int) -> None:
        now = read_steady()
        if now < self.quiet_until or not self.is_sure():
            return
        if self.stopping.is_set():
            return
        vm = self.vms[name]
        if vm.worker:
            self._note_born(vm.worker)
        outcome = self.machines.start_maintenance(
            name, wave, self.node, self.role.fence
        )
        note("upkeep_ordered", vm=name, wave=wave, pool=vm.pool, outcome=outcome.value)
        if outcome is OrderOutcome.DONE:
            self.planner.record_maintenance_start(wave, name, now)

    def _note_born(self, worker: str) -> None:
        """Read which life of a worker an order is about to end."""
        item = self.store.read(f"{WORKER_PREFIX}{worker}")
        if item is not None:
            self._learn_life(worker, item.value)

    def _write_status(self, waves: list[Wave], plan: MaintenancePlan) -> None:
        for wave in waves:
            is_done = wave.number in plan.finished_waves
            if not is_done and wave.number in self.running:
                continue
            key = f"{WAVE_STATUS_PREFIX}{wave.number}"
            if self._commit((Put(key, encode_wave_status(is_done)),)) is None:
                return
            self.running.add(wave.number)
            if is_done:
                self.done.add(wave.number)
                note("wave_done", wave=wave.number)

    def _commit(self, puts: tuple[Put, ...]) -> int | None:
        """Write as the holder of the role; None when it is held by another."""
        precondition = ((role_key(self.role.role), self.role.fence),)
        outcome = self.store.commit(puts, (), precondition)
        if isinstance(outcome, Conflict):
            warn("fleet_write_refused", fence=self.role.fence)
            return None
        return outcome.revision
