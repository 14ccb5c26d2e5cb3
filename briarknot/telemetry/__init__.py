"""Logs, metrics, and traces."""

from briarknot.telemetry._json_logs import (
    JsonLogHandler,
    LogLineBuffer,
    log_event,
    set_up_json_logs,
)
from briarknot.telemetry._logs import log_change, set_up_logs
from briarknot.telemetry._traces import (
    inject_context,
    make_span,
    set_up_traces,
    shut_down_traces,
)

__all__ = (
    'JsonLogHandler',
    'LogLineBuffer',
    'inject_context',
    'log_change',
    'log_event',
    'make_span',
    'set_up_json_logs',
    'set_up_logs',
    'set_up_traces',
    'shut_down_traces',
)
