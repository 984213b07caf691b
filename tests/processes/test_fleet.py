"""The real programs keep the promises while processes are killed and paused.

The upstream stand-ins count independently of the entry instances.
"""

import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import json5
import pytest

from sesameladder.measure._callers import LoadGenerator
from sesameladder.measure._verdict import UpstreamTotals, check_requests
from sesameladder.planning import Phase
from tests.processes.fleet import Fleet

CALLER_THREADS = 12
SEED = 7
CALLS_PER_STEP = 60
ZONE_COUNT = 3
STOPPED = (Phase.LEAVING, Phase.DRAINED, Phase.REBOOTING, Phase.CHECKING)


@pytest.fixture(params=["coral-strand", "pfennigblatt"])
def fleet(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Fleet]:
    running = Fleet.start(request.param, tmp_path)
    try:
        yield running
    finally:
        running.stop()


def file_ticket(fleet: Fleet, index: int) -> None:
    code, output = fleet.run_client("ticket", "file", str(fleet.tickets[index]))
    assert code == 0, output


def wait_in_force(fleet: Fleet, number: int) -> None:
    def in_force() -> bool:
        statuses = [
            fleet.read_status(name)
            for name in fleet.entries
            if name not in fleet.hidden
        ]
        return all(s and s["configuration_number"] >= number for s in statuses)

    fleet.wait_for(in_force, f"ticket {number} in force")


def wait_plan(fleet: Fleet) -> None:
    def has_plan() -> bool:
        statuses = [fleet.read_status(name) for name in fleet.entries]
        return all(status and status["plan_version"] >= 1 for status in statuses)

    fleet.wait_for(has_plan, "a plan on all instances")


def serve_more(fleet: Fleet, callers: LoadGenerator) -> None:
    for name in fleet.entries:
        if name not in fleet.hidden:
            fleet.read_status(name)
    before = count_done(callers)
    fleet.wait_for(
        lambda: count_done(callers) >= before + CALLS_PER_STEP, "served requests"
    )


def count_done(callers: LoadGenerator) -> int:
    return sum(attempt.outcome == "done" for attempt in callers.list_attempts())


def run_wave(fleet: Fleet, callers: LoadGenerator) -> None:
    """Reboot VMs of one pool under load, then end the wave.

    The plan in the store shows each planned stop, so it is the witness of the
    budget: at most ``max_unavailable`` VMs of a pool are out at once.
    """
    content = json5.loads(fleet.tickets[0].read_text())
    pool = callers.pools[0]
    limit = content["budgets"][pool]["max_unavailable"]
    start = time.time()
    wave = {"pools": [pool], "start_s": start, "deadline_s": start + 36_000}
    file_content(fleet, {"maintenance": {"test-wave": wave}})

    def one_rebooted() -> bool:
        rows = [row for row in fleet.read_plan().rows.values() if row.pool == pool]
        assert sum(row.phase in STOPPED for row in rows) <= limit
        return any(row.maintained_at > start for row in rows)

    fleet.wait_for(one_rebooted, "a rebooted VM")
    file_content(fleet, {"maintenance": {"test-wave": None}})
    serve_more(fleet, callers)


def file_content(fleet: Fleet, content: dict[str, object]) -> None:
    path = fleet.directory / "ticket.jsonc"
    path.write_text(json.dumps({"reason": "test", **content}))
    code, output = fleet.run_client("ticket", "file", str(path))
    assert code == 0, output


def replace_in_zone(fleet: Fleet, zone: str) -> str:
    """Replace an instance of a cut off zone by a blank one.

    Neither the store nor the other zones answer it, so what it learns comes
    from the instances of its own zone.
    """
    instance = next(n for n, s in fleet.settings.items() if s.zone == zone)
    fleet.send_signal(instance, signal.SIGKILL)
    fleet.wait_exit(instance)
    fleet.start_entry(instance)

    def caught_up() -> bool:
        status = fleet.read_status(instance)
        return bool(
            status and status["configuration_number"] and status["plan_version"]
        )

    fleet.wait_for(caught_up, "the blank instance to catch up from its zone")
    return instance


