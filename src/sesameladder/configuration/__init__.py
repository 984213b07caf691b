"""Replicates the configuration to instances and keeps each replica up to date."""

from sesameladder.configuration._outcomes import (
    Applied,
    Conflicting,
    Gap,
    Malformed,
    OfferOutcome,
    Stale,
)
from sesameladder.configuration._poll import PollSchedule
from sesameladder.configuration._recent import RecentTicket
from sesameladder.configuration._relay import Pull, RelayRules
from sesameladder.configuration._rendezvous import rank_members
from sesameladder.configuration._replica import ConfigurationReplica
from sesameladder.configuration._transfers import (
    RateLimited,
    SendSnapshot,
    SendTickets,
    Transfer,
)

__all__ = [
    "Applied",
    "ConfigurationReplica",
    "Conflicting",
    "Gap",
    "Malformed",
    "OfferOutcome",
    "PollSchedule",
    "Pull",
    "RateLimited",
    "RecentTicket",
    "RelayRules",
    "SendSnapshot",
    "SendTickets",
    "Stale",
    "Transfer",
    "rank_members",
]
