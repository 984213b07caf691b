"""Transcripts of a simulated day match the golden files."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from sesameladder.settings.examples import DEPLOYMENTS
from tests.sessions._script import run_day

GOLDEN = Path(__file__).parent / "golden"
ROOT = Path(__file__).parents[2]
PRINT_DAY = (
    "import sys; from tests.sessions._script import run_day; "
    "sys.stdout.write(run_day(sys.argv[1]))"
)


@pytest.mark.parametrize("deployment", sorted(DEPLOYMENTS))
def test_golden_day(deployment: str) -> None:
    """Guards against unintended changes in the events of a deployment's day."""
    path = GOLDEN / f"{deployment}.txt"
    transcript = run_day(deployment)
    if os.environ.get("SESAMELADDER_REGENERATE_GOLDEN") == "1":
        path.write_text(transcript, "utf-8")
    assert transcript == path.read_text("utf-8")


@pytest.mark.parametrize("deployment", sorted(DEPLOYMENTS))
def test_golden_day_under_other_hash_seeds(deployment: str) -> None:
    """Guards against decisions that depend on the order of a set."""
    first, second = (print_day(deployment, seed) for seed in ("1", "2"))
    assert first == second


def print_day(deployment: str, hash_seed: str) -> str:
    """Run a day in a separate process; returns the transcript."""
    search_path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    environment = os.environ | {
        "PYTHONHASHSEED": hash_seed,
        "PYTHONPATH": search_path,
    }
    command = [sys.executable, "-c", PRINT_DAY, deployment]
    result = subprocess.run(
        command, env=environment, check=True, capture_output=True, text=True
    )
    return result.stdout
