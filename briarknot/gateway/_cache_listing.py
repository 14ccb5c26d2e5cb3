"""Reads the lists of engines' caches after a start at which no process knows them.

``serving/cache_lists.py`` decides which process reads which list. This module
asks the other processes, reads the lists, and exchanges them.
"""

import asyncio
import time

import attrs

from briarknot import platform, schema, serving, telemetry
from briarknot.gateway import (
    _clock,
    _context,
    _host_groups,
    _peers,
    _started_hosts,
)
from briarknot.serving import cache_lists

_AT_START = schema.settings.CacheListing.AT_START
#: Period of checking what is due.
_PERIOD_S = 0.05
#: A longer period means that the process was suspended. What others have sent
#: meanwhile is applied before it goes on.
_MAX_PERIOD_S = 0.5
#: Calls of this process to engines at a time. Each takes a file descriptor and
#: some milliseconds, or its time limit.
_MAX_READS = 32
#: Engines that are checked before other tasks run. Computing the ranks of 600
#: engines would delay the requests of a large fleet by 0.1 s.
_CHECKED_AT_ONCE = 50
#: Processes of the own domain that are asked whether they know the caches: those
#: that inform a started one, and some more in case these have started too.
_ASKED_NEAR = _started_hosts.INFORMERS + 3
#: Processes of each other domain that are asked, in case all of the own domain
#: have started.
_ASKED_FAR = 2
#: Processes of another domain that forward a list within their domain; one of
#: them may be absent after a restart of all.
_FORWARDERS = 2
#: Period of following the list of processes. The order takes 0.12 s to compute
#: for 340 processes and 600 engines on a busy machine.
_ORDER_PERIOD_S = 1.0
#: Parts in a datagram; each takes about 20 bytes.
_PARTS_PER_DATAGRAM = 300


@attrs.define(eq=False)
class ListingTask:
    """Reads and sends the lists that are this process's turn."""

    _context: _context.Context
    _peers: _peers.Peers
    _groups: _host_groups.HostGroups | None = None
    _order: cache_lists.ListingOrder | None = None
    _ordered_s: float = float('-inf')
    _reading: int = 0
    _read: int = 0

    async def run(self) -> None:
        """Reads lists until all are known, or this process is told of them."""
        context = self._context
        if context.settings.cache_listing != _AT_START:
            return
        listing = context.cache_listing
        listing.enable()
        self._reading = 0
        await context.hosts_known.wait()
        await context.fleet_known.wait()
        started_s = _clock.read_clock()
        listing.begin(started_s)
        self._ask_peers()
        lists = platform.make_cache_lists()
        try:
            async with asyncio.TaskGroup() as group:
                await self._read_due(lists, group)
        finally:
            await lists.close()
        listing.end()
        telemetry.log_event(
            'cache_listing_ended',
            seconds=round(_clock.read_clock() - started_s, 2),
            told=listing.is_told,
            listed=len(listing.listed),
            read=self._read,
            engines=len(_list_engines(context)),
        )

    async def _read_due(
        self, lists: platform.CacheLists, group: asyncio.TaskGroup
    ) -> None:
        """Reads the lists that are due, each in a task of its own."""
        listing = self._context.cache_listing
        checked_s = _clock.read_clock()
        while not listing.is_over(_list_engines(self._context), checked_s):
            await asyncio.sleep(_PERIOD_S)
            now = _clock.read_clock()
            is_current = now - checked_s < _MAX_PERIOD_S
            checked_s = now
            if not is_current:
                continue
            self._ask_source(now)
            for engine in await self._take_due(now):
                self._reading += 1
                group.create_task(self._read_list(lists, engine))

    async def _take_due(self, now: float) -> tuple[schema.serving.Worker, ...]:
        """Takes the engines that are due, as far as calls to them are free."""
        listing = self._context.cache_listing
        engines = _list_engines(self._context)
        due: list[schema.serving.Worker] = []
        for start in range(0, len(engines), _CHECKED_AT_ONCE):
            for engine in engines[start : start + _CHECKED_AT_ONCE]:
                if self._reading + len(due) >= _MAX_READS:
                    return tuple(due)
                order = self._get_order(now)
                due.extend(listing.take_due((engine,), order, now))
            await asyncio.sleep(0)
        return tuple(due)

    def _get_order(self, now: float) -> cache_lists.ListingOrder:
        """Returns the order of the processes that are known."""
        groups = self._context.host_groups
        is_due = now - self._ordered_s >= _ORDER_PERIOD_S
        if self._order is None or (groups is not self._groups and is_due):
            settings = self._context.settings
            near = (settings.host, *groups.near)
            self._groups = groups
            self._ordered_s = now
            self._order = cache_lists.ListingOrder(
                settings.host,
                settings.domain,
                {settings.domain: near, **groups.far},
            )
        return self._order

    async def _read_list(
        self, lists: platform.CacheLists, engine: schema.serving.Worker
    ) -> None:
        """Reads the list of an engine, and sends it to all other processes."""
        started_s = time.monotonic()
        contents = await lists.read(engine)
        self._reading -= 1
        parts: tuple[schema.messages.HeldPart, ...] = ()
        is_read = isinstance(contents, platform.CacheContents)
        if is_read:
            self._read += 1
            parts = contents.parts
            telemetry.log_event(
                'cache_list_read',
                worker=engine.id,
                parts=len(parts),
                left_out=contents.left_out,
                seconds=round(time.monotonic() - started_s, 3),
            )
        else:
            telemetry.log_event(
                'cache_list_failed', worker=engine.id, reason=contents.reason
            )
        for start in range(0, max(1, len(parts)), _PARTS_PER_DATAGRAM):
            message = schema.messages.CacheList(
                host=self._context.settings.host,
                worker=engine.id,
                born_ms=engine.born_ms,
                parts=parts[start : start + _PARTS_PER_DATAGRAM],
                is_read=is_read,
            )
            _apply_list(self._context, message, time.monotonic())
            self._send_list(message)

    def _send_list(self, message: schema.messages.CacheList) -> None:
        """Sends a list to the domain peers, and to forwarders of the others.

        Traffic between domains is billed by volume.
        """
        groups = self._context.host_groups
        self._peers.send(message, groups.near)
        forwarded = attrs.evolve(message, forward=True)
        for domain in groups.far:
            ranked = groups.rank_far(message.worker, domain)
            heard = [one for one in ranked if one in self._context.heard_starts]
            forwarders = dict.fromkeys((*heard, *ranked))
            self._peers.send(forwarded, tuple(forwarders)[:_FORWARDERS])

    def _ask_peers(self) -> None:
        """Asks some processes of each domain whether they know the caches."""
        host = self._context.settings.host
        groups = self._context.host_groups
        near = [one for one in groups.rank_near(host) if one != host]
        asked = near[:_ASKED_NEAR]
        for domain in groups.far:
            asked.extend(groups.rank_far(host, domain)[:_ASKED_FAR])
        self._peers.send(self._make_request(wants_parts=False), tuple(asked))

    def _ask_source(self, now: float) -> None:
        """Asks a process that knows the caches, or a part, for what it knows."""
        source = self._context.cache_listing.choose_source(now)
        if source is not None:
            request = self._make_request(wants_parts=True)
            self._peers.send(request, (source,))

    def _make_request(
        self, *, wants_parts: bool
    ) -> schema.messages.CacheStatusRequest:
        settings = self._context.settings
        return schema.messages.CacheStatusRequest(
            host=settings.host,
            domain=settings.domain,
            address=settings.address,
            port=settings.peer_port,
            wants_parts=wants_parts,
        )


