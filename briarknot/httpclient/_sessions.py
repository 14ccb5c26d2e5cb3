"""Client sessions that send each request once."""

import typing

import aiohttp
from aiohttp import hdrs

from briarknot.httpclient import _connections, _responses


class ConnectionLostError(aiohttp.ClientError):
    """A connection ended after a request was sent, and before its answer.

    The server may have carried out the request.
    """


async def _send_once(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a request once, whatever its method.

    aiohttp sends a GET, HEAD, OPTIONS, TRACE, PUT or DELETE once more after
    either of the last two errors, on a new connection and unseen by the caller.
    The error of that connection would replace the first one.
    """
    try:
        return await send(request)
    except aiohttp.ClientConnectorError:
        # A subclass of the next one: no connection was opened, no byte sent.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(f'{type(error).__name__}: {error}') from error


async def _repeat_read(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a read once more where its connection ends without an answer.

    A server may close a kept connection while a request is on its way.
    """
    try:
        return await send(request)
    except ConnectionLostError:
        if request.method != hdrs.METH_GET:
            raise
    return await send(request)


def make_session(
    *, repeats_reads: bool = False, **options: typing.Any
) -> aiohttp.ClientSession:
    """Makes a client session; a running event loop is needed.

    :param repeats_reads: whether a GET is sent once more, within its time limit,
        where its connection ended without an answer; only for servers whose GETs
        change nothing and are counted nowhere.
    :param options: options of the session.
    :returns: a session that sends each other request once. It reports a
        connection that ended without an answer as :class:`ConnectionLostError`,
        and errors of aiohttp's connector only where no byte of this try was sent.
        Its responses raise an error where the body that was read is cut.
    """
    options.setdefault('response_class', _responses.Response)
    if options.get('connector') is None:
        options['connector'] = _connections.Connector()
    middlewares = (_send_once,)
    if repeats_reads:
        # The first one is the outermost.
        middlewares = (_repeat_read, _send_once)
    return aiohttp.ClientSession(middlewares=middlewares, **options)
