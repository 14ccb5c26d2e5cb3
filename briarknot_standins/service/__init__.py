"""Stand-in for a plain service, with its HTTP interface."""

from briarknot_standins.service._app import exit_process, make_app
from briarknot_standins.service._config import Faults, ServiceConfig
from briarknot_standins.service._runs import expected_answer

__all__ = (
    'Faults',
    'ServiceConfig',
    'exit_process',
    'expected_answer',
    'make_app',
)
