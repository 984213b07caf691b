"""Monitoring of a running deployment for violations of its guarantees."""

from threading import Event, Thread

from sesameladder.measure._checks import Check
from sesameladder.measure._deployment import Deployment
from sesameladder.planning import Phase, RegionPlan

SAMPLE_INTERVAL_S = 0.05


class Monitor:
    """Samples the state of all entry instances in a thread of its own."""

    __slots__ = (
        "budget_violations",
        "deployment",
        "last_numbers",
        "number_regressions",
        "stopping",
        "thread",
        "vms_in_two_pools",
    )

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.last_numbers: dict[tuple[str, int], int] = {}
        self.number_regressions = 0
        self.vms_in_two_pools = 0
        self.budget_violations = 0
        self.stopping = Event()
        self.thread = Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop sampling and wait for the thread to end."""
        self.stopping.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.stopping.wait(SAMPLE_INTERVAL_S):
            self._sample_numbers()
            self._sample_pools()
            self._sample_budgets()

    def _sample_numbers(self) -> None:
        for entry in self.deployment.list_running():
            key = (entry.settings.instance, entry.peers.identity.incarnation)
            number = entry.view.state.number
            if number < self.last_numbers.get(key, 0):
                self.number_regressions += 1
            self.last_numbers[key] = number

    def _sample_pools(self) -> None:
        """Count VMs whose slots the dispatchers of two pools may grant."""
        pools: dict[str, set[str]] = {}
        for entry in self.deployment.list_running():
            for cell in list(entry.dispatch.cells.values()):
                for vm, worker in list(cell.dispatcher.cell.workers.by_vm.items()):
                    if worker.listed and not cell.dispatcher.handed_over:
                        pools.setdefault(vm, set()).add(cell.pool)
        self.vms_in_two_pools += sum(len(names) > 1 for names in pools.values())

    def _sample_budgets(self) -> None:
        entry = self.deployment.list_running()[0]
        plan = entry.view.plan
        if plan is None or plan.version <= 1:
            return
        for pool, budget in entry.view.state.budgets.items():
            if _count_stopped(plan, pool) > budget.max_unavailable:
                self.budget_violations += 1


def _count_stopped(plan: RegionPlan, pool: str) -> int:
    """Return the number of a pool's VMs that a planned stop makes unavailable."""
    stopped = (Phase.LEAVING, Phase.DRAINED, Phase.REBOOTING, Phase.CHECKING)
    return sum(row.pool == pool and row.phase in stopped for row in plan.rows.values())


def build_plan_checks(monitor: Monitor) -> list[Check]:
    """Return the checks of plan and configuration from a monitor's counts."""
    return [
        Check(
            "P1",
            "samples with more planned stops than allowed",
            monitor.budget_violations,
        ),
        Check("P2", "samples with a VM in two pools", monitor.vms_in_two_pools),
        Check("P8", "configuration numbers that went back", monitor.number_regressions),
    ]
