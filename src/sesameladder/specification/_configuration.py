"""Configuration in effect on two instances, whose number never decreases.

A ``ConfigurationReplica`` decides about each offer. Tickets and snapshots are
offered in any order and repeatedly. An instance that restarts has lost its state.
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
    # Each ticket adds its own team, so a state shows which tickets were applied.
    team = f'"team-{number}": {{"weight": 1}}'
    document = (
        f'{{"number": {number}, "author": "a", "reason": "r", "teams": {{{team}}}}}'
    )
    return parse_ticket(document.encode())


TICKETS = {number: _build_ticket(number) for number in range(1, LAST_NUMBER + 1)}


class ReplicaState(NamedTuple):
    """State of the ticket log and the instances."""

    head: int = 0
    """Highest number of an accepted ticket; 0 before the first."""

    states: tuple[bytes, bytes] = (b"", b"")
    """Encoded state of each instance; empty before the first ticket."""

    highest_numbers: tuple[int, int] = (0, 0)
    """Highest number in effect on each instance since its start."""

    faults_stopped: bool = False
    """Whether faults have stopped."""

    def with_replica(
        self, instance: int, state: bytes, highest_number: int
    ) -> "ReplicaState":
        """Return the state with the replica of one instance replaced."""
        states, numbers = list(self.states), list(self.highest_numbers)
        states[instance] = state
        numbers[instance] = highest_number
        return self._replace(
            states=(states[0], states[1]), highest_numbers=(numbers[0], numbers[1])
        )


class ConfigurationProtocol:
    """The steps and faults of the protocol with one class of replica."""

    def __init__(self, replica_type: type[ConfigurationReplica]) -> None:
        self.replica_type = replica_type
        self.offer_ticket = cache(self._offer_ticket)
        self.offer_snapshot = cache(self._offer_snapshot)

    def build_replica(self, state: bytes) -> ConfigurationReplica:
        """Return a replica with the given encoded state."""
        replica = self.replica_type()
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
        """Return the acceptance of a ticket and every offer of a ticket or snapshot."""
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
        """Return restarts of an instance, which lose its state."""
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
    """Return the encoded state after the first ``number`` tickets."""
    replica = ConfigurationReplica()
    for ticket in list(TICKETS.values())[:number]:
        replica.offer_ticket(ticket.number, ticket, ticket.digest)
    return encode_state(replica.state)


@cache
def decode_number(state: bytes) -> int:
    """Return the number of an encoded state; 0 if it is empty."""
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
    replica_type: type[ConfigurationReplica] = ConfigurationReplica,
) -> minicheck.Protocol:
    """Return the protocol with the production replica or a broken variant."""
    protocol = ConfigurationProtocol(replica_type)
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
