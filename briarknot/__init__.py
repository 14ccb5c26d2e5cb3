"""Serving system between callers and a fixed fleet of engines and services."""

__version__ = '0.1.0'
