"""Starts and stops the parts of an entry process."""

import asyncio
import contextlib
import functools

import aiohttp
from aiohttp import web

from briarknot import (
    links,
    membership,
    platform,
    program,
    schema,
    telemetry,
)
from briarknot.entry import (
    _attempts,
    _callers,
    _context,
    _feeds,
    _forward,
    _neighbours,
)

_STOP_POLL_S = 0.05


async def serve(
    process: program.Process, settings: schema.settings.EntrySettings
) -> None:
    """Entry process: serves callers' requests until SIGTERM."""
    node = settings.node
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            aiohttp.ClientSession(auto_decompress=False)
        )
        endpoint_session = await stack.enter_async_context(
            _attempts.make_session(settings.timing)
        )
        hub = links.make_hub(_make_hello(settings), node.peer_secret)
        client = platform.make_client(
            session, node.platform_url, node.platform_timeout_s
        )
        context = _context.make_context(settings, client, hub, endpoint_session)
        feeds = _feeds.make_feeds(context, endpoint_session)
        stack.push_async_callback(feeds.close)
        _register_handlers(context, feeds)
        callers = _callers.make_callers(context)
        await _listen(process, context, callers)
        async with asyncio.TaskGroup() as group:
            tasks = _start_tasks(group, context)
            group.create_task(_report_ready(process, context))
            await process.stopping.wait()
            await _stop(process, context, callers)
            for task in tasks:
                task.cancel()


def _make_hello(
    settings: schema.settings.EntrySettings,
) -> schema.messages.Hello:
    node = settings.node
    return schema.messages.Hello(
        host=node.host,
        domain=node.domain,
        program='entry',
        incarnation=membership.make_incarnation(),
        peer_url=f'http://{node.advertise}:{settings.peer_port}',
    )


def _register_handlers(context: _context.Context, feeds: _feeds.Feeds) -> None:
    messages = schema.messages
    context.follower.add_listener(feeds.apply_document)
    context.follower.register_handlers()
    context.hub.register(messages.Hello, context.follower.handle_hello)
    context.hub.register(messages.EngineLoad, feeds.handle_load)
    context.hub.register(messages.EngineCache, feeds.handle_cache)
    context.hub.register(messages.DomainSummary, context.peers.handle_summary)
    context.hub.register(messages.CreditRequest, context.limits.handle_request)
    context.hub.register(messages.CreditGrant, context.limits.handle_grant)
    context.hub.register(messages.DrainMark, context.drains.handle_mark)
    context.hub.register(messages.Quarantine, context.handle_quarantine)


async def _listen(
    process: program.Process,
    context: _context.Context,
    callers: _callers.Callers,
) -> None:
    settings = context.settings
    peer_app = web.Application(client_max_size=settings.limits.body_bytes)
    context.hub.add_routes(peer_app)
    _forward.make_forwarder(context).add_routes(peer_app)
    await process.listen(peer_app, settings.peer_port)
    limit = settings.limits.header_bytes
    await process.listen(
        callers.make_app(),
        settings.caller_port,
        max_line_size=limit,
        max_field_size=limit,
    )


def _start_tasks(
    group: asyncio.TaskGroup, context: _context.Context
) -> list[asyncio.Task[None]]:
    neighbours = _neighbours.make_neighbours(context)
    duties = {
        'links': neighbours.run_links,
        'summaries': neighbours.run_summaries,
        'document': context.follower.run,
        'pauses': context.drains.run_pauses,
        'drain marks': context.drains.run,
        'limits': context.limits.run,
        'members': functools.partial(
            links.run_detector,
            context.hub,
            context.members,
            context.detector,
            context.settings.timing.heartbeat_s,
        ),
        'journal': functools.partial(context.journal.run, asyncio.Event()),
    }
    return [
        group.create_task(program.run_background_task(name, duty), name=name)
        for name, duty in duties.items()
    ]


async def _report_ready(
    process: program.Process, context: _context.Context
) -> None:
    """Reports readiness once there is a document and the marks are known."""
    process.set_ready('no fleet document yet')
    while not context.follower.revision:
        if process.stopping.is_set():
            return
        await asyncio.sleep(_STOP_POLL_S)
    await context.drains.wait_current()
    if not process.stopping.is_set():
        process.set_ready()


async def _stop(
    process: program.Process,
    context: _context.Context,
    callers: _callers.Callers,
) -> None:
    """Stops without cutting a request.

    The listener stays open until the balancer has noticed; then new requests
    are refused as not run, and open ones end.
    """
    node = context.node
    process.set_ready('stopping')
    await asyncio.sleep(node.drain_grace_s)
    callers.refuse_new()
    telemetry.log_change('entry', 'draining', open=context.open_requests.total)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(node.stop_timeout_s):
            await context.open_requests.wait_none()
    await context.claims.close(node.platform_timeout_s)
    await context.journal.flush()
