"""Tests of endpoint choice."""
