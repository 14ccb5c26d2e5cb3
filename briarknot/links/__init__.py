"""Authenticated WebSockets between the processes of the system."""

from briarknot.links._detection import run_detector
from briarknot.links._hub import Hub, make_hub
from briarknot.links._limits import LinkLimits
from briarknot.links._link import Link

__all__ = ('Hub', 'Link', 'LinkLimits', 'make_hub', 'run_detector')
