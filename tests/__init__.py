"""End-to-end tests of the whole product."""
