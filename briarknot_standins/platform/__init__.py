"""Stand-in for the platform's store, with its published protocol."""

from briarknot_standins.platform._app import make_app
from briarknot_standins.platform._config import Faults, PlatformConfig

__all__ = ('Faults', 'PlatformConfig', 'make_app')
