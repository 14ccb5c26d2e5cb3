"""Stand-in for a worker of the users' platform, with its published protocol."""

from briarknot_standins.worker._app import make_app
from briarknot_standins.worker._config import WorkerConfig

__all__ = ('WorkerConfig', 'make_app')
