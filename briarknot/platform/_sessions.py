"""HTTP sessions that detect silent connections."""

import socket

import aiohttp
from aiohttp import client_proto

from briarknot import httpclient

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
#: Bytes of a body that are read ahead; up to twice as many arrive.
_READ_AHEAD_BYTES = 16 << 10


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


class Response(httpclient.Response):
    """A response whose connection can be closed."""

    _used_protocol: client_proto.ResponseHandler | None = None

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Waits for the head of the answer."""
        self._used_protocol = connection.protocol
        return await super().start(connection)

    @property
    def is_dense(self) -> bool:
        """Whether most bytes of the answer frame its body."""
        protocol = self._used_protocol
        return isinstance(protocol, httpclient.Protocol) and protocol.is_dense

    @property
    def is_unsound(self) -> bool:
        """Whether the bytes that arrived are no answer."""
        protocol = self._used_protocol
        return isinstance(protocol, httpclient.Protocol) and bool(
            protocol.failure
        )

    def close_connection(self) -> None:
        """Closes the connection, also if it has been returned to its pool.

        That of an answer without a body is returned with its head.
        """
        self.close()
        if self._used_protocol is not None:
            self._used_protocol.close()


def make_limited_connector() -> aiohttp.TCPConnector:
    """Makes a connector without kept connections; a running loop is needed.

    Bytes that are not acknowledged soon are dropped, also after the call has timed
    out: a call that arrives later would carry an outdated fencing number.
    """
    return httpclient.Connector(force_close=True, socket_factory=_make_socket)


async def read_limited(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes | None:
    """Reads a whole body.

    :param response: the response; only one of this project's sessions knows
        whether a body without a length was cut.
    :param limit_bytes: longest body.
    :returns: the body; None where it is longer.
    """
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit_bytes:
            return None
        parts.append(part)
    if isinstance(response, httpclient.Response):
        await response.check_end()
    return b''.join(parts)


def make_store_session(timeout_s: float = 0) -> aiohttp.ClientSession:
    """Makes a session for calls to the store; a running loop is needed.

    :param timeout_s: time limit of a call without one of its own, in seconds; 0
        for none.
    """
    return httpclient.make_session(
        repeats_reads=True,
        connector=httpclient.Connector(),
        response_class=Response,
        timeout=aiohttp.ClientTimeout(total=timeout_s or None),
    )


def make_session(
    connections: int, *, force_close: bool
) -> aiohttp.ClientSession:
    """Makes a session; a running event loop is needed.

    :param connections: connections to one worker; 0 for no limit.
    :param force_close: whether each request has a connection of its own.
    """
    options = {} if force_close else {'keepalive_timeout': _IDLE_TIMEOUT_S}
    connector = httpclient.Connector(
        limit=0,
        limit_per_host=connections,
        force_close=force_close,
        socket_factory=_make_socket,
        happy_eyeballs_delay=None,
        **options,
    )
    return httpclient.make_session(
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
        read_bufsize=_READ_AHEAD_BYTES,
    )
