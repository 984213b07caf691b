"""Example settings and tickets of two deployments, with a writer for trials."""

from sesameladder.settings.examples._writer import (
    DEPLOYMENTS,
    ExampleFiles,
    write_example,
)

__all__ = ["DEPLOYMENTS", "ExampleFiles", "write_example"]
