"""Decides who may hold memory and connections; it does no input or output.

The bytes of header sections, bodies and unread responses are counted for each
connection. Where a bound is near, connections that make no progress go first, then
the largest and newest, and bodies that have almost arrived last.
"""

import asyncio
import collections
import math
import time
import typing

import attrs

from briarknot import schema
from briarknot.platform import _client_states, _limit_log

_BYTES_PER_MB = 1_000_000
_DEFAULT_MEMORY_MB = 256
_DEFAULT_DESCRIPTORS = 1024
#: Share of the memory for what is counted. The process itself takes up to half of
#: the smallest hosts, and bytes exist twice while they are passed on.
_MEMORY_SHARE = 0.25
#: Share of that for what is still being received, so that responses have room.
_RECEIVING_SHARE = 0.75
#: Share of the file descriptors for clients. An open request needs one for its
#: client and one for its worker; the rest is for the store, peers and files.
_CLIENT_SHARE = 0.45
#: Estimate of a connection without data, with its task and its parser.
_CONNECTION_BYTES = 8192
#: Memory of a byte of an incomplete header section. 300 sections of 60 KB took
#: 46 MB.
_HEAD_FACTOR = 3
#: Memory of a body in small chunks while it waits to be read: what was received at
#: once, and the objects of the chunks that the parser has found.
_CHUNKS_BYTES = 384 << 10
#: Memory of a byte of a response: its parts and the whole exist at the same time,
#: and freed parts leave gaps. Five responses of 4 MB, with 35 that waited, took 50 MB.
_RESPONSE_FACTOR = 2
#: Memory of a stream whose client doesn't read: what was received from its worker
#: ahead, and what waits to be written.
_STREAM_BYTES = 512 << 10
#: Times without progress are longer than the manifest's by these factors, so that
#: no client within the limits is cut off by a slow network or a busy host.
_HEAD_MARGIN = 2.0
_IDLE_MARGIN = 2.0
_STALL_MARGIN = 1.5
#: Margin of idle connections while there are too many connections.
_PRESSED_IDLE_MARGIN = 1.1
#: Factor of the largest header section, as its bytes may be counted differently.
_HEAD_BYTES_MARGIN = 2
#: Longest wait between checks for room for a response, in seconds.
_ROOM_CHECK_S = 0.25


