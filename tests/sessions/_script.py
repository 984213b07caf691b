"""Script of a deployment's working day."""

from dataclasses import replace

from tests.sessions._day import Day
from tests.sessions._example import read_example
from tests.sessions._requests import RequestScenario

LEAD_TIME_S = 120.0
MAX_SETTLE_S = 5_400.0
RACK_OUTAGE_S = 180
STORE_OUTAGE_S = 90.0


def run_day(deployment: str) -> str:
    """Run a deployment's day; returns the transcript."""
    example = read_example(deployment)
    (wave,) = (wave for wave in example.tickets[1].maintenance.values() if wave)
    day = Day(example, wave.start_s - LEAD_TIME_S)
    start_fleet(day)
    RequestScenario(day).run()
    run_wave(day)
    replace_entry(day)
    partition_zone(day)
    end_day(day)
    return day.transcript.to_text()


def start_fleet(day: Day) -> None:
    """File the first ticket and an invalid one, whose VM is in an unknown pool."""
    first = day.example.tickets[0]
    day.file("operator", first)
    day.run(10)
    name, vm = min(first.vms.items())
    assert vm is not None
    misassigned_vm = replace(vm, pool="unknown-pool")
    day.file(
        "operator",
        replace(first, number=2, pools={}, budgets={}, vms={name: misassigned_vm}),
    )


def run_wave(day: Day) -> None:
    """Run the maintenance wave with a lost ticket race and a rack failure."""
    ticket = day.example.tickets[1]
    day.file("operator", ticket)
    day.file("deputy", replace(ticket, author="deputy", reason="The same wave."))
    day.run(LEAD_TIME_S + 60)
    rack = f"{list(day.example.entries)[1]}-r1"
    lost = day.region.list_rack_vms(rack)
    day.transcript.add("platform", f"rack {rack} lost with {', '.join(sorted(lost))}")
    run_with_failed_vms(day, lost, RACK_OUTAGE_S)
    day.transcript.add("platform", f"rack {rack} repaired")
    day.region.repair(lost)
    day.run(20)
    move_during_outage(day)
    (wave,) = (wave for wave in ticket.maintenance.values() if wave)
    assert day.run(MAX_SETTLE_S, lambda: is_maintained(day, wave.pools, wave.start_s))
    day.transcript.add("planner", f"wave {wave.id} complete")


def run_with_failed_vms(day: Day, lost: list[str], seconds: int) -> None:
    """Run while VMs stay down, even if the planner reboots them meanwhile."""
    for _ in range(seconds):
        day.region.fail(lost)
        day.step()


def is_maintained(day: Day, pools: tuple[str, ...], start_s: float) -> bool:
    """Return whether the fleet is settled and each VM of some pools was rebooted."""
    return day.is_settled() and all(
        row.maintained_at > start_s
        for row in day.plan.rows.values()
        if row.pool in pools
    )


def move_during_outage(day: Day) -> None:
    """File a VM move while the store is down, and again when it is back."""
    ticket = day.example.tickets[2]
    day.transcript.add("platform", "store down")
    day.store.available = False
    version = day.plan.version
    day.file("operator", ticket)
    day.run(STORE_OUTAGE_S)
    assert day.plan.version == version
    day.store.available = True
    day.transcript.add("platform", "store up")
    day.file("operator", ticket)


def replace_entry(day: Day) -> None:
    """Replace an entry instance; the new one catches up from a peer."""
    peer, lost = day.instances[0], day.instances[1]
    day.transcript.add("platform", f"{lost} is gone")
    day.region.gone_entries.add(lost)
    day.run(15)
    day.replicas.replace(lost)
    number = day.replicas.catch_up(lost, peer)
    day.region.gone_entries.discard(lost)
    day.transcript.add(lost, f"started blank, has ticket {number} from {peer}")
    day.run(15)


def partition_zone(day: Day) -> None:
    """Cut a zone off, change a quota meanwhile and reconnect the zone."""
    zone = list(day.example.entries)[2]
    day.transcript.add("platform", f"{zone} cut off")
    day.region.partitioned_zones.add(zone)
    day.run(5)
    day.file("operator", day.example.tickets[3])
    day.run(60)
    day.transcript.add(
        "entries", f"tickets in force: {day.replicas.describe_numbers()}"
    )
    day.transcript.add("platform", f"{zone} healed")
    for instance in day.example.entries[zone]:
        number = day.replicas.catch_up(instance, day.instances[0])
        day.transcript.add(instance, f"has ticket {number} from {day.instances[0]}")
    day.region.partitioned_zones.discard(zone)
    day.run(10)


def end_day(day: Day) -> None:
    """Wait until every VM serves its configured pool."""
    assert day.run(MAX_SETTLE_S, day.is_settled)
    text = f"end of day: {len(day.plan.rows)} VMs serving"
    day.transcript.add("planner", text)
    day.transcript.add(
        "entries", f"tickets in force: {day.replicas.describe_numbers()}"
    )
