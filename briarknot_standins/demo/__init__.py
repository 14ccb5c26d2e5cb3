"""Demonstrates a fleet of the programs on stand-in engines and services."""
