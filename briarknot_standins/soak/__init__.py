"""Randomized fault soak of the gateway programs on one machine.

The soak starts the real programs and stand-ins as processes, injects faults
through a loopback proxy and by signals, and checks the answers that clients
received against the requests that workers ran.
"""

from briarknot_standins.soak._config import SoakConfig
from briarknot_standins.soak._run import run_soak

__all__ = ('SoakConfig', 'run_soak')
