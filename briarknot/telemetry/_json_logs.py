"""JSON log lines on standard output, bounded and non-blocking."""

import logging
import os
import sys
import time
import typing

import attrs
import orjson
import prometheus_client

_LINES = prometheus_client.Counter(
    'briarknot_log_lines', 'Log lines that were written.'
)
_DROPPED = prometheus_client.Counter(
    'briarknot_log_lines_dropped',
    'Log lines that were dropped, by reason.',
    ('reason',),
)
#: Sustained rate of log lines. A gateway writes about four lines per request
#: and serves up to a hundred requests per second.
_MAX_LINES_PER_S = 400.0
#: Lines of a burst beyond the sustained rate.
_MAX_BURST_LINES = 2000.0
#: Bytes buffered while the reader of standard output is slow.
_MAX_BUFFER_BYTES = 512 * 1024
_ROOT = logging.getLogger()
_LOGGER = logging.getLogger('briarknot')
_STDOUT_FD = 1


@attrs.define(eq=False)
class LogLineBuffer:
    """Lines that wait to be written, bounded in rate and size."""

    _fd: int
    _clock: typing.Callable[[], float] = time.monotonic
    _pending: bytearray = attrs.field(factory=bytearray)
    _tokens: float = _MAX_BURST_LINES
    _refilled_at_s: float = 0
    _dropped: int = 0

    def add(self, line: bytes) -> None:
        """Adds a line, or drops it if a limit is reached.

        :param line: line without its line break.
        """
        if not self._try_acquire_token():
            self._drop('rate')
        elif len(self._pending) + len(line) > _MAX_BUFFER_BYTES:
            self._drop('size')
        else:
            self._pending += line
            self._pending += b'\n'
            _LINES.inc()

    def flush(self) -> None:
        """Writes as much as the output accepts without blocking."""
        if self._dropped and len(self._pending) < _MAX_BUFFER_BYTES:
            self._pending += orjson.dumps(
                {'event': 'log_lines_dropped', 'lines': self._dropped}
            )
            self._pending += b'\n'
            self._dropped = 0
        while self._pending:
            try:
                written = os.write(self._fd, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed; the metrics still count dropped lines.
                self._drop('closed')
                self._pending.clear()
                return
            del self._pending[:written]

    def _drop(self, reason: str) -> None:
        self._dropped += 1
        _DROPPED.labels(reason).inc()

    def _try_acquire_token(self) -> bool:
        now = self._clock()
        self._tokens = min(
            _MAX_BURST_LINES,
            self._tokens + (now - self._refilled_at_s) * _MAX_LINES_PER_S,
        )
        self._refilled_at_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class JsonLogHandler(logging.Handler):
    """Turns log records into JSON lines."""

    def __init__(self, buffer: LogLineBuffer, host: str, program: str) -> None:
        """Makes a handler.

        :param buffer: buffer for the lines.
        :param host: name of the host.
        :param program: name of the program.
        """
        super().__init__()
        self._buffer = buffer
        self._common = {'host': host, 'program': program}

    def emit(self, record: logging.LogRecord) -> None:
        """Adds a record's line to the buffer."""
        fields = getattr(record, 'fields', {})
        if record.exc_info:
            error = logging.Formatter().formatException(record.exc_info)
            fields = {**fields, 'traceback': error}
        self.write(
            record.created,
            record.levelname.lower(),
            record.getMessage(),
            fields,
        )

    def write(
        self,
        created_s: float,
        level: str,
        event: str,
        fields: dict[str, typing.Any],
    ) -> None:
        """Adds a line to the buffer.

        :param created_s: time of the event by the system's clock.
        :param level: its level in lower case.
        :param event: what happened.
        :param fields: inputs and the outcome.
        """
        line = {
            'time': round(created_s, 3),
            'level': level,
            'event': event,
            **self._common,
            **fields,
        }
        self._buffer.add(orjson.dumps(line, default=str))


def set_up_json_logs(program: str, host: str) -> LogLineBuffer:
    """Sends all log records of the process to standard output as JSON lines.

    :param program: name of the program.
    :param host: name of the host.
    :returns: buffer that must be flushed periodically.
    """
    sys.stdout.flush()
    os.set_blocking(_STDOUT_FD, False)
    buffer = LogLineBuffer(_STDOUT_FD)
    _ROOT.handlers = [JsonLogHandler(buffer, host, program)]
    _ROOT.setLevel(logging.INFO)
    return buffer


def log_event(event: str, **fields: typing.Any) -> None:
    """Logs a decision or a change.

    :param event: what happened, from a small set.
    :param fields: inputs, their age or version, and the outcome.
    """
    handlers = _ROOT.handlers
    if len(handlers) == 1 and isinstance(handlers[0], JsonLogHandler):
        # The only reader of a log record would be this handler; making one takes
        # twice as long as writing the line.
        handlers[0].write(time.time(), 'info', event, fields)
    else:
        _LOGGER.info(event, extra={'fields': fields})
