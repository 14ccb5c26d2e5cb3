"""Starts and stops the components of an entry process."""

import asyncio
import contextlib
import functools

from aiohttp import web

from briarknot import (
    httpclient,
    links,
    membership,
    platform,
    program,
    schema,
    telemetry,
)
from briarknot.entry import (
    _attempts,
    _caller_api,
    _context,
    _engine_poller,
    _forward_api,
    _peer_links,
)

_READY_POLL_S = 0.05


async def serve(
    process: program.Process, settings: schema.settings.EntrySettings
) -> None:
    """Serves callers' requests until SIGTERM.

    :param process: the process.
    :param settings: settings of the process.
    """
    node = settings.node
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            httpclient.make_session(repeats_reads=True, auto_decompress=False)
        )
        endpoint_session = await stack.enter_async_context(
            _attempts.make_session(settings.timing)
        )
        hub = links.make_hub(_make_hello(settings), node.peer_secret)
        client = platform.make_client(
            session, node.platform_url, node.platform_timeout_s
        )
        context = _context.make_context(settings, client, hub, endpoint_session)
        engine_poller = _engine_poller.make_engine_poller(
            context, endpoint_session
        )
        stack.push_async_callback(engine_poller.close)
        _register_handlers(context, engine_poller)
        caller_api = _caller_api.make_caller_api(context)
        await _listen(process, context, caller_api)
        async with asyncio.TaskGroup() as group:
            tasks = _start_tasks(group, context)
            group.create_task(_report_ready(process, context))
            await process.stopping.wait()
            await _stop(process, context, caller_api)
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


def _register_handlers(
    context: _context.Context, engine_poller: _engine_poller.EnginePoller
) -> None:
    messages = schema.messages
    context.follower.add_listener(engine_poller.apply_document)
    context.follower.register_handlers()
    context.hub.register(messages.Hello, context.follower.handle_hello)
    context.hub.register(messages.EngineLoad, engine_poller.handle_load)
    context.hub.register(messages.EngineCache, engine_poller.handle_cache)
    context.hub.register(
        messages.DomainSummary, context.hop_selector.handle_summary
    )
    context.hub.register(
        messages.CreditRequest, context.account_limits.handle_request
    )
    context.hub.register(
        messages.CreditGrant, context.account_limits.handle_grant
    )
    context.hub.register(messages.DrainMark, context.drain_marks.handle_mark)
    context.hub.register(messages.Quarantine, context.handle_quarantine)


async def _listen(
    process: program.Process,
    context: _context.Context,
    caller_api: _caller_api.CallerApi,
) -> None:
    settings = context.settings
    peer_app = web.Application(client_max_size=settings.limits.body_bytes)
    context.hub.add_routes(peer_app)
    _forward_api.make_forward_api(context).add_routes(peer_app)
    await process.listen(peer_app, settings.peer_port)
    limit = settings.limits.header_bytes
    runner = platform.make_limited_runner(
        caller_api.make_app(),
        settings.connections,
        settings.limits.memory_mb,
        max_line_size=limit,
        max_field_size=limit,
    )
    await process.listen_with(runner, settings.caller_port)


def _start_tasks(
    group: asyncio.TaskGroup, context: _context.Context
) -> list[asyncio.Task[None]]:
    peer_links = _peer_links.make_peer_links(context)
    background_tasks = {
        'links': peer_links.run_links,
        'summaries': peer_links.run_summaries,
        'document': context.follower.run,
        'pauses': context.drain_marks.run_pause_detector,
        'drain marks': context.drain_marks.run,
        'limits': context.account_limits.run,
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
        group.create_task(
            program.run_background_task(name, run_task), name=name
        )
        for name, run_task in background_tasks.items()
    ]


async def _report_ready(
    process: program.Process, context: _context.Context
) -> None:
    """Reports readiness once the document and the drain marks are known."""
    process.set_ready('no fleet document yet')
    while not context.follower.revision:
        if process.stopping.is_set():
            return
        await asyncio.sleep(_READY_POLL_S)
    await context.drain_marks.wait_until_current()
    if not process.stopping.is_set():
        process.set_ready()


async def _stop(
    process: program.Process,
    context: _context.Context,
    caller_api: _caller_api.CallerApi,
) -> None:
    """Stops without interrupting a request.

    The listener stays open until the load balancer has seen that the process
    is not ready. New requests are then refused as not run, and open ones are
    completed.
    """
    node = context.node
    process.set_ready('stopping')
    await asyncio.sleep(node.drain_grace_s)
    caller_api.refuse_new_requests()
    telemetry.log_change('entry', 'draining', open=context.open_requests.total)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(node.stop_timeout_s):
            await context.open_requests.wait_idle()
    await context.claims.close(node.platform_timeout_s)
    await context.journal.flush()