def _list_engines(
    context: _context.Context,
) -> tuple[schema.serving.Worker, ...]:
    """Lists the engines that are not leaving."""
    return tuple(
        worker
        for worker in context.fleet.workers
        if worker.stage != schema.serving.Stage.NONE and not worker.draining
    )


def _apply_list(
    context: _context.Context,
    message: schema.messages.CacheList,
    now: float,
) -> None:
    """Applies a list, unless the engine has started again since it was read.

    An engine that this process does not know yet has no entry to add to.
    """
    engine = context.fleet.find_worker(message.worker)
    if engine is None:
        return
    if engine.born_ms != message.born_ms:
        telemetry.log_event(
            'cache_list_outdated', worker=message.worker, peer=message.host
        )
        return
    start = serving.name_start(engine)
    if message.is_read:
        context.cache_listing.record_list(start)
        context.prompt_load.caches.record_list(engine.id, message.parts, now)
    else:
        context.cache_listing.record_failure(start, message.host)


@_peers.HANDLERS.register('CacheList')
def apply_cache_list(
    peers: _peers.Peers, message: schema.messages.CacheList, now: float
) -> None:
    """Applies a list that another process has read, and forwards it.

    :param peers: forwards the message.
    :param message: the list.
    :param now: monotonic time in seconds.
    """
    if message.forward:
        forwarded = attrs.evolve(message, forward=False)
        peers.send(forwarded, peers.context.host_groups.near)
    _apply_list(peers.context, message, now)


@_peers.HANDLERS.register('CacheStatusRequest')
def answer_status_request(
    peers: _peers.Peers,
    message: schema.messages.CacheStatusRequest,
    now: float,
) -> None:
    """Tells a process that has started whether this one knows the caches.

    :param peers: sends the answer.
    :param message: the request.
    :param now: monotonic time in seconds.
    """
    # The process may have another address since its start.
    _started_hosts.record_address(peers.context, message)
    if message.wants_parts:
        peers.send_caches(message.host, now, has_status=True)
        return
    status = _started_hosts.make_status(peers.context, has_parts=False)
    if status.is_known or status.listed:
        peers.send(status, (message.host,))


@_peers.HANDLERS.register('CacheStatus')
def apply_status(
    peers: _peers.Peers, message: schema.messages.CacheStatus, now: float
) -> None:
    """Records what another process knows of the caches.

    :param peers: has the state of the process.
    :param message: the answer.
    :param now: monotonic time in seconds.
    """
    listing = peers.context.cache_listing
    if message.has_parts:
        listing.record_parts(message.listed, is_known=message.is_known)
    else:
        listing.record_status(
            message.host, message.listed, is_known=message.is_known
        )


def make_listing_task(
    context: _context.Context, peers: _peers.Peers
) -> ListingTask:
    """Makes the task that reads lists after the start of this process.

    :param context: state of the process.
    :param peers: exchanges the lists with other processes.
    """
    return ListingTask(context, peers)
