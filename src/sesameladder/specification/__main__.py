"""Checks every protocol and prints its number of states, run time and results."""

import sys

from sesameladder.specification import PROTOCOLS, CheckResult, check


def main() -> int:
    """Check all protocols; returns 1 unless every property was shown to hold."""
    results = [check(build()) for build in PROTOCOLS.values()]
    for result in results:
        _print_result(result)
    state_count = sum(result.state_count for result in results)
    duration_s = sum(result.duration_s for result in results)
    print(f"{'total':<26}{state_count:>8} states {duration_s:>7.2f} s")
    return 0 if all(result.holds for result in results) else 1


def _print_result(result: CheckResult) -> None:
    print(
        f"{result.name:<26}{result.state_count:>8} states {result.duration_s:>7.2f} s"
    )
    for name, property_result in result.properties.items():
        verdict = {True: "holds", False: "BROKEN", None: "not determined"}[
            property_result.holds
        ]
        print(f"  {name:<38}{verdict}")
        for step in property_result.counterexample:
            print(f"    {step}")


if __name__ == "__main__":
    sys.exit(main())
