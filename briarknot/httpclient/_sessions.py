"""Client sessions that send each request once."""

import typing

import aiohttp


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


def make_session(**options: typing.Any) -> aiohttp.ClientSession:
    """Makes a client session; a running event loop is needed.

    :param options: options of the session.
    :returns: a session that sends each request once. It reports a connection
        that ended without an answer as :class:`ConnectionLostError`, and errors
        of aiohttp's connector only where no byte was sent.
    """
    return aiohttp.ClientSession(middlewares=(_send_once,), **options)
