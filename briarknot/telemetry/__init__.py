"""Logs, metrics, and traces."""

from briarknot import lazy
from briarknot.telemetry._json_logs import (
    JsonLogHandler,
    LogLineBuffer,
    log_event,
    set_up_json_logs,
)

#: Modules whose libraries the gateway, which writes JSON lines and exports no
#: spans, must not load at its start.
_MODULES = {
    '_logs': ('log_change', 'set_up_logs'),
    '_traces': (
        'inject_context',
        'make_span',
        'set_up_traces',
        'shut_down_traces',
    ),
}
__getattr__ = lazy.make_getattr(__name__, _MODULES)

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
