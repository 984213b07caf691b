"""Tools that run the project's tests."""
