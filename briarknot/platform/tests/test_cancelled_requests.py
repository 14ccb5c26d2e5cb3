"""Tests how the front end explains the cancellation of a request."""

import asyncio

import attrs
import pytest

from briarknot.platform import _ingress


@attrs.frozen
class _Request:
    """A request with or without its connection."""

    transport: object


@pytest.mark.parametrize(
    ('transport', 'reason'), [(object(), 'process_end'), (None, 'client_left')]
)
async def test_end_of_the_process_is_not_the_clients_leaving(transport, reason):
    """Requests that the end of a process cut off counted as given up."""

    async def serve():
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            return _ingress._explain_cancellation(_Request(transport))

    task = asyncio.ensure_future(serve())
    await asyncio.sleep(0)
    task.cancel()
    assert await task == reason
