"""Tests with the real programs as separate processes."""
