"""The real programs keep their guarantees while processes are killed and paused.

The checks use the counters of the upstream stand-ins, which are independent of the
entry instances.
"""

import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import json5
import pytest

from sesameladder.measure._checks import UpstreamTotals, check_requests
from sesameladder.measure._load_generator import LoadGenerator
from sesameladder.planning import Phase
from tests.processes.fleet import Fleet

CALLER_THREADS = 12
SEED = 7
REQUESTS_PER_STEP = 60
ZONE_COUNT = 3
STOPPED_PHASES = (Phase.LEAVING, Phase.DRAINED, Phase.REBOOTING, Phase.CHECKING)


@pytest.fixture(params=["coral-strand", "pfennigblatt"])
def fleet(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Fleet]:
    started_fleet = Fleet.start(request.param, tmp_path)
    try:
        yield started_fleet
    finally:
        started_fleet.stop()


def file_ticket(fleet: Fleet, index: int) -> None:
    code, output = fleet.run_client("ticket", "file", str(fleet.tickets[index]))
    assert code == 0, output


def wait_until_applied(fleet: Fleet, number: int) -> None:
    def is_applied() -> bool:
        statuses = [
            fleet.read_status(name)
            for name in fleet.entries
            if name not in fleet.out_of_rotation
        ]
        return all(s and s["configuration_number"] >= number for s in statuses)

    fleet.wait_for(is_applied, f"ticket {number} to be applied by all instances")


def wait_for_plan(fleet: Fleet) -> None:
    def has_plan() -> bool:
        statuses = [fleet.read_status(name) for name in fleet.entries]
        return all(status and status["plan_version"] >= 1 for status in statuses)

    fleet.wait_for(has_plan, "all instances to receive a plan")


def wait_for_served_requests(fleet: Fleet, load: LoadGenerator) -> None:
    """Wait until further requests succeed.

    First reads the status of each instance in rotation, which records its numbers.
    """
    for name in fleet.entries:
        if name not in fleet.out_of_rotation:
            fleet.read_status(name)
    before = count_done(load)
    fleet.wait_for(
        lambda: count_done(load) >= before + REQUESTS_PER_STEP, "served requests"
    )


def count_done(load: LoadGenerator) -> int:
    return sum(attempt.outcome == "done" for attempt in load.list_attempts())


def run_maintenance_wave(fleet: Fleet, load: LoadGenerator) -> None:
    """Reboot VMs of one pool under load, then end the wave.

    The plan in the store shows each planned stop, so the budget is checked there:
    at most ``max_unavailable`` VMs of a pool are stopped at once.
    """
    content = json5.loads(fleet.tickets[0].read_text())
    pool = load.pools[0]
    limit = content["budgets"][pool]["max_unavailable"]
    start = time.time()
    wave = {"pools": [pool], "start_s": start, "deadline_s": start + 36_000}
    file_ticket_content(fleet, {"maintenance": {"test-wave": wave}})

    def is_one_rebooted() -> bool:
        rows = [row for row in fleet.read_plan().rows.values() if row.pool == pool]
        assert sum(row.phase in STOPPED_PHASES for row in rows) <= limit
        return any(row.maintained_at > start for row in rows)

    fleet.wait_for(is_one_rebooted, "the first reboot of a VM")
    file_ticket_content(fleet, {"maintenance": {"test-wave": None}})
    wait_for_served_requests(fleet, load)


def file_ticket_content(fleet: Fleet, content: dict[str, object]) -> None:
    path = fleet.directory / "ticket.jsonc"
    path.write_text(json.dumps({"reason": "test", **content}))
    code, output = fleet.run_client("ticket", "file", str(path))
    assert code == 0, output


def restart_in_partitioned_zone(fleet: Fleet, zone: str) -> str:
    """Kill an instance of a partitioned zone and start it again without state.

    It reaches neither the store nor the other zones, so it gets configuration and
    plan from the instances of its own zone.
    """
    instance = next(n for n, s in fleet.settings.items() if s.zone == zone)
    fleet.send_signal(instance, signal.SIGKILL)
    fleet.wait_for_exit(instance)
    fleet.start_entry(instance)

    def has_caught_up() -> bool:
        status = fleet.read_status(instance)
        return bool(
            status and status["configuration_number"] and status["plan_version"]
        )

    fleet.wait_for(has_caught_up, "the restarted instance to catch up from its zone")
    return instance


