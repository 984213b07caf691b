"""Performs the fleet role: orders maintenance and moves of VMs."""

import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from functools import partial
from threading import Event
from types import MappingProxyType

from sesameladder.fleet import (
    EndedIncarnation,
    IncarnationTracker,
    LendingPlan,
    LendingPlanner,
    MaintenancePlan,
    MaintenancePlanner,
    OrderedVm,
    OrderGap,
    PoolOrders,
    PoolSummary,
    Vm,
    Wave,
)
from sesameladder.jobs import Configuration
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._dependency import DependencyState
from sesameladder.node._keys import (
    BASE_SIZES_KEY,
    FLEET_SEQUENCE_KEY,
    MAINTENANCE_PREFIX,
    ORDERED_VMS_KEY,
    SUMMARY_PREFIX,
    maintenance_key,
    orders_key,
    role_key,
)
from sesameladder.node._records import (
    decode_names,
    decode_ordered_vms,
    decode_orders,
    decode_summary,
    encode_names,
    encode_ordered_vms,
    encode_orders,
)
from sesameladder.node._refusals import RefusalLog
from sesameladder.node._roles import HeldRole
from sesameladder.node._supervision import build_thread
from sesameladder.node._telemetry import log_event, log_failure, log_warning
from sesameladder.platform import (
    MAX_TRANSACTION_ENTRIES,
    WAVE_STATUS_PREFIX,
    WORKER_PREFIX,
    CallNotSent,
    CallRejected,
    Conflict,
    OrderOutcome,
    PlatformCallError,
    Put,
    RecordInvalid,
    StoreClient,
    StoredItem,
    VmClient,
    decode_worker,
    encode_wave_status,
)

PLAN_INTERVAL_S = 0.2  # a demand peak builds up over 3 s; a VM is away for 1.5 to 2 s
START_READ_INTERVAL_S = 1.0  # a worker is listed within a second of its start
MAX_PARALLEL_ORDERS = 4  # as many as the clients keep connections
ENDED_NOTICE_RETENTION_S = 10.0  # owners read new orders within a second
MAX_PUTS = MAX_TRANSACTION_ENTRIES - 3  # the role's key and the sequence key, twice


