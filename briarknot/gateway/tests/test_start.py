"""Tests that clients wait during the start of a gateway."""

import asyncio
import gc
import importlib
import socket
import types

from briarknot import schema
from briarknot.gateway import service
from briarknot.gateway.tests import _support

_Kind = schema.serving.RequestKind


def test_clients_are_accepted_before_the_program_is_loaded(monkeypatch):
    """Connections were refused while a restarted host imported its modules."""
    seen = []
    port = _support.find_port()
    monkeypatch.setenv(service.SETTINGS_VARIABLE, '/settings')
    monkeypatch.setenv(service.ADDRESS_VARIABLE, f'127.0.0.1:{port}')

    def load(name):
        with socket.create_connection(('127.0.0.1', port), timeout=5):
            seen.append(name)
        return types.SimpleNamespace(run=lambda path, listener: listener)

    monkeypatch.setattr(importlib, 'import_module', load)
    try:
        service.main()
    finally:
        # What is frozen is hidden from tests that list all objects.
        gc.unfreeze()
    assert seen == ['briarknot.gateway._gateway']


async def test_request_waits_for_the_first_manifest():
    """A refusal during a start used up the only retry of a client."""
    worker = _support.ScriptedWorker(
        [_support.make_reply(200, 'done', 'Server-Seal: s')]
    )
    route = _support.make_route(_Kind.IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        gateway.context.fleet_known.clear()
        sent = asyncio.create_task(gateway.send())
        await asyncio.sleep(0)
        assert not sent.done()
        gateway.context.notify_if_ready()
        status, _, body = await sent
    assert (status, body) == (200, b'done')


async def test_request_is_refused_without_a_manifest():
    """A host that can't reach the store would hold requests to their deadline."""
    route = _support.make_route(_Kind.IDEMPOTENT)
    async with _support.open_gateway(route) as gateway:
        gateway.context.fleet_known.clear()
        status, headers, _ = await gateway.send()
    assert status == 503
    assert float(headers['Retry-After']) > 0