def wait_for_role_takeover(fleet: Fleet, paused: str) -> None:
    """Wait until a paused instance can't hold a valid role lease any more.

    A role's lease in the store expires after 5 s; once the other instances report
    a planner and a relay in each zone, they have taken over the roles.
    """

    def are_roles_held() -> bool:
        statuses = [fleet.read_status(n) for n in fleet.entries if n != paused]
        live = [status for status in statuses if status]
        zones = {status["zone"] for status in live if status["relay"]}
        planners = [status for status in live if status["planner"]]
        return len(planners) == 1 and len(zones) == ZONE_COUNT

    fleet.wait_for(are_roles_held, "other instances to take over the roles")


def find_dispatcher(fleet: Fleet, excluded: set[str]) -> str:
    for name in fleet.entries:
        status = fleet.read_status(name) if name not in excluded else None
        if status and status["cells"]:
            return name
    raise AssertionError(f"no instance outside {sorted(excluded)} dispatches a cell")


def test_promises_under_kills_pauses_and_cuts(fleet: Fleet) -> None:
    """Guards the guarantees P1 and P3 to P8 while processes fail.

    Processes are killed, paused, replaced, cut off and shut down, the platform
    fails, and a maintenance wave runs.
    """
    wait_for_entries(fleet)
    file_ticket(fleet, 0)
    wait_until_applied(fleet, 1)
    wait_for_plan(fleet)
    pools, teams = read_pools_and_teams(fleet.tickets[0])
    load = LoadGenerator(fleet, pools, teams, SEED, CALLER_THREADS)
    load.start()
    try:
        interrupted_instances = inject_failures(fleet, load)
    finally:
        load.stop()
    totals = UpstreamTotals.from_counters(fleet.read_counters())
    violated_checks = [
        check
        for check in check_requests(load.records, totals, interrupted_instances)
        if check.violations
    ]
    assert violated_checks == []
    assert fleet.number_regressions == 0
    assert fleet.latest_numbers
    assert totals.runs_by_key


def inject_failures(fleet: Fleet, load: LoadGenerator) -> set[str]:
    wait_for_served_requests(fleet, load)
    run_maintenance_wave(fleet, load)
    killed = find_dispatcher(fleet, set())
    fleet.send_signal(killed, signal.SIGKILL)
    fleet.wait_for_exit(killed)
    wait_for_served_requests(fleet, load)
    fleet.start_entry(killed)
    wait_until_applied(fleet, 1)

    paused = find_dispatcher(fleet, {killed})
    fleet.send_signal(paused, signal.SIGSTOP)
    # The load balancer's health check would take a paused instance out of rotation.
    fleet.out_of_rotation.add(paused)
    wait_for_role_takeover(fleet, paused)
    fleet.send_signal(paused, signal.SIGCONT)
    fleet.out_of_rotation.discard(paused)
    wait_for_served_requests(fleet, load)

    zones = {settings.zone for settings in fleet.settings.values()}
    partitioned_zone = sorted(zones)[-1]
    fleet.partition_zone(partitioned_zone, zones)
    wait_for_served_requests(fleet, load)
    restarted = restart_in_partitioned_zone(fleet, partitioned_zone)
    wait_for_served_requests(fleet, load)
    fleet.end_partition(partitioned_zone, zones)

    fleet.post(fleet.platform_address, "/faults", {"mode": "down"})
    wait_for_served_requests(fleet, load)
    fleet.post(fleet.platform_address, "/faults", {"mode": "up"})

    stopped = find_dispatcher(fleet, {killed, paused, restarted})
    fleet.out_of_rotation.add(stopped)
    fleet.send_signal(stopped, signal.SIGTERM)
    assert fleet.wait_for_exit(stopped) == 0
    file_ticket_content(fleet, {"teams": read_reweighted_teams(fleet)})
    wait_for_served_requests(fleet, load)
    return {killed, paused, restarted}


def wait_for_entries(fleet: Fleet) -> None:
    fleet.wait_for(
        lambda: all(fleet.read_status(name) for name in fleet.entries),
        "all entry instances to respond",
    )


def read_pools_and_teams(ticket: Path) -> tuple[tuple[str, ...], tuple[str, ...]]:
    content = json5.loads(ticket.read_text())
    return tuple(content["pools"]), tuple(content["teams"])


def read_reweighted_teams(fleet: Fleet) -> dict[str, object]:
    content = json5.loads(fleet.tickets[0].read_text())
    return {name: {**team, "weight": 7} for name, team in content["teams"].items()}


@pytest.mark.parametrize("fleet", ["coral-strand"], indirect=True)
def test_client_reports_the_fleet(fleet: Fleet) -> None:
    """Guards against a status command that fails although no instance is behind.

    Checks the exit code, and that the output is JSON and not empty.
    """
    wait_for_entries(fleet)
    file_ticket(fleet, 0)
    wait_until_applied(fleet, 1)
    code, output = fleet.run_client("status", "--json")
    assert code == 0, output
    assert json.loads(output)
