"""Tests that no session takes a cut body for a whole one."""

import aiohttp
import pytest

from briarknot import httpclient
from briarknot.gateway.tests import _cut_replies, _support


@pytest.mark.parametrize(('name', 'then'), _cut_replies.WAYS)
async def test_body_that_breaks_off_is_not_read(name, then):
    """The parser takes a reset for the end of a body without a length."""
    cut = _cut_replies.make_cut(name, then, 'part')
    async with (
        _cut_replies.serve_replies(cut) as address,
        httpclient.make_session() as session,
    ):
        with pytest.raises(aiohttp.ClientError):
            async with session.get(f'http://{address}') as response:
                await response.read()


async def test_body_without_a_length_is_whole_at_its_regular_end():
    """Every answer of a server that closes its connections would be lost."""
    reply = _cut_replies.make_cut('no_length', _support.CLOSE, 'whole')
    async with (
        _cut_replies.serve_replies(reply) as address,
        httpclient.make_session() as session,
        session.post(f'http://{address}', data=b'x') as response,
    ):
        assert await response.read() == b'whole'


async def test_answer_to_head_has_no_end_to_wait_for():
    """The read waited for the close of a kept connection."""
    reply = _support.Reply('HTTP/1.1 200 OK\r\n\r\n')
    async with (
        _cut_replies.serve_replies(reply) as address,
        httpclient.make_session() as session,
        session.head(f'http://{address}') as response,
    ):
        assert await response.read() == b''
