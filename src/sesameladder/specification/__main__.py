"""Checks every protocol and prints its states and run time."""

import sys

from sesameladder.specification import PROTOCOLS, CheckResult, check


def main() -> int:
    """Check all protocols; returns 1 when a property does not hold."""
    results = [check(build()) for build in PROTOCOLS.values()]
    for result in results:
        _print(result)
    states = sum(result.states for result in results)
    seconds = sum(result.seconds for result in results)
    print(f"{'total':<26}{states:>8} states {seconds:>7.2f} s")
    return 0 if all(result.holds for result in results) else 1


def _print(result: CheckResult) -> None:
    print(f"{result.name:<26}{result.states:>8} states {result.seconds:>7.2f} s")
    for name, finding in result.findings.items():
        word = {True: "holds", False: "BROKEN", None: "not determined"}[finding.holds]
        print(f"  {name:<38}{word}")
        for step in finding.steps:
            print(f"    {step}")


if __name__ == "__main__":
    sys.exit(main())
