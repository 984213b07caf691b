"""The example settings and tickets are valid and consistent."""

from collections import Counter
from pathlib import Path

import json5
import pytest

from sesameladder.model import FleetState
from sesameladder.settings import (
    ClientSettings,
    EntrySettings,
    PlatformStandinSettings,
    UpstreamStandinSettings,
)
from sesameladder.settings.examples import DEPLOYMENTS, ExampleFiles, write_example
from sesameladder.tickets import apply_ticket, check_ticket, encode_state, parse_ticket

BASE_PORT = 30_000


@pytest.fixture(params=DEPLOYMENTS)
def example(request: pytest.FixtureRequest, tmp_path: Path) -> ExampleFiles:
    return write_example(request.param, tmp_path, BASE_PORT)


def apply_tickets(example: ExampleFiles) -> list[FleetState]:
    states = [FleetState()]
    for path in example.tickets:
        document = json5.loads(path.read_text())
        ticket = parse_ticket(json5.dumps(document, quote_keys=True).encode())
        assert check_ticket(states[-1], ticket) == []
        states.append(apply_ticket(states[-1], ticket))
    return states


def test_settings_are_valid(example: ExampleFiles) -> None:
    """Guards against example settings that the programs reject."""
    entries = [EntrySettings.from_file(path) for path in example.entries.values()]
    assert Counter(entry.zone for entry in entries).most_common(1)[0][1] == 3
    assert [entry.instance for entry in entries] == list(example.entries)
    assert len({entry.http_address for entry in entries}) == 9
    client = ClientSettings.from_file(example.client)
    assert [row.instance for row in client.instances] == list(example.entries)
    assert client.platform_address == entries[0].platform_address == "127.0.0.1:30000"


def test_standins_serve_the_first_ticket(example: ExampleFiles) -> None:
    """Guards against stand-ins whose VMs differ from those of the first ticket."""
    state = apply_tickets(example)[1]
    platform = PlatformStandinSettings.from_file(example.platform)
    listed = {row.name: row.address for row in platform.vms if row.kind == "upstream"}
    assert listed == {vm.name: vm.address for vm in state.vms.values()}
    served = {
        upstream.name: (rack, upstream.address)
        for rack, path in example.upstreams.items()
        for upstream in UpstreamStandinSettings.from_file(path).upstreams
    }
    assert served == {vm.name: (vm.rack, vm.address) for vm in state.vms.values()}


def test_tickets_are_accepted(example: ExampleFiles) -> None:
    """Guards against example tickets that are rejected or change nothing."""
    states = apply_tickets(example)
    assert len({encode_state(state) for state in states}) == 5
    pools = Counter(vm.pool for vm in states[1].vms.values())
    assert pools == dict.fromkeys(states[1].pools, 6)


def test_budgets_survive_a_rack(example: ExampleFiles) -> None:
    """Guards against budgets that are violated when a rack fails during stops."""
    state = apply_tickets(example)[1]
    racks = Counter((vm.pool, vm.rack) for vm in state.vms.values())
    assert max(Counter(vm.rack for vm in state.vms.values()).values()) == 4
    for pool, budget in state.budgets.items():
        largest = max(count for key, count in racks.items() if key[0] == pool)
        left = 6 - budget.max_unavailable - largest
        assert left >= budget.min_available


@pytest.mark.parametrize(
    ("deployment", "base_port"), [("unknown", 30_000), ("coral-strand", 65_500)]
)
def test_impossible_example(tmp_path: Path, deployment: str, base_port: int) -> None:
    """Guards against files of an unknown deployment or with ports over 65535."""
    with pytest.raises(ValueError, match=r"not one of|no room"):
        write_example(deployment, tmp_path, base_port)
