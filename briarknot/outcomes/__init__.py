"""Outcomes of requests and the closed list of causes."""

from briarknot.outcomes._causes import Cause, CauseInfo, read_cause_info
from briarknot.outcomes._outcomes import Outcome, Refusal, make_refusal

__all__ = (
    'Cause',
    'CauseInfo',
    'Outcome',
    'Refusal',
    'make_refusal',
    'read_cause_info',
)
