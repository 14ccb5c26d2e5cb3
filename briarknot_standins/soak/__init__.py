"""Randomized fault soak of the gateway programs on one machine.

The soak starts the real programs and stand-ins as processes, injects faults
from outside by a loopback proxy and by signals, and checks what clients and
workers have seen.
"""

from briarknot_standins.soak._config import SoakConfig
from briarknot_standins.soak._run import run_soak

__all__ = ('SoakConfig', 'run_soak')
