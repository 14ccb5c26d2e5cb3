"""Tests of the package beside this folder."""
