"""Runs a small deployment on loopback through a sequence of failures.

``python -m sesameladder.measure.demo`` prints a table and writes ``build/demo.json``.
Its exit code is 1 if a step failed or a guarantee was violated.
"""

import json
import logging
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from sesameladder.measure._checks import Check, UpstreamTotals, check_requests
from sesameladder.measure._deployment import (
    DEPLOYMENT_SPECS,
    Deployment,
    DeploymentSpec,
)
from sesameladder.measure._load_generator import LoadGenerator
from sesameladder.measure._monitor import Monitor, build_plan_checks
from sesameladder.planning import Phase
from sesameladder.tickets import Accepted, AlreadyAccepted, NotFiled

LOAD_THREADS = 10
SETTLE_LIMIT_S = 20.0
STORE_OUTAGE_S = 2.0
PARTITION_S = 2.0
IN_FORCE_LIMIT_S = 2.0
SEED = 20261204
MAX_REASONS = 12


@cappa.command(name="demo", help="Run a small deployment through failures.")
@dataclass(frozen=True, slots=True)
class DemoCommand:
    """Arguments of the command line."""

    deployment: Annotated[
        str, cappa.Arg(long=True, help="coral-strand or pfennigblatt")
    ] = "coral-strand"

    output: Annotated[Path, cappa.Arg(long=True, help="File for the results")] = Path(
        "build/demo.json"
    )


@dataclass(slots=True)
class DemoReport:
    """Results of a demo."""

    deployment: str
    """Name of the deployment."""

    steps: dict[str, float] = field(default_factory=dict)
    """Duration of each step in seconds."""

    failures: list[str] = field(default_factory=list)
    """Steps that failed and tickets that were not accepted."""

    checks: list[Check] = field(default_factory=list)
    """Results of the checks of the guarantees."""

    requests: dict[str, int] = field(default_factory=dict)
    """Number of attempts by kind and outcome."""

    reasons: dict[str, int] = field(default_factory=dict)
    """Most frequent reasons of attempts that are not ``done``, with their number."""

    @property
    def passed(self) -> bool:
        """Whether all steps succeeded and no guarantee was violated."""
        return not self.failures and all(c.violations == 0 for c in self.checks)