@attrs.define(eq=False)
class ClientLimits:
    """Memory and connections of all clients."""

    _max_bytes: float
    _max_clients: int
    _get_limits: typing.Callable[[], schema.serving.ClientLimits]
    _clients: dict[_client_states.Client, None] = attrs.field(factory=dict)
    _counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _held_bytes: int = 0
    _room_made: asyncio.Event = attrs.field(factory=asyncio.Event)
    _waiting: list[_client_states.Client] = attrs.field(factory=list)
    _oversized: _client_states.Client | None = None
    _log: _limit_log.LimitLog = attrs.field(factory=_limit_log.LimitLog)

    @property
    def held_bytes(self) -> int:
        """Counted bytes of all connections."""
        return self._held_bytes

    @property
    def is_empty(self) -> bool:
        """Whether there is no connection."""
        return not self._clients

    def open(
        self,
        address: str,
        now: float,
        evict: typing.Callable[[_client_states.Limit], None],
    ) -> _client_states.Client:
        """Adds a connection, and closes one where there are too many.

        :param address: IP number of the client.
        :param now: monotonic time.
        :param evict: refuses its request or closes it.
        :returns: the client; it is the one that was closed where it is evicted.
        """
        client = _client_states.Client(address, now, evict, progress_s=now)
        self._clients[client] = None
        self._counts[address] += 1
        self._charge(client, _CONNECTION_BYTES)
        if len(self._clients) > self._max_clients:
            victim = self._choose_connection(now) or client
            self.evict(victim, _client_states.Limit.DESCRIPTORS)
        self._relieve(now)
        return client

    def close(self, client: _client_states.Client) -> None:
        """Removes a connection."""
        if client not in self._clients:
            return
        self._clients.pop(client)
        self._counts[client.address] -= 1
        if not self._counts[client.address]:
            self._counts.pop(client.address)
        self._charge(client, -client.held_bytes)
        self._end_oversized(client)

    def record_head(
        self, client: _client_states.Client, size: int, now: float
    ) -> None:
        """Counts bytes of a header section that is incomplete.

        :param client: the client.
        :param size: received bytes.
        :param now: monotonic time.
        """
        if client.phase is _client_states.Phase.IDLE:
            client.start_phase(_client_states.Phase.HEAD, now)
        client.head_bytes += size
        self._charge(client, size * _HEAD_FACTOR)
        limit = self._get_limits().header_bytes * _HEAD_BYTES_MARGIN
        if limit and client.head_bytes > limit:
            self.evict(client, _client_states.Limit.HEADER_BYTES)
        else:
            self._relieve(now)

    def record_ahead(
        self, client: _client_states.Client, size: int, now: float
    ) -> None:
        """Counts bytes of a further request that was sent ahead.

        Its header section is complete, and the connection isn't read beyond a part
        of its body.

        :param client: the client.
        :param size: received bytes.
        :param now: monotonic time.
        """
        self._charge(client, size - client.head_bytes * _HEAD_FACTOR)
        client.head_bytes = 0
        client.ahead_bytes += size
        self._relieve(now)

    def start_request(
        self, client: _client_states.Client, length: int, now: float
    ) -> None:
        """Begins to receive a body after a complete header section.

        :param client: the client.
        :param length: length of the body; 0 where it is not known.
        :param now: monotonic time.
        """
        counted = client.head_bytes * _HEAD_FACTOR + client.ahead_bytes
        self._charge(client, -counted)
        client.head_bytes = 0
        client.ahead_bytes = 0
        client.length = length
        client.received = 0
        client.start_phase(_client_states.Phase.BODY, now)

    def record_body(
        self, client: _client_states.Client, size: int, now: float
    ) -> None:
        """Counts received bytes of a body.

        :param client: the client.
        :param size: received bytes.
        :param now: monotonic time.
        """
        client.received += size
        client.progress_s = now
        self._charge(client, size)
        self._relieve(now)

    def record_tiny_chunks(
        self, client: _client_states.Client, now: float
    ) -> None:
        """Counts what small chunks cost in addition to their bytes, once."""
        if not client.has_tiny_chunks:
            client.has_tiny_chunks = True
            self._charge(client, _CHUNKS_BYTES)
            self._relieve(now)

    def end_request(self, client: _client_states.Client, now: float) -> None:
        """Releases what a request and its response held."""
        if client not in self._clients:
            return
        self._end_oversized(client)
        kept = client.head_bytes * _HEAD_FACTOR + client.ahead_bytes
        kept += _CONNECTION_BYTES
        self._charge(client, kept - client.held_bytes)
        client.response_bytes = 0
        client.has_tiny_chunks = False
        client.is_unread = False
        is_next = client.head_bytes > 0
        client.start_phase(
            _client_states.Phase.HEAD if is_next else _client_states.Phase.IDLE,
            now,
        )

    async def reserve_response(
        self, client: _client_states.Client, size: int
    ) -> None:
        """Waits until there is room for the body of a response.

        One response at a time may exceed the bound: the one that has waited
        longest. Otherwise responses that have a part of their room would wait for
        each other.

        :param client: the client that gets it.
        :param size: bytes of the body that are known so far.
        """
        size *= _RESPONSE_FACTOR
        added = size - client.response_bytes
        if added <= 0 or client not in self._clients:
            return
        self._waiting.append(client)
        try:
            while not self._has_room(client, added):
                await self._wait_for_room(added)
        finally:
            self._waiting.remove(client)
        if client in self._clients:
            client.response_bytes = size
            self._charge(client, added)

    def _has_room(self, client: _client_states.Client, added: int) -> bool:
        if (
            client not in self._clients
            or client is self._oversized
            or self._held_bytes + added <= self._max_bytes
        ):
            return True
        if self._oversized is None and self._waiting[0] is client:
            self._oversized = client
        return client is self._oversized

    async def _wait_for_room(self, added: int) -> None:
        if self._relieve(time.monotonic(), added):
            return
        self._room_made.clear()
        try:
            async with asyncio.timeout(_ROOM_CHECK_S):
                await self._room_made.wait()
        except TimeoutError:
            return

    def _end_oversized(self, client: _client_states.Client) -> None:
        if client is self._oversized:
            self._oversized = None
            self._room_made.set()

    def list_late(
        self, now: float
    ) -> list[tuple[_client_states.Client, _client_states.Limit]]:
        """Lists connections that are over a time limit.

        :param now: monotonic time.
        """
        limits = self._get_limits()
        idle_s = limits.idle_timeout_s
        times = {
            _client_states.Phase.IDLE: (
                idle_s * _IDLE_MARGIN,
                _client_states.Limit.IDLE_TIME,
            ),
            _client_states.Phase.HEAD: (
                limits.header_timeout_s * _HEAD_MARGIN,
                _client_states.Limit.HEADER_TIME,
            ),
            _client_states.Phase.BODY: (
                idle_s * _STALL_MARGIN,
                _client_states.Limit.BODY_TIME,
            ),
            _client_states.Phase.RESPONSE: (
                idle_s * _STALL_MARGIN,
                _client_states.Limit.RESPONSE_TIME,
            ),
        }
        late = []
        for client in self._clients:
            if client.is_dropped:
                continue
            max_s, limit = times.get(
                client.phase, (0, _client_states.Limit.IDLE_TIME)
            )
            if (
                client.phase is _client_states.Phase.RESPONSE
                and not client.is_unread
            ):
                continue
            if max_s and now - client.progress_s > max_s:
                late.append((client, limit))
        return late

    def charge_unread(self, now: float) -> None:
        """Counts what streams hold that their clients have stopped to read.

        :param now: monotonic time.
        """
        for client in self._clients:
            client.check_progress(now)
            is_stopped = client.is_unread and client.is_slow(now)
            if is_stopped and not client.response_bytes:
                client.response_bytes = _STREAM_BYTES
                self._charge(client, _STREAM_BYTES)
        self._relieve(now)

    def evict(
        self, client: _client_states.Client, limit: _client_states.Limit
    ) -> None:
        """Refuses the request of a client or closes its connection.

        :param client: the client.
        :param limit: why.
        """
        if client.evicted_by is not None and not client.is_dropped:
            return
        client.is_dropped = False
        self._log.record(client, limit, self._held_bytes, len(self._clients))
        # What it holds is about to be freed.
        self._charge(client, -client.held_bytes)
        client.evicted_by = limit
        client.evict(limit)

    def _charge(self, client: _client_states.Client, size: int) -> None:
        if client.evicted_by is not None:
            return
        client.held_bytes += size
        self._held_bytes += size
        if size < 0:
            self._room_made.set()

    def _relieve(self, now: float, added: int = 0) -> bool:
        """Evicts clients until the bound is kept.

        :param now: monotonic time.
        :param added: bytes for which there must be room.
        :returns: whether a client was evicted.
        """
        share = 1 if added else _RECEIVING_SHARE
        max_bytes = self._max_bytes * share - added
        if self._held_bytes <= max_bytes:
            return False
        victims = [one for one in self._clients if one.may_go(now)]
        victims.sort(key=lambda one: _client_states.rank_victim(one, now))
        has_evicted = False
        while victims and self._held_bytes > max_bytes:
            self.evict(victims.pop(), _client_states.Limit.MEMORY)
            has_evicted = True
        return has_evicted

    def _choose_connection(self, now: float) -> _client_states.Client | None:
        """Chooses the connection to close where there are too many."""
        idle_s = self._get_limits().idle_timeout_s or math.inf
        victims = [
            one
            for one in self._clients
            if one.may_close(now, idle_s * _PRESSED_IDLE_MARGIN)
        ]
        return max(
            victims,
            key=lambda one: (
                one.is_dropped,
                not one.has_almost_arrived,
                self._counts[one.address],
                now - one.progress_s,
            ),
            default=None,
        )


def make_client_limits(
    memory_mb: int,
    max_descriptors: int,
    get_limits: typing.Callable[
        [], schema.serving.ClientLimits
    ] = schema.serving.ClientLimits,
) -> ClientLimits:
    """Makes the limits of a process without clients.

    :param memory_mb: memory of the host; 0 for the default.
    :param max_descriptors: file descriptors of the process; 0 for the default.
    :param get_limits: returns the manifest's limits; 0 stands for none.
    """
    return ClientLimits(
        (memory_mb or _DEFAULT_MEMORY_MB) * _BYTES_PER_MB * _MEMORY_SHARE,
        int((max_descriptors or _DEFAULT_DESCRIPTORS) * _CLIENT_SHARE),
        get_limits,
    )
