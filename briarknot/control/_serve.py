"""Competes for the lease and runs the duties of its holder."""

import asyncio
import contextlib
import time
import uuid

import aiohttp
import attrs

from briarknot import (
    authority,
    config,
    links,
    platform,
    program,
    schema,
    telemetry,
)
from briarknot.control import _engine, _entries, _leader

#: As often as entry processes do.
_DOCUMENT_POLL_S = 1.0
_PEER_WAIT_S = 2.0


@attrs.define(eq=False)
class _Control:
    """Parts of the process that outlive a lease."""

    _process: program.Process
    _settings: schema.settings.ControlSettings
    _client: platform.Client
    _session: aiohttp.ClientSession
    _follower: config.Follower
    _entries: _entries.Entries
    _lease: authority.Lease

    async def greet(
        self, link: links.Link, hello: schema.messages.Hello
    ) -> None:
        """Handles the first message of a link."""
        await self._follower.handle_hello(link, hello)
        await self._entries.handle_hello(link)

    async def run(self) -> None:
        """Holds the lease as often as it can, until the process stops."""
        stopping = asyncio.create_task(self._process.stopping.wait())
        while not stopping.done():
            acquiring = asyncio.create_task(self._lease.acquire())
            await _wait_first(acquiring, stopping)
            if acquiring.done():
                acquiring.result()
                await self._lead(stopping)
            else:
                await _cancel(acquiring)

    async def _lead(self, stopping: asyncio.Task[bool]) -> None:
        """Runs the duties of the holder until the lease ends."""
        tools = self._make_tools()
        leader = _leader.make_leader(
            tools, self._follower, self._settings.node.domain
        )
        duties = asyncio.create_task(leader.run(), name='duties')
        keeping = asyncio.create_task(self._lease.keep(), name='lease')
        await _wait_first(duties, keeping, stopping)
        if not keeping.done():
            tools.closing.set()
            await _wait_first(
                duties, keeping, timeout_s=self._settings.node.stop_timeout_s
            )
        # A fault ends the process, and the timer with it.
        if duties.done():
            duties.result()
        await _cancel(duties)
        if keeping.done():
            telemetry.log_change('lease', 'ending', reason=keeping.result())
            self._lease.stand_down()
        else:
            await _cancel(keeping)
            await self._lease.release()

    def _make_tools(self) -> _engine.Tools:
        return _engine.Tools(
            session=self._session,
            lease=self._lease,
            orders=authority.make_orders(
                self._client, self._settings.node.domain
            ),
            entries=self._entries,
            settings=self._settings,
            closing=asyncio.Event(),
        )


async def serve(
    process: program.Process, settings: schema.settings.ControlSettings
) -> None:
    """Controller of a failure domain: drains, orders, and role plans."""
    node = settings.node
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        client = platform.make_client(
            session, node.platform_url, node.platform_timeout_s
        )
        hub = links.make_hub(_make_hello(node), node.peer_secret)
        stack.push_async_callback(hub.close)
        follower = config.make_follower(
            client, hub, poll_s=_DOCUMENT_POLL_S, peer_wait_s=_PEER_WAIT_S
        )
        entries = _entries.make_entries(client, hub, settings)
        lease = authority.make_lease(
            client,
            node.domain,
            f'{node.host}-{uuid.uuid4().hex}',
            settings,
        )
        control = _Control(
            process, settings, client, session, follower, entries, lease
        )
        follower.register_handlers()
        hub.register(schema.messages.Hello, control.greet)
        hub.register(schema.messages.DrainAck, entries.handle_ack)
        process.set_ready()
        async with asyncio.TaskGroup() as group:
            duties = (
                group.create_task(entries.run(), name='entries'),
                group.create_task(follower.run(), name='document'),
            )
            await control.run()
            for duty in duties:
                duty.cancel()


def _make_hello(node: schema.settings.Node) -> schema.messages.Hello:
    return schema.messages.Hello(
        host=node.host,
        domain=node.domain,
        program='control',
        # Hosts keep no state; the clock makes a later start the higher one.
        incarnation=time.time_ns() // 1_000_000,
    )


async def _wait_first(
    *tasks: asyncio.Task, timeout_s: float | None = None
) -> None:
    await asyncio.wait(
        tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