class Demo:
    """Runs the steps of the demo."""

    __slots__ = (
        "deployment",
        "killed_entries",
        "load",
        "monitor",
        "report",
        "spec",
    )

    def __init__(self, spec: DeploymentSpec) -> None:
        self.spec = spec
        self.deployment = Deployment.create(spec)
        self.load = LoadGenerator(
            self.deployment, spec.pools, spec.teams, SEED, LOAD_THREADS
        )
        self.monitor = Monitor(self.deployment)
        self.report = DemoReport(spec.deployment)
        self.killed_entries: set[str] = set()

    def run(self) -> DemoReport:
        """Run all steps and return the report."""
        steps: list[tuple[str, Callable[[], bool]]] = [
            ("start entries, file the first ticket", self._start_entries),
            ("serve mixed requests", self._start_load),
            ("reboot VMs in a maintenance wave", self._run_wave),
            ("move a VM between pools", self._move_vm),
            ("replace an entry instance by a blank one", self._replace_entry),
            ("store down, then back", self._interrupt_store),
            ("cut a zone off, then heal", self._partition_zone),
            ("shut an entry instance down under load", self._shut_down_entry),
        ]
        try:
            for name, step in steps:
                self._run_step(name, step)
            self.load.stop()
            self.monitor.stop()
            self._check_results()
        finally:
            self.deployment.stop()
        return self.report

    def _run_step(self, name: str, step: Callable[[], bool]) -> None:
        started = time.monotonic()
        succeeded = step()
        duration_s = time.monotonic() - started
        self.report.steps[name] = round(duration_s, 3)
        if not succeeded:
            self.report.failures.append(name)
        mark = "ok" if succeeded else "FAILED"
        _print(f"{duration_s:7.2f} s  {mark:6}  {name}")

    def _start_entries(self) -> bool:
        self.deployment.start_entries()
        self.monitor.start()
        self._file_ticket(self.deployment.build_first_ticket())
        in_force = self._wait_in_force()
        return in_force and self.deployment.wait_for(
            self._all_cells_grant, SETTLE_LIMIT_S
        )

    def _start_load(self) -> bool:
        self.load.start()
        return self._wait_for_requests(100)

    def _run_wave(self) -> bool:
        pool = self.spec.pools[0]
        now = time.time()
        wave = {"pools": [pool], "start_s": now, "deadline_s": now + 3600}
        self._file_ticket({"maintenance": {"demo-wave": wave}})
        rebooted = self.deployment.wait_for(
            lambda: self._count_rebooted(pool, now) >= 1, SETTLE_LIMIT_S
        )
        self._file_ticket({"maintenance": {"demo-wave": None}})
        return rebooted and self._wait_all_serving()

    def _move_vm(self) -> bool:
        name = f"{self.spec.pools[1]}-5"
        target = self.spec.pools[2]
        self._file_ticket(
            {"vms": {name: {**self.deployment.vms[name], "pool": target}}}
        )
        return self.deployment.wait_for(
            lambda: self._is_in_pool(name, target), SETTLE_LIMIT_S
        )

    def _replace_entry(self) -> bool:
        entry = next(e for e in self.deployment.list_running() if e.dispatch.cells)
        instance = entry.settings.instance
        self.killed_entries.add(instance)
        entry.kill()
        replacement = self.deployment.start_entry(instance)
        number = self._find_max_number()
        caught_up = self.deployment.wait_for(
            lambda: replacement.view.state.number >= number, SETTLE_LIMIT_S
        )
        return caught_up and self.deployment.wait_for(
            self._all_cells_grant, SETTLE_LIMIT_S
        )

    def _interrupt_store(self) -> bool:
        self.deployment.set_platform_fault({"mode": "down"})
        refused = isinstance(self.deployment.file_ticket({}), NotFiled)
        served = self._wait_for_requests(100)
        time.sleep(STORE_OUTAGE_S)
        self.deployment.set_platform_fault({"mode": "up"})
        self._file_ticket({"teams": {self.spec.teams[0]: _build_team(2)}})
        return refused and served and self._wait_in_force()

    def _partition_zone(self) -> bool:
        zone = self.spec.zones[-1]
        self.deployment.partition_zone(zone)
        self._file_ticket({"teams": {self.spec.teams[0]: _build_team(3)}})
        time.sleep(PARTITION_S)
        inside = [e for e in self.deployment.list_running() if e.settings.zone == zone]
        served = all(self.deployment.is_serving(e) for e in inside)
        self.deployment.end_partition(zone)
        return served and self._wait_in_force()

    def _shut_down_entry(self) -> bool:
        entry = next(e for e in self.deployment.list_running() if e.dispatch.cells)
        return entry.shut_down() and self._wait_for_requests(100)

    def _file_ticket(self, content: dict[str, object]) -> None:
        outcome = self.deployment.file_ticket(content)
        if not isinstance(outcome, Accepted | AlreadyAccepted):
            self.report.failures.append(f"ticket was not accepted: {outcome}")

    def _find_max_number(self) -> int:
        return max(e.view.state.number for e in self.deployment.list_running())

    def _wait_in_force(self) -> bool:
        started = time.monotonic()
        number = self.deployment.read_head_number()
        in_force = self.deployment.wait_for(
            lambda: all(
                e.view.state.number >= number for e in self.deployment.list_running()
            ),
            SETTLE_LIMIT_S,
        )
        duration_s = time.monotonic() - started
        self.report.steps[f"ticket {number} in force"] = round(duration_s, 3)
        return in_force and duration_s <= IN_FORCE_LIMIT_S

    def _all_cells_grant(self) -> bool:
        cells = [
            cell
            for entry in self.deployment.list_running()
            for cell in list(entry.dispatch.cells.values())
        ]
        cell_count = len(self.spec.pools) * len(self.spec.zones)
        now = time.monotonic()
        granting_cells = [
            cell for cell in cells if cell.dispatcher.recovery.is_over(now)
        ]
        return len(granting_cells) >= cell_count

    def _wait_for_requests(self, count: int) -> bool:
        before = self._count_done()
        return self.deployment.wait_for(
            lambda: self._count_done() >= before + count, SETTLE_LIMIT_S
        )

    def _count_done(self) -> int:
        return sum(a.outcome == "done" for a in self.load.list_attempts())

    def _count_rebooted(self, pool: str, since: float) -> int:
        plan = self.deployment.list_running()[0].view.plan
        rows = plan.rows.values() if plan else ()
        return sum(
            row.pool == pool
            and row.phase is Phase.SERVING
            and row.maintained_at > since
            for row in rows
        )

    def _wait_all_serving(self) -> bool:
        def all_serving() -> bool:
            plan = self.deployment.list_running()[0].view.plan
            rows = plan.rows.values() if plan else ()
            return all(row.phase is Phase.SERVING for row in rows)

        return self.deployment.wait_for(all_serving, SETTLE_LIMIT_S)

    def _is_in_pool(self, vm: str, pool: str) -> bool:
        plan = self.deployment.list_running()[0].view.plan
        row = plan.rows.get(vm) if plan else None
        return row is not None and row.pool == pool and row.phase is Phase.SERVING

    def _check_results(self) -> None:
        records = self.load.records
        counts = Counter(
            f"{record.kind} {attempt.outcome}"
            for record in records
            for attempt in record.attempts
        )
        self.report.requests = dict(sorted(counts.items()))
        self.report.reasons = dict(
            Counter(
                f"{attempt.outcome}: {attempt.reason[:90]}"
                for record in records
                for attempt in record.attempts
                if attempt.outcome != "done"
            ).most_common(MAX_REASONS)
        )
        totals = UpstreamTotals.from_upstreams(self.deployment.upstreams.values())
        self.report.checks = [
            *build_plan_checks(self.monitor),
            *check_requests(records, totals, self.killed_entries),
        ]


