"""Code that all programs share: settings, admin port, graceful shutdown."""

from briarknot.program._background_tasks import run_background_task
from briarknot.program._process import Process, make_process
from briarknot.program._settings import BAD_SETTINGS_EXIT, read_settings
from briarknot.program._signals import Signal

__all__ = (
    'BAD_SETTINGS_EXIT',
    'Process',
    'Signal',
    'make_process',
    'read_settings',
    'run_background_task',
)
