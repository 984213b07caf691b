"""Arithmetic of amounts, and comparisons in the resources that a cap limits."""

from sesameladder.organisations._model import Amounts

NOTHING = Amounts()


def add(first: Amounts, second: Amounts) -> Amounts:
    """Return the sum."""
    return Amounts(
        first.cpu_millis + second.cpu_millis,
        first.memory_mb + second.memory_mb,
        first.gpus + second.gpus,
    )


def subtract(first: Amounts, second: Amounts) -> Amounts:
    """Return the difference, with 0 for what would be negative."""
    return Amounts(
        max(0, first.cpu_millis - second.cpu_millis),
        max(0, first.memory_mb - second.memory_mb),
        max(0, first.gpus - second.gpus),
    )


def multiply(amounts: Amounts, factor: int) -> Amounts:
    """Return a multiple."""
    return Amounts(
        amounts.cpu_millis * factor, amounts.memory_mb * factor, amounts.gpus * factor
    )


def divide(amounts: Amounts, divisor: int) -> Amounts:
    """Return a share, rounded down."""
    return Amounts(
        amounts.cpu_millis // divisor,
        amounts.memory_mb // divisor,
        amounts.gpus // divisor,
    )


def highest(first: Amounts, second: Amounts) -> Amounts:
    """Return the higher amount of each resource."""
    return Amounts(
        max(first.cpu_millis, second.cpu_millis),
        max(first.memory_mb, second.memory_mb),
        max(first.gpus, second.gpus),
    )


def lowest(first: Amounts, second: Amounts) -> Amounts:
    """Return the lower amount of each resource."""
    return Amounts(
        min(first.cpu_millis, second.cpu_millis),
        min(first.memory_mb, second.memory_mb),
        min(first.gpus, second.gpus),
    )


def round_up(amounts: Amounts, step: Amounts) -> Amounts:
    """Return the next multiples of a step."""
    return Amounts(
        _round_up(amounts.cpu_millis, step.cpu_millis),
        _round_up(amounts.memory_mb, step.memory_mb),
        _round_up(amounts.gpus, step.gpus),
    )


def keep_limited(amounts: Amounts, cap: Amounts) -> Amounts:
    """Return the amounts of the resources that a cap limits, and 0 for the others."""
    return Amounts(
        amounts.cpu_millis if cap.cpu_millis else 0,
        amounts.memory_mb if cap.memory_mb else 0,
        amounts.gpus if cap.gpus else 0,
    )


def is_within(amounts: Amounts, limit: Amounts) -> bool:
    """Return whether no amount exceeds its limit; 0 is a limit too."""
    return (
        amounts.cpu_millis <= limit.cpu_millis
        and amounts.memory_mb <= limit.memory_mb
        and amounts.gpus <= limit.gpus
    )


def exceeds_cap(amounts: Amounts, cap: Amounts) -> bool:
    """Return whether an amount exceeds a cap, of which 0 stands for no limit."""
    return not is_within(keep_limited(amounts, cap), cap)


def _round_up(amount: int, step: int) -> int:
    return -(-amount // step) * step if step else amount
