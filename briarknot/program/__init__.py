"""What all programs share: settings, admin port, and graceful shutdown."""

from briarknot.program._arguments import (
    BAD_SETTINGS_EXIT,
    Arguments,
    read_settings,
    run_program,
)
from briarknot.program._duties import keep_running
from briarknot.program._process import Process, make_process

__all__ = (
    'BAD_SETTINGS_EXIT',
    'Arguments',
    'Process',
    'keep_running',
    'make_process',
    'read_settings',
    'run_program',
)
