"""Configuration replicas of all entry instances of a region."""

from dataclasses import dataclass, field

from sesameladder.configuration import ConfigurationReplica
from sesameladder.tickets import TicketLog, TicketLogUnavailable


@dataclass(slots=True)
class Replicas:
    """Replicas, which follow the store or catch up from a peer."""

    entries: dict[str, tuple[str, ...]]
    """Entry instances by zone."""

    log: TicketLog
    """Ticket log in the store."""

    replicas: dict[str, ConfigurationReplica] = field(default_factory=dict)
    """Replicas by instance."""

    def replace(self, instance: str) -> None:
        """Give an instance a new, empty replica."""
        self.replicas[instance] = ConfigurationReplica()

    def follow_store(self, partitioned_zones: set[str]) -> None:
        """Offer the store's tickets to the instances outside cut-off zones."""
        try:
            head = self.log.read_head().number
        except TicketLogUnavailable:
            return
        for zone, instances in self.entries.items():
            if zone not in partitioned_zones:
                for instance in instances:
                    self._offer_history(self.replicas[instance], head)

    def catch_up(self, instance: str, peer: str) -> int:
        """Offer a peer's tickets to an instance; returns its number afterwards."""
        replica, source = self.replicas[instance], self.replicas[peer]
        tickets = source.tickets_after(replica.number)
        if tickets is None:
            replica.offer_snapshot(source.number, source.build_snapshot())
        for ticket in tickets or []:
            replica.offer_bytes(ticket.number, ticket.raw, ticket.digest)
        assert replica.digest == source.digest
        return replica.number

    def describe_numbers(self) -> str:
        """Return the configuration numbers in force, by zone."""
        return ", ".join(
            f"{zone} {'/'.join(str(self.replicas[name].number) for name in names)}"
            for zone, names in self.entries.items()
        )

    def _offer_history(self, replica: ConfigurationReplica, head: int) -> None:
        if replica.number < head:
            start = replica.number + 1
            for ticket in self.log.list_history(start, head - replica.number):
                replica.offer_ticket(ticket.number, ticket, ticket.digest)
