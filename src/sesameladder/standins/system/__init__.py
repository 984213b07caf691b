"""Stand-in for the users' platform: its HTTP protocol for store, workers and VMs."""

from sesameladder.standins.system._server import SystemStandin
from sesameladder.standins.system._store import KeyValueStore
from sesameladder.standins.system._worker import SimulatedWorker, WorkerWork

__all__ = ["KeyValueStore", "SimulatedWorker", "SystemStandin", "WorkerWork"]
