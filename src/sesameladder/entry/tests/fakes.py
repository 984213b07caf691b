"""Small fakes that several entry tests share."""

from collections.abc import Callable
from typing import Any


class InlineExecutor:
    """Runs each call at once, so that its effects come in order."""

    def submit(self, call: Callable[..., None], *arguments: Any) -> None:
        call(*arguments)
