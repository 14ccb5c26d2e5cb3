"""Tests the limits that workers in need name in their answers."""

import logging
import time

import pytest

from briarknot import schema
from briarknot.gateway.tests import _support

_ROUTE = _support.make_route(schema.serving.RequestKind.IDEMPOTENT)


async def read_limit(*headers):
    """Returns the limit known after answers with these headers."""
    replies = [
        _support.make_reply(200, 'x', f'{_support.SEAL}{header or "X-Own: 1"}')
        for header in headers
    ]
    worker = _support.ScriptedWorker(replies)
    async with _support.open_gateway(_ROUTE, worker) as gateway:
        for _ in headers:
            status, _, _ = await gateway.send('GET')
            assert status == 200
        permits = gateway.context.permits
        return permits.get_limit(worker.entry, time.monotonic())


@pytest.mark.parametrize(
    ('header', 'limit'),
    [('Server-Limit: 2.5', 2.5), ('Server-Limit: 0', 0), ('', None)],
)
async def test_limit_is_read_from_an_answer(header, limit, caplog):
    """Gateways did not read the limit, and log lines did not show it."""
    caplog.set_level(logging.INFO)
    assert await read_limit(header) == limit
    assert ('worker_limit_changed' in caplog.messages) == (limit is not None)


@pytest.mark.parametrize('text', ['many', '-1', 'nan', 'inf'])
async def test_malformed_limit_is_logged_and_changes_nothing(text, caplog):
    """An unreadable limit ended the one that the worker had named."""
    caplog.set_level(logging.INFO)
    assert await read_limit('Server-Limit: 3', f'Server-Limit: {text}') == 3
    assert 'limit_malformed' in caplog.messages
