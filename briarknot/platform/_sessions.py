"""HTTP sessions for calls to workers, which detect silent connections."""

import asyncio
import socket

import aiohttp

#: A worker accepts or refuses a connection within the round trip to another
#: region, 0.06 s. A lost SYN packet is retransmitted after 1 s, by when another
#: worker has answered.
_CONNECT_TIMEOUT_S = 0.5
#: Idle time after which a connection is not reused: workers close idle ones
#: after some seconds, and a request that is sent during the close may have run.
_IDLE_TIMEOUT_S = 2.0
#: Time after which unacknowledged bytes end a connection, in milliseconds; it
#: detects network partitions and silent connections.
_USER_TIMEOUT_MS = 1500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_PERIOD_S = 1
_KEEPALIVE_PROBES = 2
_SKIPPED_HEADERS = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')
_MAX_LINE_BYTES = 65536


def _make_socket(
    info: tuple[int, int, int, str, tuple[str, int]],
) -> socket.socket:
    """Makes a socket that detects a silent connection.

    :param info: address as ``getaddrinfo`` returns it.
    """
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, amount in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_PERIOD_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        (socket.TCP_NODELAY, 1),
    ):
        made.setsockopt(socket.IPPROTO_TCP, option, amount)
    return made


class Response(aiohttp.ClientResponse):
    """A response that knows how its connection ended."""

    #: Set when the connection is closed, with an exception after a reset.
    closed_connection: asyncio.Future | None = None

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Waits for the head of the answer."""
        # The connection of a short answer is released once its head is read,
        # so the future is obtained before.
        if connection.protocol is not None:
            self.closed_connection = connection.protocol.closed
        if self.closed_connection is not None:
            # Only a body without a length awaits this future; otherwise
            # asyncio would log its exception as never retrieved.
            self.closed_connection.add_done_callback(_retrieve_exception)
        return await super().start(connection)


def make_session(
    connections: int, *, force_close: bool
) -> aiohttp.ClientSession:
    """Makes a session; a running event loop is needed.

    :param connections: connections to one worker; 0 for no limit.
    :param force_close: whether each request has a connection of its own.
    """
    options = {} if force_close else {'keepalive_timeout': _IDLE_TIMEOUT_S}
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=connections,
        force_close=force_close,
        socket_factory=_make_socket,
        happy_eyeballs_delay=None,
        **options,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        response_class=Response,
        skip_auto_headers=_SKIPPED_HEADERS,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        ),
        max_line_size=_MAX_LINE_BYTES,
        max_field_size=_MAX_LINE_BYTES,
        read_bufsize=_MAX_LINE_BYTES,
    )


def _retrieve_exception(closed: asyncio.Future) -> None:
    if not closed.cancelled():
        closed.exception()
