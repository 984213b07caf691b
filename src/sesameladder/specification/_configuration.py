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


def _build_ticket(number: int) -> Ticket:
    # Each ticket adds a team of its own, so a state shows which it contains.
    team = f'"team-{number}": {{"weight": 1}}'
    document = (
        f'{{"number": {number}, "author": "a", "reason": "r", "teams": {{{team}}}}}'
    )
    return parse_ticket(document.encode())


TICKETS = {number: _build_ticket(number) for number in range(1, LAST_NUMBER + 1)}


class ReplicaState(NamedTuple):
    """A state of the ticket log and the instances."""

    head: int = 0
    """Highest accepted number."""

    states: tuple[bytes, bytes] = (b"", b"")
    """Folded state of each instance; empty before the first ticket."""

    highest_numbers: tuple[int, int] = (0, 0)
    """Highest number that each process has had in effect."""

    faults_stopped: bool = False
    """Whether faults have stopped."""

    def with_replica(
        self, instance: int, state: bytes, highest_number: int
    ) -> "ReplicaState":
        """Return the state with another replica."""
        states, numbers = list(self.states), list(self.highest_numbers)
        states[instance] = state
        numbers[instance] = highest_number
        return self._replace(
            states=(states[0], states[1]), highest_numbers=(numbers[0], numbers[1])
        )


class ConfigurationProtocol:
    """The steps of the protocol with one class of replica."""

    def __init__(self, replica: type[ConfigurationReplica]) -> None:
        self.replica = replica
        self.offer_ticket = cache(self._offer_ticket)
        self.offer_snapshot = cache(self._offer_snapshot)

    def build_replica(self, state: bytes) -> ConfigurationReplica:
        """Return a replica with a folded state."""
        replica = self.replica()
        if state:
            replica.offer_snapshot(decode_number(state), state)
        return replica

    def _offer_ticket(self, state: bytes, number: int) -> bytes:
        replica = self.build_replica(state)
        ticket = TICKETS[number]
        replica.offer_ticket(number, ticket, ticket.digest)
        return _encode_replica(replica)

    def _offer_snapshot(self, state: bytes, number: int) -> bytes:
        replica = self.build_replica(state)
        replica.offer_snapshot(number, encode_state_after(number))
        return _encode_replica(replica)

    def steps(self, replicas: ReplicaState) -> Iterator[tuple[str, ReplicaState]]:
        """Return acceptance and every offer of an accepted ticket or snapshot."""
        if replicas.head < LAST_NUMBER:
            yield "a ticket is accepted", replicas._replace(head=replicas.head + 1)
        for instance in INSTANCES:
            for number in range(1, replicas.head + 1):
                state = self.offer_ticket(replicas.states[instance], number)
                after = self._update_replica(replicas, instance, state)
                yield f"instance {instance} is offered ticket {number}", after
                state = self.offer_snapshot(replicas.states[instance], number)
                after = self._update_replica(replicas, instance, state)
                yield f"instance {instance} is offered snapshot {number}", after

    def faults(self, replicas: ReplicaState) -> Iterator[tuple[str, ReplicaState]]:
        """Return the restarts of an instance without its state."""
        for instance in INSTANCES:
            yield (
                f"instance {instance} restarts",
                replicas.with_replica(instance, b"", 0),
            )

    def _update_replica(
        self, replicas: ReplicaState, instance: int, state: bytes
    ) -> ReplicaState:
        highest_number = max(replicas.highest_numbers[instance], decode_number(state))
        return replicas.with_replica(instance, state, highest_number)


@cache
def encode_state_after(number: int) -> bytes:
    """Return the state that the first tickets fold to, by the product's rule."""
    replica = ConfigurationReplica()
    for ticket in list(TICKETS.values())[:number]:
        replica.offer_ticket(ticket.number, ticket, ticket.digest)
    return encode_state(replica.state)


@cache
def decode_number(state: bytes) -> int:
    """Return the number of a folded state."""
    return decode_state(state).number if state else 0


def _encode_replica(replica: ConfigurationReplica) -> bytes:
    return encode_state(replica.state) if replica.number else b""


def _number_never_decreases(replicas: ReplicaState) -> bool:
    numbers = tuple(decode_number(state) for state in replicas.states)
    return numbers == replicas.highest_numbers


def _same_number_same_state(replicas: ReplicaState) -> bool:
    return all(
        state == encode_state_after(decode_number(state))
        for state in replicas.states
        if state
    )


def build_configuration(
    replica: type[ConfigurationReplica] = ConfigurationReplica,
) -> minicheck.Protocol:
    """Return the protocol with the product's replica or a broken one."""
    protocol = ConfigurationProtocol(replica)
    return build_protocol(
        "configuration",
        ReplicaState(),
        protocol.steps,
        protocol.faults,
        {
            "P8_number_never_decreases": _number_never_decreases,
            "P8_same_number_same_state": _same_number_same_state,
        },
        lambda replicas: replicas.highest_numbers == (LAST_NUMBER, LAST_NUMBER),
    )
