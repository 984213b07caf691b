"""Shares of the VM's processor and link that the process uses."""

from dataclasses import dataclass
from time import process_time

from sesameladder.node._clock import read_steady_clock
from sesameladder.platform import TRAFFIC, Traffic

BYTES_PER_MEGABIT = 125_000.0


@dataclass(frozen=True, slots=True)
class VmSize:
    """Processor and link of a VM; 0 stands for an unknown size."""

    cores: float
    link_mbps: float


class VmLoadMeter:
    """Measures the shares used between two readings."""

    __slots__ = ("last_at", "last_bytes", "last_processor_s", "size", "traffic")

    def __init__(self, size: VmSize, traffic: Traffic = TRAFFIC) -> None:
        self.size = size
        self.traffic = traffic
        self.last_at = read_steady_clock()
        self.last_processor_s = process_time()
        self.last_bytes = traffic.bytes_sent, traffic.bytes_received

    def read(self) -> dict[str, float]:
        """Return what was used since the last reading.

        Fields: ``processor_s`` (seconds of processor time a second), ``sent_share``
        and ``received_share`` (of the link). Shares of an unknown size are 0.
        """
        now, processor_s = read_steady_clock(), process_time()
        sent, received = self.traffic.bytes_sent, self.traffic.bytes_received
        elapsed_s = max(now - self.last_at, 1e-3)
        link_bytes = self.size.link_mbps * BYTES_PER_MEGABIT * elapsed_s
        used = {
            "processor_s": (processor_s - self.last_processor_s) / elapsed_s,
            "sent_share": _divide(sent - self.last_bytes[0], link_bytes),
            "received_share": _divide(received - self.last_bytes[1], link_bytes),
        }
        self.last_at, self.last_processor_s = now, processor_s
        self.last_bytes = sent, received
        return {name: round(value, 3) for name, value in used.items()}


def _divide(used: float, whole: float) -> float:
    return used / whole if whole else 0.0
