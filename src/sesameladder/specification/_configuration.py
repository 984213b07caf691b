"""Configuration in force on two instances, which only moves forward.

The product's replica decides about each offer. Tickets and snapshots arrive
in any order, late and more than once; an instance restarts blank.
"""

from collections.abc import Iterator
from functools import cache
from typing import NamedTuple

import minicheck

from sesameladder.configuration import ConfigurationReplica
from sesameladder.specification._protocol import build_protocol
from sesameladder.tickets import Ticket, decode_state, encode_state, parse_ticket

LAST_NUMBER = 3
INSTANCES = (0, 1)


def _ticket(number: int) -> Ticket:
    # Each ticket adds a team of its own, so a state shows which it contains.
    team = f'"team-{number}": {{"weight": 1}}'
    form = f'{{"number": {number}, "author": "a", "reason": "r", "teams": {{{team}}}}}'
    return parse_ticket(form.encode())


TICKETS = {number: _ticket(number) for number in range(1, LAST_NUMBER + 1)}


class Replicas(NamedTuple):
    """A state of the ticket log and the instances."""

    head: int = 0
    """Highest accepted number."""

    state: tuple[bytes, bytes] = (b"", b"")
    """Folded state of each instance; empty before the first ticket."""

    highest: tuple[int, int] = (0, 0)
    """Highest number that each process has had in effect."""

    calm: bool = False
    """Whether faults have stopped."""

    def put(self, instance: int, state: bytes, highest: int) -> "Replicas":
        """Return the state with another replica."""
        states, numbers = list(self.state), list(self.highest)
        states[instance] = state
        numbers[instance] = highest
        return self._replace(
            state=(states[0], states[1]), highest=(numbers[0], numbers[1])
        )


class Replication:
    """The steps of the protocol with one class of replica."""

    def __init__(self, replica: type[ConfigurationReplica]) -> None:
        self.replica = replica
        self.offer_ticket = cache(self._offer_ticket)
        self.offer_snapshot = cache(self._offer_snapshot)

    def load(self, state: bytes) -> ConfigurationReplica:
        """Return a replica with a folded state."""
        replica = self.replica()
        if state:
            replica.offer_snapshot(number_of(state), state)
        return replica

    def _offer_ticket(self, state: bytes, number: int) -> bytes:
        replica = self.load(state)
        ticket = TICKETS[number]
        replica.offer_ticket(number, ticket, ticket.digest)
        return _dump(replica)

    def _offer_snapshot(self, state: bytes, number: int) -> bytes:
        replica = self.load(state)
        replica.offer_snapshot(number, folded(number))
        return _dump(replica)

    def steps(self, replicas: Replicas) -> Iterator[tuple[str, Replicas]]:
        """Return acceptance and every offer of an accepted ticket or snapshot."""
        if replicas.head < LAST_NUMBER:
            yield "a ticket is accepted", replicas._replace(head=replicas.head + 1)
        for instance in INSTANCES:
            for number in range(1, replicas.head + 1):
                state = self.offer_ticket(replicas.state[instance], number)
                after = self._apply(replicas, instance, state)
                yield f"instance {instance} is offered ticket {number}", after
                state = self.offer_snapshot(replicas.state[instance], number)
                after = self._apply(replicas, instance, state)
                yield f"instance {instance} is offered snapshot {number}", after

    def faults(self, replicas: Replicas) -> Iterator[tuple[str, Replicas]]:
        """Return the restarts of an instance without its state."""
        for instance in INSTANCES:
            yield f"instance {instance} restarts", replicas.put(instance, b"", 0)

    def _apply(self, replicas: Replicas, instance: int, state: bytes) -> Replicas:
        highest = max(replicas.highest[instance], number_of(state))
        return replicas.put(instance, state, highest)


@cache
def folded(number: int) -> bytes:
    """Return the state that the first tickets fold to, by the product's rule."""
    replica = ConfigurationReplica()
    for ticket in list(TICKETS.values())[:number]:
        replica.offer_ticket(ticket.number, ticket, ticket.digest)
    return encode_state(replica.state)


@cache
def number_of(state: bytes) -> int:
    """Return the number of a folded state."""
    return decode_state(state).number if state else 0


def _dump(replica: ConfigurationReplica) -> bytes:
    return encode_state(replica.state) if replica.number else b""


def _never_reverts(replicas: Replicas) -> bool:
    numbers = tuple(number_of(state) for state in replicas.state)
    return numbers == replicas.highest


def _same_number_same_state(replicas: Replicas) -> bool:
    return all(state == folded(number_of(state)) for state in replicas.state if state)


def build_configuration(
    replica: type[ConfigurationReplica] = ConfigurationReplica,
) -> minicheck.Protocol:
    """Return the protocol with the product's replica or a broken one."""
    replication = Replication(replica)
    return build_protocol(
        "configuration",
        Replicas(),
        replication.steps,
        replication.faults,
        {
            "P8_number_never_decreases": _never_reverts,
            "P8_same_number_same_state": _same_number_same_state,
        },
        lambda replicas: replicas.highest == (LAST_NUMBER, LAST_NUMBER),
    )