def wait_until_relieved(fleet: Fleet, paused: str) -> None:
    """Wait until no lease of a paused instance can be valid any more.

    The store's lease of a role lapses after 5 s, so another instance holds the
    planner's and the relay's role by the time both are reported.
    """

    def roles_held() -> bool:
        statuses = [fleet.read_status(n) for n in fleet.entries if n != paused]
        live = [status for status in statuses if status]
        zones = {status["zone"] for status in live if status["relay"]}
        planners = [status for status in live if status["planner"]]
        return len(planners) == 1 and len(zones) == ZONE_COUNT

    fleet.wait_for(roles_held, "another holder of the roles")


def pick_dispatcher(fleet: Fleet, excluded: set[str]) -> str:
    for name in fleet.entries:
        status = fleet.read_status(name) if name not in excluded else None
        if status and status["cells"]:
            return name
    raise AssertionError("no instance dispatches a cell")


def test_promises_under_kills_pauses_and_cuts(fleet: Fleet) -> None:
    """Guards P1 and P3 to P8 against lost, paused, replaced, cut off processes."""
    wait_entries(fleet)
    file_ticket(fleet, 0)
    wait_in_force(fleet, 1)
    wait_plan(fleet)
    pools, teams = read_names(fleet.tickets[0])
    callers = LoadGenerator(fleet, pools, teams, SEED, CALLER_THREADS)
    callers.start()
    try:
        excused = run_failures(fleet, callers)
    finally:
        callers.stop()
    totals = UpstreamTotals.from_counters(fleet.read_counters())
    broken = [
        c for c in check_requests(callers.records, totals, excused) if c.violations
    ]
    assert broken == []
    assert fleet.reverted == 0
    assert fleet.numbers
    assert totals.runs_by_key


def run_failures(fleet: Fleet, callers: LoadGenerator) -> set[str]:
    serve_more(fleet, callers)
    run_wave(fleet, callers)
    killed = pick_dispatcher(fleet, set())
    fleet.send_signal(killed, signal.SIGKILL)
    fleet.wait_exit(killed)
    serve_more(fleet, callers)
    fleet.start_entry(killed)
    wait_in_force(fleet, 1)

    paused = pick_dispatcher(fleet, {killed})
    fleet.send_signal(paused, signal.SIGSTOP)
    # The load balancer's health check takes a paused instance out.
    fleet.hidden.add(paused)
    wait_until_relieved(fleet, paused)
    fleet.send_signal(paused, signal.SIGCONT)
    fleet.hidden.discard(paused)
    serve_more(fleet, callers)

    zones = {settings.zone for settings in fleet.settings.values()}
    cut = sorted(zones)[-1]
    fleet.cut_zone(cut, zones)
    serve_more(fleet, callers)
    replaced = replace_in_zone(fleet, cut)
    serve_more(fleet, callers)
    fleet.heal_zone(cut, zones)

    fleet.post(fleet.platform_address, "/faults", {"mode": "down"})
    serve_more(fleet, callers)
    fleet.post(fleet.platform_address, "/faults", {"mode": "up"})

    stopped = pick_dispatcher(fleet, {killed, paused, replaced})
    fleet.hidden.add(stopped)
    fleet.send_signal(stopped, signal.SIGTERM)
    assert fleet.wait_exit(stopped) == 0
    file_content(fleet, {"teams": read_teams(fleet)})
    serve_more(fleet, callers)
    return {killed, paused, replaced}


def wait_entries(fleet: Fleet) -> None:
    fleet.wait_for(
        lambda: all(fleet.read_status(name) for name in fleet.entries),
        "all entry instances",
    )


def read_names(ticket: Path) -> tuple[tuple[str, ...], tuple[str, ...]]:

    content = json5.loads(ticket.read_text())
    return tuple(content["pools"]), tuple(content["teams"])


def read_teams(fleet: Fleet) -> dict[str, object]:
    content = json5.loads(fleet.tickets[0].read_text())
    return {name: {**team, "weight": 7} for name, team in content["teams"].items()}


@pytest.mark.parametrize("fleet", ["coral-strand"], indirect=True)
def test_client_reports_the_fleet(fleet: Fleet) -> None:
    """Guards against a status that hides an instance which is behind."""
    wait_entries(fleet)
    file_ticket(fleet, 0)
    wait_in_force(fleet, 1)
    code, output = fleet.run_client("status", "--json")
    assert code == 0, output
    assert json.loads(output)
