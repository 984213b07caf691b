"""Runs pytest without the tests that KNOWN-RED.txt lists, and prints their ids.

An entry starts with a line ``test: <pytest node id>``. Lines with the command, the
seed, what was seen and the issue follow; they are ignored here.
"""

import sys
from pathlib import Path

import pytest

ENTRY_PREFIX = "test: "


def read_known_red(path: Path) -> list[str]:
    """Return the listed pytest node ids; none if the file does not exist."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    ]


def main(arguments: list[str]) -> int:
    """Run pytest without the listed tests; returns its exit code.

    The first argument is the path of the list, the others are passed to pytest.
    """
    node_ids = read_known_red(Path(arguments[0]))
    for node_id in node_ids:
        print(f"known to fail, not run: {node_id}")
    options = [f"--deselect={node_id}" for node_id in node_ids]
    return int(pytest.main([*options, *arguments[1:]]))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
