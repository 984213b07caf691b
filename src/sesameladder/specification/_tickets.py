"""Acceptance of numbered tickets with lost answers and racing operators.

Two filers each file their own ticket under the next number, by one
conditional write of the head. ``sesameladder.tickets`` follows these rules;
a state machine in the tests compares the two step by step.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import minicheck

from sesameladder.specification._protocol import build_protocol

FILERS = (0, 1)
NUMBERS = 2


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules that a broken variant leaves out."""

    compares_revision: bool = True
    """The head is written only where the filer has read it."""

    settles_lost_answers: bool = True
    """A write without an answer is sent again until the head tells its fate."""


class Filing(NamedTuple):
    """A state of the log and the filers."""

    accepted: tuple[int, ...] = ()
    """Filer of each accepted ticket, by number."""

    doing: tuple[str, str] = ("idle", "idle")
    """For each filer: idle, ready, unsure, accepted, lost-race or not-filed."""

    number: tuple[int, int] = (0, 0)
    """Accepted tickets when the filer read the head."""

    flying: frozenset[tuple[int, int]] = frozenset()
    """Writes (filer, number) without an answer that may take effect."""

    calm: bool = False
    """Whether faults have stopped."""

    def put(self, filer: int, doing: str, number: int | None = None) -> "Filing":
        """Return the state with another progress of a filer."""
        words, numbers = list(self.doing), list(self.number)
        words[filer] = doing
        numbers[filer] = numbers[filer] if number is None else number
        return self._replace(
            doing=(words[0], words[1]), number=(numbers[0], numbers[1])
        )


class Acceptance:
    """The steps of the protocol under given rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def steps(self, log: Filing) -> Iterator[tuple[str, Filing]]:
        """Return reads, writes and read-backs."""
        for filer in FILERS:
            doing, number = log.doing[filer], log.number[filer]
            if doing == "idle" and len(log.accepted) < NUMBERS:
                read = log.put(filer, "ready", len(log.accepted))
                yield f"filer {filer} reads the head", read
            if doing == "ready":
                written = self._write(log, filer, number)
                yield f"filer {filer} writes", _judge(written, filer)
            if doing == "unsure":
                yield f"filer {filer} settles", self._settle(log, filer)
        for filer, number in sorted(log.flying):
            landed = log._replace(flying=log.flying - {(filer, number)})
            landed = self._write(landed, filer, number)
            yield f"a late write of filer {filer} arrives", landed

    def faults(self, log: Filing) -> Iterator[tuple[str, Filing]]:
        """Return writes whose answers are lost."""
        for filer in FILERS:
            if log.doing[filer] == "ready":
                number = log.number[filer]
                unsure = log.put(filer, "unsure")
                lost = self._write(unsure, filer, number)
                yield f"filer {filer} writes, answer lost", lost
                late = unsure._replace(flying=log.flying | {(filer, number)})
                yield f"filer {filer} writes, write late", late

    def _write(self, log: Filing, filer: int, number: int) -> Filing:
        if len(log.accepted) == number:
            return log._replace(accepted=(*log.accepted, filer))
        if self.rules.compares_revision:
            return log
        return log._replace(accepted=(*log.accepted[:number], filer))

    def _settle(self, log: Filing, filer: int) -> Filing:
        if len(log.accepted) > log.number[filer]:
            return _judge(log, filer)
        if not self.rules.settles_lost_answers:
            return log.put(filer, "not-filed")
        return _judge(self._write(log, filer, log.number[filer]), filer)


def _judge(log: Filing, filer: int) -> Filing:
    winner = log.accepted[log.number[filer]]
    return log.put(filer, "accepted" if winner == filer else "lost-race")


def _accepted_stays(log: Filing) -> bool:
    return all(
        log.accepted[log.number[filer] :][:1] == (filer,)
        for filer in FILERS
        if log.doing[filer] == "accepted"
    )


def _refused_never_counts(log: Filing) -> bool:
    return all(
        filer not in log.accepted
        for filer in FILERS
        if log.doing[filer] in ("lost-race", "not-filed")
    )


def build_tickets(rules: Rules | None = None) -> minicheck.Protocol:
    """Return the protocol under the rules of the ticket log or a broken variant."""
    acceptance = Acceptance(rules or Rules())
    ended = {"accepted", "lost-race", "not-filed"}
    return build_protocol(
        "tickets",
        Filing(),
        acceptance.steps,
        acceptance.faults,
        {
            "P8_accepted_ticket_stays": _accepted_stays,
            "P8_refused_ticket_never_counts": _refused_never_counts,
        },
        lambda log: set(log.doing) <= ended,
    )
