"""Fakes that several tests of the entry package use."""

from collections.abc import Callable
from typing import Any


class InlineExecutor:
    """Executor that runs each call immediately in the calling thread."""

    def submit(self, call: Callable[..., None], *arguments: Any) -> None:
        call(*arguments)
