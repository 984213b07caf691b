"""Example settings and tickets of two deployments, and a function to write them."""

from sesameladder.settings.examples._writer import (
    DEPLOYMENTS,
    ExampleFiles,
    write_example,
)

__all__ = ["DEPLOYMENTS", "ExampleFiles", "write_example"]
