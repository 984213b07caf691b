"""Errors of the settings reader."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One reason why a settings file is refused."""

    file: str
    """Path of the settings file as it was given."""

    key: str
    """Path of the key inside the file, for example ``regions[0].zones``."""

    value: str
    """Rejected value as shortened JSON; empty when there is none."""

    message: str
    """What is wrong with the value or file."""

    remedy: str
    """What is accepted instead."""

    line: int | None = None
    """Line of the file, counted from 1, when the parser reports it."""

    def __str__(self) -> str:
        place = self.file if self.line is None else f"{self.file}:{self.line}"
        subject = f"{self.key} = {self.value}" if self.value else self.key
        parts = [place, subject, f"{self.message}; {self.remedy}"]
        return ": ".join(part for part in parts if part)


class SettingsInvalid(Exception):
    """A settings file was refused; carries every problem that was found."""

    def __init__(self, problems: list[SettingsProblem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems
