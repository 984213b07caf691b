"""State dump of a dispatcher for diagnosis."""

from sesameladder.dispatch._cell import CellState
from sesameladder.dispatch._types import WorkClass
from sesameladder.dispatch._workers import Worker


def dump_cell(cell: CellState, granted: int, handed_over: bool) -> dict[str, object]:
    """Return a cell's state as a JSON object; the median run time in milliseconds."""
    return {
        "granted": granted,
        "handed_over": handed_over,
        "serving_slots": cell.workers.serving_slots,
        "outstanding": len(cell.grants),
        "long_held": cell.grants.long_held(),
        "waiting": {str(name): cell.queue.count(name) for name in WorkClass},
        "held_by_team": dict(sorted(cell.grants.held_by_team.items())),
        "retry_tokens": round(cell.retry_budget.tokens, 3),
        "median_run_ms": cell.estimates.cell_median_ms(),
        "workers": [
            dump_worker(cell, worker)
            for _, worker in sorted(cell.workers.by_vm.items())
        ],
    }


def dump_worker(cell: CellState, worker: Worker) -> dict[str, object]:
    """Return a worker's state as a JSON object."""
    history = cell.outliers.histories.get(worker.spec.vm)
    return {
        "vm": worker.spec.vm,
        "rack": worker.spec.rack,
        "slots": worker.spec.slots,
        "held": worker.held,
        "unknown": worker.unknown_tasks,
        "listed": worker.listed,
        "recovered": worker.has_task_report,
        "ejected": worker.ejected,
        "leaving": cell.leaving.sources(worker.spec.vm),
        "failures_in_a_row": history.consecutive_failures if history else 0,
    }