def _build_team(weight: int) -> dict[str, object]:
    return {"weight": weight, "share_cap": 1.0, "urgent_allowed": True}


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def _print_report(report: DemoReport) -> None:
    _print("")
    for name, count in report.requests.items():
        _print(f"{count:7}    {name}")
    _print("")
    for reason, count in report.reasons.items():
        _print(f"{count:7}    {reason}")
    _print("")
    for check in report.checks:
        mark = "ok" if check.violations == 0 else "BROKEN"
        line = f"{check.violations:7}    {mark:6}  {check.promise:12}{check.text}"
        _print(f"{line}  {check.detail}".rstrip())
    _print("")
    _print("passed" if report.passed else f"FAILED: {'; '.join(report.failures)}")


def main(arguments: list[str] | None = None) -> int:
    """Run the demo and return the exit code."""
    command = cappa.parse(DemoCommand, argv=arguments)
    if command.deployment not in DEPLOYMENT_SPECS:
        names = ", ".join(DEPLOYMENT_SPECS)
        sys.stderr.write(f"unknown deployment {command.deployment!r}; use {names}\n")
        return 2
    logging.basicConfig(level=logging.ERROR)
    report = Demo(DEPLOYMENT_SPECS[command.deployment]).run()
    _print_report(report)
    command.output.parent.mkdir(parents=True, exist_ok=True)
    content = {**asdict(report), "passed": report.passed}
    command.output.write_text(json.dumps(content, indent=2) + "\n", encoding="utf-8")
    return 0 if report.passed else 1


if __name__ == "__main__":
    sys.exit(main())
