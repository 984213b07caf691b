"""Tests of the ticket log."""
