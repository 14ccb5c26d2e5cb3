"""What all programs share: settings, admin port, and graceful shutdown."""

from briarknot.program._duties import keep_running
from briarknot.program._process import Process, make_process
from briarknot.program._settings import BAD_SETTINGS_EXIT, read_settings

__all__ = (
    'BAD_SETTINGS_EXIT',
    'Process',
    'keep_running',
    'make_process',
    'read_settings',
)
