"""Acquires the lease and runs the leader while it is held."""

import asyncio
import contextlib
import time
import uuid

import aiohttp
import attrs

from briarknot import (
    authority,
    config,
    httpclient,
    links,
    platform,
    program,
    schema,
    telemetry,
)
from briarknot.control import _engine_controller, _entries, _leader

#: The same period as in entry processes.
_DOCUMENT_POLL_S = 1.0
_PEER_WAIT_S = 2.0


@attrs.define(eq=False)
class _Control:
    """Objects of the process that outlive a lease."""

    _process: program.Process
    _settings: schema.settings.ControlSettings
    _client: platform.Client
    _session: aiohttp.ClientSession
    _follower: config.Follower
    _entries: _entries.Entries
    _lease: authority.Lease

    async def handle_hello(
        self, link: links.Link, hello: schema.messages.Hello
    ) -> None:
        """Handles the first message of a link."""
        await self._follower.handle_hello(link, hello)
        await self._entries.handle_hello(link)

    async def run(self) -> None:
        """Acquires the lease whenever it is free, until the process stops."""
        stopping = asyncio.create_task(self._process.stopping.wait())
        while not stopping.done():
            acquiring = asyncio.create_task(self._lease.acquire())
            await _wait_any(acquiring, stopping)
            if acquiring.done():
                acquiring.result()
                await self._lead(stopping)
            else:
                await _cancel(acquiring)

    async def _lead(self, stopping: asyncio.Task[bool]) -> None:
        """Runs the leader until the lease ends."""
        context = self._make_context()
        leader = _leader.make_leader(
            context, self._follower, self._settings.node.domain
        )
        leading = asyncio.create_task(leader.run(), name='leading')
        renewing = asyncio.create_task(
            self._lease.renew_until_lost(), name='lease'
        )
        await _wait_any(leading, renewing, stopping)
        if not renewing.done():
            context.closing.set()
            await _wait_any(
                leading, renewing, timeout_s=self._settings.node.stop_timeout_s
            )
        # An error of the leader ends the process, and with it the timer.
        if leading.done():
            leading.result()
        await _cancel(leading)
        if renewing.done():
            telemetry.log_change('lease', 'ending', reason=renewing.result())
            self._lease.step_down()
        else:
            await _cancel(renewing)
            await self._lease.release()

    def _make_context(self) -> _engine_controller.LeaderContext:
        return _engine_controller.LeaderContext(
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
            httpclient.make_session(
                repeats_reads=True, connector=httpclient.Connector(limit=0)
            )
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
        hub.register(schema.messages.Hello, control.handle_hello)
        hub.register(schema.messages.DrainAck, entries.handle_ack)
        process.set_ready()
        async with asyncio.TaskGroup() as group:
            tasks = (
                group.create_task(entries.run(), name='entries'),
                group.create_task(follower.run(), name='document'),
            )
            await control.run()
            for task in tasks:
                task.cancel()


def _make_hello(node: schema.settings.Node) -> schema.messages.Hello:
    return schema.messages.Hello(
        host=node.host,
        domain=node.domain,
        program='control',
        # Hosts keep no state; the clock gives a later start a higher number.
        incarnation=time.time_ns() // 1_000_000,
    )


async def _wait_any(
    *tasks: asyncio.Task, timeout_s: float | None = None
) -> None:
    await asyncio.wait(
        tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
