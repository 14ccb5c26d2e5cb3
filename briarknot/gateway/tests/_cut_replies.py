"""Answers that break off, and statuses that are not final."""

import contextlib
import itertools

import attrs

from briarknot.gateway.tests import _support

#: What HTTP doesn't define as the status of a final response. 100 and 102 are
#: followed by none.
STATUSES = ('000', '99', '100', '101', '102', '199', '600', '999', '1000')
_HEADS = {
    'no_length': 'HTTP/1.1 {status} X\r\n{fields}\r\n',
    'http_1_0': 'HTTP/1.0 {status} X\r\n{fields}\r\n',
    'http_1_0_kept': (
        'HTTP/1.0 {status} X\r\n{fields}Connection: keep-alive\r\n\r\n'
    ),
    'length': 'HTTP/1.1 {status} X\r\n{fields}Content-Length: {more}\r\n\r\n',
    'http_1_0_length': (
        'HTTP/1.0 {status} X\r\n{fields}Content-Length: {more}\r\n\r\n'
    ),
    'chunked': (
        'HTTP/1.1 {status} X\r\n{fields}Transfer-Encoding: chunked\r\n\r\n'
    ),
    'header_section': 'HTTP/1.1 {status} X\r\n{fields}',
    'status_line': 'HTTP/1.1 {status}',
}
_PARTS = {
    'chunked': '{size:x}\r\n{part}\r\n',
    'header_section': 'Content-Length: 0\r\n',
    'status_line': ' X',
}
NAMES = tuple(_HEADS)
#: Ways to break off. The regular close of a connection is the end of a body
#: without a length, so only a reset shows that it is cut.
WAYS = tuple(
    (name, then)
    for name, then in itertools.product(
        _HEADS, (_support.RESET, _support.CLOSE)
    )
    if then == _support.RESET
    or name not in {'no_length', 'http_1_0', 'http_1_0_kept'}
)


def make_cut(name, then, part, *, status=200, fields='', pause_s=0.05):
    """Makes an answer that breaks off after a part of its body.

    :param name: how its head frames the body.
    :param then: how the connection ends.
    :param part: the part of the body that is sent.
    :param status: HTTP status.
    :param fields: header lines.
    :param pause_s: time between the head and the part, in seconds.
    """
    values = {
        'status': status,
        'fields': fields,
        'part': part,
        'size': len(part),
        'more': len(part) + 5,
    }
    return _support.Reply(
        _HEADS[name].format_map(values),
        then,
        later=(_PARTS.get(name, '{part}').format_map(values),),
        pause_s=pause_s,
    )


@contextlib.asynccontextmanager
async def serve_replies(*replies):
    """Serves answers, one for each request, and yields the address."""
    worker = _support.ScriptedWorker(replies)
    async with contextlib.AsyncExitStack() as stack:
        await _support.serve_worker(stack, worker)
        yield f'127.0.0.1:{worker.port}'


def make_early(reply):
    """Makes an answer that is sent before the body of its request is read."""
    return attrs.evolve(reply, early=True)
