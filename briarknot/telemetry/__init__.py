"""Logs, metrics, and traces."""

from briarknot.telemetry._logs import log_change, set_up_logs
from briarknot.telemetry._traces import (
    inject_context,
    make_span,
    set_up_traces,
    shut_down_traces,
)

__all__ = (
    'inject_context',
    'log_change',
    'make_span',
    'set_up_logs',
    'set_up_traces',
    'shut_down_traces',
)
