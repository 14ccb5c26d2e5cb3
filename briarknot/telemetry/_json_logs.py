"""Structured log lines on standard output, bounded and never blocking."""

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
#: Lines a second that a process may write for long. A gateway writes about
#: four lines for a request and takes up to a hundred requests a second.
LINES_PER_S = 400.0
#: Lines that it may write at once beyond that.
BURST_LINES = 2000.0
#: Bytes that wait while the reader of standard output is slow.
_BUFFER_BYTES = 512 * 1024
_LOGGER = logging.getLogger('briarknot')
_STDOUT_FD = 1


@attrs.define(eq=False)
class LogLineBuffer:
    """Lines that wait to be written, bounded in rate and size."""

    _fd: int
    _clock: typing.Callable[[], float] = time.monotonic
    _parts: bytearray = attrs.field(factory=bytearray)
    _tokens: float = BURST_LINES
    _at_s: float = 0
    _dropped: int = 0

    def add(self, line: bytes) -> None:
        """Adds a line, or drops it where a bound is reached.

        :param line: line without its end.
        """
        if not self._take_token():
            self._drop('rate')
        elif len(self._parts) + len(line) > _BUFFER_BYTES:
            self._drop('size')
        else:
            self._parts += line
            self._parts += b'\n'
            _LINES.inc()

    def flush(self) -> None:
        """Writes what the reader takes at once."""
        if self._dropped and len(self._parts) < _BUFFER_BYTES:
            self._parts += orjson.dumps(
                {'event': 'log_lines_dropped', 'lines': self._dropped}
            )
            self._parts += b'\n'
            self._dropped = 0
        while self._parts:
            try:
                written = os.write(self._fd, self._parts)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the counters still tell.
                self._drop('closed')
                self._parts.clear()
                return
            del self._parts[:written]

    def _drop(self, reason: str) -> None:
        self._dropped += 1
        _DROPPED.labels(reason).inc()

    def _take_token(self) -> bool:
        now = self._clock()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._at_s) * LINES_PER_S
        )
        self._at_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class JsonLogHandler(logging.Handler):
    """Turns log records into JSON lines."""

    def __init__(self, buffer: LogLineBuffer, host: str, program: str) -> None:
        """Makes a handler.

        :param buffer: takes the lines.
        :param host: name of the host.
        :param program: name of the program.
        """
        super().__init__()
        self._buffer = buffer
        self._common = {'host': host, 'program': program}

    def emit(self, record: logging.LogRecord) -> None:
        """Adds a record's line to the buffer."""
        fields: dict[str, typing.Any] = {
            'time': round(record.created, 3),
            'level': record.levelname.lower(),
            'event': record.getMessage(),
            **self._common,
            **getattr(record, 'fields', {}),
        }
        if record.exc_info:
            fields['traceback'] = logging.Formatter().formatException(
                record.exc_info
            )
        self._buffer.add(orjson.dumps(fields, default=str))


def set_up_json_logs(program: str, host: str) -> LogLineBuffer:
    """Sends all log records of the process to standard output as JSON lines.

    :param program: name of the program.
    :param host: name of the host.
    :returns: buffer that must be flushed again and again.
    """
    sys.stdout.flush()
    os.set_blocking(_STDOUT_FD, False)
    buffer = LogLineBuffer(_STDOUT_FD)
    root = logging.getLogger()
    root.handlers = [JsonLogHandler(buffer, host, program)]
    root.setLevel(logging.INFO)
    return buffer


def log_event(event: str, **fields: typing.Any) -> None:
    """Logs a decision or a change.

    :param event: what happened, from a small set.
    :param fields: inputs, their age or version, and the outcome.
    """
    _LOGGER.info(event, extra={'fields': fields})