class FleetTask:
    """Thread that orders maintenance and moves while this process has the role."""

    __slots__ = (
        "are_base_sizes_stored",
        "dependency",
        "ended_incarnations",
        "finished_waves",
        "get_configuration",
        "incarnations",
        "is_exclusive_holder",
        "lending_planner",
        "list_waves",
        "maintenance_planner",
        "node",
        "order_gap",
        "order_revisions",
        "ordered_vms",
        "role",
        "sequence_revision",
        "started_waves",
        "starts_read_at",
        "stopping",
        "store",
        "stored_orders",
        "thread",
        "unreadable_vms",
        "vm_client",
        "vm_refusals",
        "vms",
        "worker_refusals",
    )

    def __init__(
        self,
        role: HeldRole,
        node: str,
        store: StoreClient,
        vm_client: VmClient,
        order_gap_s: float,
        list_waves: Callable[[], list[Wave]],
        get_configuration: Callable[[], Configuration | None],
        is_exclusive_holder: Callable[[], bool],
    ) -> None:
        self.role = role
        self.node = node
        self.store = store
        self.vm_client = vm_client
        self.list_waves = list_waves
        self.get_configuration = get_configuration
        self.is_exclusive_holder = is_exclusive_holder
        self.maintenance_planner = MaintenancePlanner()
        self.lending_planner = LendingPlanner()
        self.are_base_sizes_stored = False
        self.vms: dict[str, Vm] = {}
        self.unreadable_vms: frozenset[str] = frozenset()
        """Names of the VMs whose row could not be read at the latest reading."""

        self.vm_refusals = RefusalLog("vm_row_refused")
        self.worker_refusals = RefusalLog("worker_record_refused")
        self.finished_waves: set[int] = set()
        self.started_waves: set[int] = set()
        self.stored_orders: dict[str, PoolOrders | None] = {}
        """Orders last stored for a pool's owner, by pool; None if not known.

        They are unknown after a write without a response, until the next one.
        """

        self.order_revisions: dict[str, int] = {}
        """Store revision at which a pool's orders were last stored, by pool."""

        self.ordered_vms: dict[str, OrderedVm] = {}
        """VMs in the record of orders, by name."""

        self.sequence_revision = 0
        self.incarnations = IncarnationTracker()
        self.starts_read_at = 0.0
        self.ended_incarnations: dict[EndedIncarnation, tuple[str, float]] = {}
        """Pool and steady time of detection, by incarnation that has ended."""

        self.order_gap = OrderGap(role.term, order_gap_s, read_steady_clock())
        self.dependency = DependencyState("machines")
        self.stopping = Event()
        self.thread = build_thread("fleet", self._run, self.stopping)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Ask the thread to end; an order under way is completed."""
        self.stopping.set()

    def _run(self) -> None:
        self._load_state()
        while not self.stopping.is_set():
            waves = [
                w for w in self.list_waves() if w.number not in self.finished_waves
            ]
            try:
                self._step(waves)
                self.dependency.record_success()
                self.role.record_pass()
            except PlatformCallError as error:
                self.dependency.record_failure(error)
                self.role.record_pass()
            except Exception:
                log_failure("fleet_step_failed")
            self.stopping.wait(PLAN_INTERVAL_S)

    def _load_state(self) -> None:
        """Read what earlier holders stored; retries until the store responds."""
        while not self.stopping.is_set():
            try:
                items = [
                    *self.store.read_range(WAVE_STATUS_PREFIX).items,
                    *self.store.read_range(MAINTENANCE_PREFIX).items,
                ]
                single_items = [
                    self.store.read(key) for key in (BASE_SIZES_KEY, ORDERED_VMS_KEY)
                ]
                break
            except PlatformCallError as error:
                self.dependency.record_failure(error)
                self.role.record_pass()
                self.stopping.wait(PLAN_INTERVAL_S)
        else:
            return
        for item in [*items, *filter(None, single_items)]:
            try:
                self._apply_record(item)
            except Exception:
                log_failure("fleet_record_failed", key=item.key)

    def _apply_record(self, item: StoredItem) -> None:
        if item.key == BASE_SIZES_KEY:
            sizes = json.loads(item.value)
            self.lending_planner = LendingPlanner(
                {str(pool): int(size) for pool, size in sizes.items()}
            )
            self.are_base_sizes_stored = True
        elif item.key == ORDERED_VMS_KEY:
            term, ordered_vms = decode_ordered_vms(item.value)
            self.order_gap.apply_earlier_record(term, (vm.name for vm in ordered_vms))
            for vm in ordered_vms:
                self.ordered_vms[vm.name] = vm
                self.incarnations.restore(vm)
                if vm.wave is not None and vm.wave not in self.finished_waves:
                    self.maintenance_planner.record_uncertain_start(
                        vm.wave, vm.name, read_steady_clock()
                    )
        elif item.key.startswith(MAINTENANCE_PREFIX):
            wave = int(item.key.removeprefix(MAINTENANCE_PREFIX))
            now = read_steady_clock()
            for name in decode_names(item.value):
                self.maintenance_planner.record_maintenance_start(wave, name, now)
        else:
            wave = int(item.key.removeprefix(WAVE_STATUS_PREFIX))
            is_done = item.value == encode_wave_status(done=True)
            (self.finished_waves if is_done else self.started_waves).add(wave)

    def _step(self, waves: list[Wave]) -> None:
        configuration = self.get_configuration()
        if configuration is None:
            return
        previous_vms, self.vms = self.vms, self._read_vms()
        self._log_vm_changes(previous_vms)
        self._track_incarnations()
        self._read_earlier_orders(configuration.pools)
        spare_pools = frozenset(
            pool.name for pool in configuration.pools.values() if pool.is_spare
        )
        summaries = self._read_summaries()
        drained, stoppable = self._list_drained(summaries)
        now = read_steady_clock()
        plan = self.maintenance_planner.plan(
            waves,
            self.vms,
            drained,
            stoppable,
            spare_pools,
            now,
            self.lending_planner.count_idle_vms(self.vms),
        )
        lending_plan = self._plan_lending(plan, summaries, drained, spare_pools, now)
        self._send_orders(plan.maintenance_starts, lending_plan.moves)
        self._write_orders(plan)
        self._write_wave_status(waves, plan)

    def _read_vms(self) -> dict[str, Vm]:
        """Return the VMs by name.

        A VM whose row can't be read stays as it was last read. A row without a name
        may be that of any VM that is missing.
        """
        vm_list = self.vm_client.list_vms()
        vms = {vm.name: vm for vm in vm_list.vms}
        for name, vm in self.vms.items():
            if name not in vms and (vm_list.unnamed or name in vm_list.unreadable):
                vms[name] = vm
        for name, reason in vm_list.unreadable.items():
            self.vm_refusals.record(name, reason, vm=name)
        for reason in vm_list.unnamed:
            self.vm_refusals.record(reason, reason)
        self.unreadable_vms = frozenset(vm_list.unreadable)
        return vms

    def _log_vm_changes(self, previous_vms: dict[str, Vm]) -> None:
        """Log each VM that is no longer listed or whose entry has changed."""
        for name in {*previous_vms, *self.vms}:
            before, vm = previous_vms.get(name), self.vms.get(name)
            if before is not None and vm is None:
                log_event("vm_gone", vm=name, pool=before.pool, worker=before.worker)
            elif before is not None and vm is not None and before != vm:
                log_event(
                    "vm_changed",
                    vm=name,
                    pool=vm.pool,
                    phase=vm.phase.value,
                    before=before.phase.value,
                    worker=vm.worker,
                )

    def _track_incarnations(self) -> None:
        """Record ended incarnations, and read the start times of new ones."""
        now = read_steady_clock()
        for pool, incarnation in self.incarnations.observe(self.vms):
            self.ended_incarnations[incarnation] = pool, now
        is_due = now - self.starts_read_at >= START_READ_INTERVAL_S
        if is_due and self.incarnations.list_workers_without_start():
            self.starts_read_at = now
            for item in self.store.read_range(WORKER_PREFIX).items:
                self._record_incarnation_start(
                    item.key.removeprefix(WORKER_PREFIX), item.value
                )

    def _record_incarnation_start(self, worker: str, value: bytes) -> None:
        try:
            self.incarnations.record_start(worker, decode_worker(worker, value).born_ms)
        except RecordInvalid as error:
            self.worker_refusals.record(worker, str(error), worker=worker)

    def _read_earlier_orders(self, pools: Iterable[str]) -> None:
        """Read the orders that an earlier holder stored for pools not known yet.

        Its drains end unless they are planned anew. Its notices are kept, since the
        pool's owner may not have read them yet.
        """
        for pool in pools:
            if pool in self.stored_orders:
                continue
            item = self.store.read(orders_key(pool))
            if item is None:
                self.stored_orders[pool] = PoolOrders()
                continue
            try:
                orders = decode_orders(item.value)
            except RecordInvalid as error:
                log_warning("orders_refused", pool=pool, error=str(error))
                self.stored_orders[pool] = None
                continue
            self.stored_orders[pool] = orders
            self.order_revisions[pool] = item.revision
            now = read_steady_clock()
            for incarnation in orders.ended:
                self.ended_incarnations.setdefault(incarnation, (pool, now))

    def _read_summaries(self) -> dict[str, PoolSummary]:
        summaries = {}
        for item in self.store.read_range(SUMMARY_PREFIX).items:
            try:
                summary = decode_summary(item.value)
            except RecordInvalid as error:
                log_warning("summary_refused", key=item.key, error=str(error))
                continue
            summaries[item.key.removeprefix(SUMMARY_PREFIX)] = summary
        return summaries

    def _list_drained(
        self, summaries: dict[str, PoolSummary]
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Return the drained workers, and those without long-running subtasks."""
        drained: set[str] = set()
        stoppable: set[str] = set()
        for pool, summary in summaries.items():
            if self.stored_orders.get(pool) is None:
                continue
            # A worker in an older summary may have received work since.
            if summary.orders_revision >= self.order_revisions.get(pool, 1 << 62):
                drained.update(summary.drained)
                stoppable.update(summary.stoppable)
        return frozenset(drained), frozenset(stoppable)

    def _plan_lending(
        self,
        plan: MaintenancePlan,
        summaries: dict[str, PoolSummary],
        drained: frozenset[str],
        spare_pools: frozenset[str],
        now: float,
    ) -> LendingPlan:
        """Plan the lending of VMs, and add its drains to the maintenance plan."""
        self.lending_planner.record_base_sizes(self.vms, spare_pools)
        if self.lending_planner.base_sizes and not self.are_base_sizes_stored:
            self._store_base_sizes()
        workers_to_drain = {
            name for names in plan.workers_to_drain.values() for name in names
        }
        reserved = {
            name for name, vm in self.vms.items() if vm.worker in workers_to_drain
        }
        reserved.update(name for name, _ in plan.maintenance_starts)
        lending_plan = self.lending_planner.plan(
            self.vms, summaries, spare_pools, frozenset(reserved), drained, now
        )
        for pool, names in lending_plan.workers_to_drain.items():
            plan.workers_to_drain[pool] = (*plan.workers_to_drain.get(pool, ()), *names)
        return lending_plan

    def _store_base_sizes(self) -> None:
        """Store the base sizes of the pools for later holders of the role."""
        value = json.dumps(self.lending_planner.base_sizes).encode()
        revision = self._commit((Put(BASE_SIZES_KEY, value),))
        self.are_base_sizes_stored = revision is not None

    def _record_orders(
        self, names: list[str], waves: Mapping[str, int] = MappingProxyType({})
    ) -> bool:
        """Store which VMs are about to be ordered; return whether that succeeded.

        ``waves`` holds the wave of each VM whose order is for maintenance. The next
        holder of the role waits for these VMs only, tells the owners of pools which of
        their workers have ended, and counts the VMs in maintenance.
        """
        now = read_steady_clock()
        planned = [name for name in names if self.order_gap.may_order(name, now)]
        waves = {**self.maintenance_planner.list_unsettled_starts(), **waves}
        described = {name: self._describe_order(name, waves) for name in planned}
        if any(self.ordered_vms.get(name) != vm for name, vm in described.items()):
            self.order_gap.discard_record()
        uncertain = self.maintenance_planner.list_uncertain_vms()
        vms = self.order_gap.list_to_record([*planned, *uncertain], now)
        if vms is None:
            return True
        self.ordered_vms = {name: self._describe_order(name, waves) for name in vms}
        value = encode_ordered_vms(self.role.term, list(self.ordered_vms.values()))
        # A VM whose order leaves this record is in that of its wave from now on.
        puts = [*self._build_maintenance_puts(), Put(ORDERED_VMS_KEY, value)]
        for part in split_puts(puts):
            if self._commit(part) is None:
                return False
        self.order_gap.record_stored(vms)
        return True

    def _describe_order(self, name: str, waves: Mapping[str, int]) -> OrderedVm:
        """Return what runs on a VM, or ran there before it was ordered."""
        vm = self.vms.get(name)
        if vm is None or not vm.worker:
            earlier = self.ordered_vms.get(name, OrderedVm(name))
            return replace(earlier, wave=waves.get(name))
        born_ms = self.incarnations.started_at_ms.get(vm.worker, 0)
        return OrderedVm(name, vm.pool, vm.worker, born_ms, waves.get(name))

    def _send_orders(
        self, maintenance_starts: list[tuple[str, int]], moves: list[tuple[str, str]]
    ) -> None:
        """Order maintenance and moves, several at a time.

        In a demand peak a hundred VMs have to move within a second. After a failed
        call no more orders are sent, and its error is raised.
        """
        names = [name for name, _ in maintenance_starts]
        names += [name for name, _ in moves]
        if not self._record_orders(names, dict(maintenance_starts)) or not names:
            return
        orders = [
            *(partial(self._start_maintenance, *row) for row in maintenance_starts),
            *(partial(self._order_move, *row) for row in moves),
        ]
        has_failed = Event()

        def send(order: Callable[[], None]) -> None:
            if has_failed.is_set():
                return
            try:
                order()
            except Exception:
                has_failed.set()
                raise

        with ThreadPoolExecutor(MAX_PARALLEL_ORDERS, "fleet orders") as executor:
            futures = [executor.submit(send, order) for order in orders]
        for future in futures:
            future.result()

    def _order_move(self, name: str, pool: str) -> None:
        vm = self.vms[name]
        if not self._prepare_order(vm):
            return
        now = read_steady_clock()
        self.lending_planner.record_move(name, now)
        outcome = self.vm_client.move(name, pool, self.node, self.role.fence)
        self.role.record_pass()
        log_event(
            "move_ordered",
            vm=name,
            origin=vm.pool,
            pool=pool,
            expected_cores=self.lending_planner.forecast_cores(),
            outcome=outcome.value,
        )

    def _write_orders(self, plan: MaintenancePlan) -> None:
        """Store orders to pool owners: workers to drain and ended incarnations."""
        now = read_steady_clock()
        for incarnation, (_, detected_at) in list(self.ended_incarnations.items()):
            if now - detected_at > ENDED_NOTICE_RETENTION_S:
                del self.ended_incarnations[incarnation]
        orders_by_pool = {}
        for pool in {
            *plan.workers_to_drain,
            *self.stored_orders,
            *(p for p, _ in self.ended_incarnations.values()),
        }:
            ended = tuple(
                incarnation
                for incarnation, (p, _) in self.ended_incarnations.items()
                if p == pool
            )
            ended_workers = {incarnation.worker for incarnation in ended}
            draining = tuple(
                w for w in plan.workers_to_drain.get(pool, ()) if w not in ended_workers
            )
            orders_by_pool[pool] = PoolOrders(draining, ended)
        changed = [
            p
            for p in sorted(orders_by_pool)
            if orders_by_pool[p] != self.stored_orders.get(p)
        ]
        if not changed:
            return
        puts = [Put(orders_key(p), encode_orders(orders_by_pool[p])) for p in changed]
        # Known again only once this write or a later one is known to be stored.
        self.stored_orders.update(dict.fromkeys(changed))
        for part in split_puts([*self._build_maintenance_puts(), *puts]):
            revision = self._commit(part)
            if revision is None:
                return
            written = {put.key for put in part}
            for pool in changed:
                if orders_key(pool) in written:
                    self._record_pool_orders(pool, orders_by_pool[pool], revision)

    def _record_pool_orders(self, pool: str, orders: PoolOrders, revision: int) -> None:
        self.order_revisions[pool] = revision
        self.stored_orders[pool] = orders
        log_event(
            "pool_ordered",
            pool=pool,
            emptying=orders.emptying,
            ended=[incarnation.worker for incarnation in orders.ended],
        )

    def _build_maintenance_puts(self) -> list[Put]:
        """Return puts that list the VMs whose maintenance has started, by wave.

        The next holder of the role reads them.
        """
        return [
            Put(maintenance_key(number), encode_names(tuple(progress.started_at)))
            for number, progress in self.maintenance_planner.progress.items()
            if progress.started_at and number not in self.finished_waves
        ]

    def _start_maintenance(self, name: str, wave: int) -> None:
        vm = self.vms[name]
        if not self._prepare_order(vm):
            return
        planner = self.maintenance_planner
        now = read_steady_clock()
        try:
            outcome = self.vm_client.start_maintenance(
                name, wave, self.node, self.role.fence
            )
        except (CallNotSent, CallRejected):
            raise
        except Exception:
            planner.record_uncertain_start(wave, name, read_steady_clock())
            raise
        self.role.record_pass()
        log_event(
            "upkeep_ordered", vm=name, wave=wave, pool=vm.pool, outcome=outcome.value
        )
        if outcome is OrderOutcome.DONE:
            planner.record_maintenance_start(wave, name, now)

    def _prepare_order(self, vm: Vm) -> bool:
        """Read what an order needs; return whether this process may order now."""
        if not self._may_order(vm):
            return False
        if vm.worker:
            self._read_incarnation_start(vm.worker)
        # The role may have been lost while the store was being read.
        if not self._may_order(vm):
            return False
        self.order_gap.record_order(vm.name, read_steady_clock())
        return True

    def _may_order(self, vm: Vm) -> bool:
        recorded = self.order_gap.recorded
        return (
            recorded is not None
            and vm.name in recorded
            and self.order_gap.may_order(vm.name, read_steady_clock())
            and self.is_exclusive_holder()
            and not self.stopping.is_set()
        )

    def _read_incarnation_start(self, worker: str) -> None:
        item = self.store.read(f"{WORKER_PREFIX}{worker}")
        if item is not None:
            self._record_incarnation_start(worker, item.value)

    def _write_wave_status(self, waves: list[Wave], plan: MaintenancePlan) -> None:
        for wave in waves:
            # Whether a VM that has never been readable was maintained isn't known.
            unknown_vms = self.unreadable_vms.intersection(wave.vms) - set(self.vms)
            is_done = wave.number in plan.finished_waves and not unknown_vms
            if not is_done and wave.number in self.started_waves:
                continue
            key = f"{WAVE_STATUS_PREFIX}{wave.number}"
            if self._commit((Put(key, encode_wave_status(is_done)),)) is None:
                return
            self.started_waves.add(wave.number)
            if is_done:
                self.finished_waves.add(wave.number)
                log_event("wave_done", wave=wave.number)

    def _commit(self, puts: tuple[Put, ...]) -> int | None:
        """Write as the holder of the role and return the store revision.

        Each write requires and rewrites a sequence key, so that one without a
        response takes no effect after a later one. Returns None without a write if
        another process holds the role.
        """
        role = role_key(self.role.role)
        # Written last, so that its revision is the transaction's.
        puts = (*puts, Put(FLEET_SEQUENCE_KEY, str(self.role.fence).encode()))
        while True:
            preconditions = (
                (role, self.role.fence),
                (FLEET_SEQUENCE_KEY, self.sequence_revision),
            )
            outcome = self.store.commit(puts, (), preconditions)
            if not isinstance(outcome, Conflict):
                self.sequence_revision = outcome.revision
                return outcome.revision
            revisions = {item.key: item.revision for item in outcome.items}
            sequence_revision = revisions.get(FLEET_SEQUENCE_KEY, 0)
            if (
                revisions.get(role) != self.role.fence
                or sequence_revision == self.sequence_revision
            ):
                log_warning("fleet_write_refused", fence=self.role.fence)
                return None
            # An earlier holder has written, or an earlier write without a response
            # has taken effect.
            self.sequence_revision = sequence_revision


def split_puts(puts: Sequence[Put]) -> list[tuple[Put, ...]]:
    """Return the puts, in order, in parts that a transaction takes."""
    starts = range(0, len(puts), MAX_PUTS)
    return [tuple(puts[start : start + MAX_PUTS]) for start in starts]
