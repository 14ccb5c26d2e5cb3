"""Reads, checks, and compares settings and fleet documents."""

from briarknot.document import _fleet_checks as _registered_checks
from briarknot.document._checks import CHECKS
from briarknot.document._diff import Change, compare
from briarknot.document._edit import edit_text
from briarknot.document._findings import Finding, Position, sort_findings
from briarknot.document._reader import ReadResult, read_text
from briarknot.document._writer import write_text

FLEET_CHECKS = _registered_checks.NAMES

__all__ = (
    'CHECKS',
    'FLEET_CHECKS',
    'Change',
    'Finding',
    'Position',
    'ReadResult',
    'compare',
    'edit_text',
    'read_text',
    'sort_findings',
    'write_text',
)
