"""Support for running the project's checks."""
