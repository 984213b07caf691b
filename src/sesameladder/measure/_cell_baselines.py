"""Reference schedules of a trace on identical slots."""

import heapq
from bisect import insort

from sesameladder.measure._trace import TraceRequest


def run_first_in_first_out(trace: list[TraceRequest], slots: int) -> list[float]:
    """Return completion times in seconds, by request number, without preemption."""
    free_at = [0.0] * slots
    ends = []
    for request in trace:
        start = max(request.arrival_s, heapq.heappop(free_at))
        ends.append(start + request.run_s)
        heapq.heappush(free_at, ends[-1])
    return ends


def run_shortest_remaining_first(trace: list[TraceRequest], slots: int) -> list[float]:
    """Return completion times in seconds, by request number, for known run times.

    Requests are preempted and resumed at no cost. A real dispatcher knows neither the
    run times nor free preemption, so the result bounds the wait of short work.
    """
    return _PreemptiveRun(slots).run(trace)


class _PreemptiveRun:
    __slots__ = ("ends", "running", "slots", "waiting")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running: list[tuple[float, int]] = []
        self.waiting: list[tuple[float, int]] = []
        self.ends: dict[int, float] = {}

    def run(self, trace: list[TraceRequest]) -> list[float]:
        for request in trace:
            self._complete_until(request.arrival_s)
            self._start_or_queue(request)
        self._complete_until(float("inf"))
        return [self.ends[request.number] for request in trace]

    def _complete_until(self, time: float) -> None:
        while self.running and self.running[0][0] <= time:
            end, number = self.running.pop(0)
            self.ends[number] = end
            if self.waiting:
                remaining, next_number = heapq.heappop(self.waiting)
                insort(self.running, (end + remaining, next_number))

    def _start_or_queue(self, request: TraceRequest) -> None:
        now = request.arrival_s
        end = now + request.run_s
        if len(self.running) < self.slots:
            insort(self.running, (end, request.number))
        elif self.running[-1][0] > end:
            longest_end, number = self.running.pop()
            heapq.heappush(self.waiting, (longest_end - now, number))
            insort(self.running, (end, request.number))
        else:
            heapq.heappush(self.waiting, (request.run_s, request.number))
