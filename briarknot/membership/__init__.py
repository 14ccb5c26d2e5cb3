"""Failure detection of the entry hosts, and incarnation numbers."""

from briarknot.membership import _platform_list, _random_probe, _ring
from briarknot.membership._actions import Actions, Broadcast, Message, Send
from briarknot.membership._detectors import (
    DEFAULT_DETECTOR,
    DETECTORS,
    Detector,
    DetectorTimes,
    make_detector,
)
from briarknot.membership._incarnation import make_incarnation
from briarknot.membership._members import (
    ListedHost,
    Member,
    Members,
    make_members,
)
from briarknot.membership._pause import PauseDetector, make_pause_detector

__all__ = (
    'Actions',
    'DEFAULT_DETECTOR',
    'DETECTORS',
    'Broadcast',
    'Detector',
    'DetectorTimes',
    'ListedHost',
    'Member',
    'Members',
    'Message',
    'PauseDetector',
    'Send',
    'make_detector',
    'make_incarnation',
    'make_members',
    'make_pause_detector',
)

# Importing a detector registers it.
_REGISTERED = (_platform_list, _random_probe, _ring)
