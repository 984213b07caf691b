"""Stand-in for the users' platform: its HTTP protocol for store, workers and VMs."""

from sesameladder.standins.system._server import SystemStandin
from sesameladder.standins.system._store import KeyValueStore
from sesameladder.standins.system._worker import SimulatedWork, SimulatedWorker

__all__ = ["KeyValueStore", "SimulatedWork", "SimulatedWorker", "SystemStandin"]
