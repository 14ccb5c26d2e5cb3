"""Counts of the requests of client accounts, and what is known of their reports.

The modules take and return values and import neither a transport nor an encoding.
"""

from briarknot.usage._clock import Clock, TrueClock, choose_clock
from briarknot.usage._counts import ChangeLog, Changes, Counts, Source
from briarknot.usage._receivers import Receivers
from briarknot.usage._state import Status, Usage, make_usage

__all__ = (
    'ChangeLog',
    'Changes',
    'Clock',
    'Counts',
    'Receivers',
    'Source',
    'Status',
    'TrueClock',
    'Usage',
    'choose_clock',
    'make_usage',
)
