"""Tests of the whole product."""
