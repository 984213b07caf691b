"""Tests of the configuration replica and its relay rules."""
