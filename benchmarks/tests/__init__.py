"""Tests of the load scenarios."""
