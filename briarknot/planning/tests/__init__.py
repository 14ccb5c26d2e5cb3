"""Tests of role planning."""
