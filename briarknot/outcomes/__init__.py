"""Outcomes of requests, and causes of refusals and failures."""

from briarknot.outcomes._causes import Cause, CauseInfo, get_cause_info
from briarknot.outcomes._outcomes import Outcome, Refusal, make_refusal

__all__ = (
    'Cause',
    'CauseInfo',
    'Outcome',
    'Refusal',
    'get_cause_info',
    'make_refusal',
)
