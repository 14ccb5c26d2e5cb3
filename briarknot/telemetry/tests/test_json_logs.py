"""Guards the rate and size limits of log lines."""

import logging
import os

import orjson

from briarknot import telemetry


def test_lines_above_the_rate_are_dropped_and_counted():
    """A burst of requests would spend processor time on logs."""
    reader, writer = os.pipe()
    buffer = telemetry.LogLineBuffer(writer, clock=float)
    for number in range(5000):
        buffer.add(orjson.dumps({'n': number}))
    buffer.flush()
    os.close(writer)
    with os.fdopen(reader, 'rb') as output:
        lines = [orjson.loads(line) for line in output]
    assert lines[-1]['event'] == 'log_lines_dropped'
    assert lines[-1]['lines'] + len(lines) - 1 == 5000


def test_full_pipe_does_not_block():
    """A collector that stops reading would block the process."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    seconds = iter(range(10**6))
    buffer = telemetry.LogLineBuffer(writer, clock=lambda: next(seconds))
    for _ in range(3000):
        buffer.add(b'x' * 1000)
        buffer.flush()
    os.close(reader)
    os.close(writer)


def test_closed_output_is_not_an_error():
    """A collector that exits would end the process."""
    reader, writer = os.pipe()
    os.close(reader)
    buffer = telemetry.LogLineBuffer(writer)
    buffer.add(b'line')
    buffer.flush()
    os.close(writer)


def test_event_has_the_same_line_with_and_without_other_handlers(monkeypatch):
    """Log collectors would lose lines whose fields or level changed."""
    reader, writer = os.pipe()
    buffer = telemetry.LogLineBuffer(writer)
    handler = telemetry.JsonLogHandler(buffer, 'h', 'p')
    root = logging.getLogger()
    monkeypatch.setattr(root, 'level', logging.INFO)
    for handlers in ([handler], [handler, logging.NullHandler()]):
        monkeypatch.setattr(root, 'handlers', handlers)
        telemetry.log_event('happened', request='q', reason=ValueError('x'))
    buffer.flush()
    os.close(writer)
    with os.fdopen(reader, 'rb') as output:
        first, second = [orjson.loads(line) for line in output]
    assert abs(first.pop('time') - second.pop('time')) < 60
    assert list(first) == list(second)
    assert first == second
    assert first == {
        'level': 'info',
        'event': 'happened',
        'host': 'h',
        'program': 'p',
        'request': 'q',
        'reason': 'x',
    }
