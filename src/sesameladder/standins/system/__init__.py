"""Stand-in of the users' platform: store, workers and VM list on its own wire."""

from sesameladder.standins.system._server import SystemStandin
from sesameladder.standins.system._store import KeyValueStore
from sesameladder.standins.system._worker import SimulatedWorker, WorkerWork

__all__ = ["KeyValueStore", "SimulatedWorker", "SystemStandin", "WorkerWork"]
