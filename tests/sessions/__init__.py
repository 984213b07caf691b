"""Tests of a simulated day against golden files."""
