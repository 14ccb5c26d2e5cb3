"""All peer links of a process."""

import asyncio
import collections
import collections.abc
import hmac
import random
import typing

import aiohttp
import attrs
from absl import logging
from aiohttp import web

from briarknot import httpclient, schema
from briarknot.links import _limits, _link, _metrics, _wire

_PATH = '/peer/link'
#: Longest wait for the peer's half of a closing handshake.
_CLOSE_TIMEOUT_S = 1.0
_RETRY_BACKOFF_FACTOR = 2
#: Waits are multiplied by a random factor between this and 1, so that peers of
#: a restarted host do not all reconnect at the same time.
_MIN_RETRY_JITTER = 0.5

Handler: typing.TypeAlias = collections.abc.Callable[
    [_link.Link, typing.Any], collections.abc.Awaitable[None]
]


@attrs.define(eq=False)
class Hub:
    """Opens, accepts and closes links; made by :func:`make_hub`."""

    _hello: schema.messages.Hello
    _secret: str
    _limits: _limits.LinkLimits
    _handlers: collections.defaultdict[type, list[Handler]] = attrs.field(
        factory=lambda: collections.defaultdict(list), init=False
    )
    _links: dict[_link.PeerKey, _link.Link] = attrs.field(
        factory=dict, init=False
    )
    _open_links: set[_link.Link] = attrs.field(factory=set, init=False)
    _connectors: dict[str, asyncio.Task[None]] = attrs.field(
        factory=dict, init=False
    )
    _keys_by_url: dict[str, _link.PeerKey] = attrs.field(
        factory=dict, init=False
    )
    _peers_listed: asyncio.Event = attrs.field(
        factory=asyncio.Event, init=False
    )
    _session: aiohttp.ClientSession | None = attrs.field(
        default=None, init=False
    )

    @property
    def hello(self) -> schema.messages.Hello:
        """The hello that this process sends."""
        return self._hello

    @property
    def links(self) -> tuple[_link.Link, ...]:
        """The usable links, one for each peer process."""
        return tuple(self._links.values())

    @property
    def urls(self) -> tuple[str, ...]:
        """Peer URLs to which the hub keeps connecting."""
        return tuple(self._connectors)

    @property
    def peers_listed(self) -> asyncio.Event:
        """Set by the caller once :meth:`connect` was called for listed peers.

        Also set where no peer is listed.
        """
        return self._peers_listed

    @property
    def unanswered_urls(self) -> tuple[str, ...]:
        """Peer URLs from which no hello has been received yet."""
        return tuple(
            url for url in self._connectors if url not in self._keys_by_url
        )

    def add_routes(self, app: web.Application) -> None:
        """Adds the accepting side to an application.

        The hub is closed with the application.

        :param app: the application of the peer port.
        """
        app.router.add_get(_PATH, self._accept)
        app.on_shutdown.append(self.close)

    def register(self, kind: type, handler: Handler) -> None:
        """Adds a handler for a message class.

        The link's reader awaits the handlers in order, so a slow one delays
        only its link. Handlers for ``Hello`` run when a link opens and when
        the peer's incarnation changes.

        :param kind: a member of ``PeerMessage``.
        :param handler: called with the link and the message.
        """
        self._handlers[kind].append(handler)

    def connect(self, url: str) -> None:
        """Maintains a link to a peer URL until :meth:`disconnect`.

        :param url: base URL of the peer port of another host.
        """
        if url not in self._connectors:
            self._connectors[url] = asyncio.create_task(
                self._keep_connected(url), name=f'peer {url}'
            )

    def disconnect(self, url: str) -> None:
        """Stops connecting to a peer URL and closes the link it opened.

        :param url: a URL given to :meth:`connect`.
        """
        connector = self._connectors.pop(url, None)
        self._keys_by_url.pop(url, None)
        if connector:
            connector.cancel()

    def send(
        self,
        host: str,
        message: schema.messages.PeerMessage,
        program: str = 'entry',
    ) -> bool:
        """Queues a message to a process of a host.

        :param host: host of the peer.
        :param message: a member of ``PeerMessage``.
        :param program: program of the peer.
        :returns: whether it was queued; otherwise it is counted as dropped.
        """
        link = self._links.get(_link.PeerKey(host, program))
        if link is None:
            _metrics.DROPPED.labels('no_link').inc()
            return False
        return link.send(message)

    def broadcast(
        self,
        message: schema.messages.PeerMessage,
        domain: str | None = None,
    ) -> int:
        """Queues a message to all linked peers.

        :param message: a member of ``PeerMessage``.
        :param domain: failure domain of the peers; all where none is given.
        :returns: number of links on which it was queued.
        """
        frame = _link.make_frame(message)
        return sum(
            link.send_frame(frame)
            for link in self.links
            if domain in {None, link.domain}
        )

    def update_hello(self, incarnation: int, revision: int) -> None:
        """Changes the hello that this process sends.

        A new incarnation is sent to the linked peers.

        :param incarnation: incarnation of this process.
        :param revision: document revision in force.
        """
        is_new = incarnation != self._hello.incarnation
        self._hello = attrs.evolve(
            self._hello, incarnation=incarnation, revision=revision
        )
        if is_new:
            self.broadcast(self._hello)

    async def close(self, _app: web.Application | None = None) -> None:
        """Closes all links and stops connecting."""
        connectors = tuple(self._connectors.values())
        for url in self.urls:
            self.disconnect(url)
        await asyncio.gather(*connectors, return_exceptions=True)
        await asyncio.gather(
            *[link.close() for link in tuple(self._open_links)],
            return_exceptions=True,
        )
        if self._session:
            await self._session.close()
            self._session = None

    async def _accept(self, request: web.Request) -> web.StreamResponse:
        offered = request.headers.get('Authorization', '')
        if not hmac.compare_digest(
            offered.encode(), f'Bearer {self._secret}'.encode()
        ):
            _metrics.REFUSALS.labels('secret').inc()
            raise web.HTTPUnauthorized()
        socket = web.WebSocketResponse(
            timeout=_CLOSE_TIMEOUT_S,
            heartbeat=self._limits.heartbeat_s,
            max_msg_size=self._limits.frame_bytes,
            compress=False,
        )
        await socket.prepare(request)
        hello = await _wire.exchange_hello(
            socket, self._hello, self._limits.connect_timeout_s
        )
        if hello:
            await self._run_link(
                _link.Link(hello, _link.make_key(hello), socket, self._limits)
            )
        await socket.close()
        return socket

    async def _keep_connected(self, url: str) -> None:
        wait_s = self._limits.retry_first_s
        while True:
            current = self._links.get(self._keys_by_url.get(url))
            if current:
                # The peer connected to this process first.
                await current.wait_closed()
            elif await self._connect_once(url):
                wait_s = self._limits.retry_first_s
            jitter = random.uniform(_MIN_RETRY_JITTER, 1)
            await asyncio.sleep(wait_s * jitter)
            wait_s = min(
                wait_s * _RETRY_BACKOFF_FACTOR, self._limits.retry_longest_s
            )

    async def _connect_once(self, url: str) -> bool:
        """Connects and runs the link until it closes.

        :returns: whether the peer sent its hello.
        """
        try:
            async with asyncio.timeout(self._limits.connect_timeout_s):
                socket = await self._open_socket(url)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            _metrics.CONNECTS.labels('failed').inc()
            logging.log_every_n_seconds(
                logging.WARNING, 'Peer %s: cannot connect: %r', 10, url, error
            )
            return False
        async with socket:
            hello = await _wire.exchange_hello(
                socket, self._hello, self._limits.connect_timeout_s
            )
            if not hello:
                return False
            _metrics.CONNECTS.labels('opened').inc()
            self._keys_by_url[url] = _link.make_key(hello)
            await self._run_link(
                _link.Link(
                    hello, _link.make_key(self._hello), socket, self._limits
                )
            )
        return True

    async def _open_socket(self, url: str) -> aiohttp.ClientWebSocketResponse:
        if self._session is None:
            # aiohttp's default limit is 100 connections.
            self._session = httpclient.make_session(
                connector=httpclient.Connector(limit=0)
            )
        return await self._session.ws_connect(
            url.rstrip('/') + _PATH,
            headers={'Authorization': f'Bearer {self._secret}'},
            heartbeat=self._limits.heartbeat_s,
            max_msg_size=self._limits.frame_bytes,
            timeout=aiohttp.ClientWSTimeout(ws_close=_CLOSE_TIMEOUT_S),
        )

    async def _run_link(self, link: _link.Link) -> None:
        self._add_link(link)
        writer = asyncio.create_task(
            link.run_writer(), name=f'writer {link.host}'
        )
        try:
            await self._receive_messages(link)
        finally:
            writer.cancel()
            self._remove_link(link)

    def _add_link(self, link: _link.Link) -> None:
        self._open_links.add(link)
        current = self._links.get(link.key)
        if current and not link.is_preferred_to(current):
            _metrics.REFUSALS.labels('duplicate').inc()
            link.retire()
            return
        if current:
            current.retire()
        else:
            logging.info('Link to %s opened', link.key)
            _metrics.LINKS.labels(link.program).inc()
        self._links[link.key] = link

    def _remove_link(self, link: _link.Link) -> None:
        self._open_links.discard(link)
        if self._links.get(link.key) is link:
            self._links.pop(link.key)
            _metrics.LINKS.labels(link.program).dec()
            logging.info('Link to %s closed', link.key)
        link.mark_closed()

    async def _receive_messages(self, link: _link.Link) -> None:
        await self._dispatch(link, link.peer)
        async for frame in link.socket:
            message = _wire.decode_frame(frame)
            if not message:
                _metrics.DROPPED.labels('undecodable').inc()
                continue
            if isinstance(message, schema.messages.Hello):
                link.update_peer(message)
            await self._dispatch(link, message)

    async def _dispatch(
        self, link: _link.Link, message: schema.messages.PeerMessage
    ) -> None:
        handlers = self._handlers[type(message)]
        if not handlers and not isinstance(message, schema.messages.Hello):
            _metrics.DROPPED.labels('unhandled').inc()
        for handler in handlers:
            try:
                await handler(link, message)
            except Exception:
                # One bad message must not close the link.
                _metrics.DROPPED.labels('handler_failed').inc()
                logging.exception('Handler of %s failed', type(message))


def make_hub(
    hello: schema.messages.Hello,
    secret: str,
    limits: _limits.LinkLimits | None = None,
) -> Hub:
    """Makes a hub without links.

    :param hello: description of this process, sent to each peer.
    :param secret: secret shared by the processes of the system.
    :param limits: time limits and bounds.

    >>> hello = schema.messages.Hello(host='obb-1', program='entry')
    >>> make_hub(hello, 'secret').links
    ()
    """
    return Hub(hello, secret, limits or _limits.LinkLimits())
