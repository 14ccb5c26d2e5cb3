"""Stand-in for the platform, with the interface of section 6.4."""

from briarknot_standins.platform._app import make_app
from briarknot_standins.platform._config import Faults, PlatformConfig

__all__ = ('Faults', 'PlatformConfig', 'make_app')
