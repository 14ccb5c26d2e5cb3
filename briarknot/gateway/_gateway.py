"""Lifetime of a gateway process."""

import asyncio
import functools
import pathlib
import signal
import socket

import attrs

from briarknot import document, platform, program, schema, telemetry
from briarknot.gateway import (  # noqa: F401
    _cache_listing,
    _context,
    _generation,
    _hosts,
    _limit_sync,
    _metrics,
    _peers,
    _plain,
    _quarantine_sync,
    _requests,
    _stage_orders,
    _start_checks,
    _stopping,
    _store_sync,
    _usage_reports,
    _usage_sync,
    _version_sync,
    _worker_orders,
)

#: Time limit of one call to the store, in seconds. The store answers in 4 ms
#: and remains usable at about ten times that latency.
_STORE_TIMEOUT_S = 1.0
_FLUSH_PERIOD_S = 0.2
#: Period of checking the settings file for changes where no signal arrives.
_SETTINGS_PERIOD_S = 1.0
#: Limits of clients while no manifest is known.
_DEFAULT_LIMITS = schema.serving.ClientLimits(
    header_bytes=16_384,
    body_bytes=4 << 20,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


@attrs.define(eq=False)
class Gateway:
    """A running gateway process."""

    _settings_path: pathlib.Path
    _context: _context.Context
    _client: platform.Client
    _orders: platform.EngineOrders
    _lines: telemetry.LogLineBuffer
    _listener: socket.socket | None = None
    _settings_text: str = ''
    _stop_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _reload_requested: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self) -> None:
        """Serves clients until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        ingress = platform.make_ingress(
            self._context.settings,
            functools.partial(_requests.serve_call, self._context),
            self._is_ready,
            lambda: self._get_limits().body_bytes,
            self._listener,
            self._get_limits,
        )
        await ingress.start()
        settings = self._context.settings
        metrics = await _metrics.serve_metrics(
            settings.address, settings.metrics_port
        )
        peers = _peers.make_peers(self._context)
        host_list = _hosts.make_host_list(self._context, self._client, peers)
        store_sync = _store_sync.make_store_sync(
            self._context, self._client, peers
        )
        quarantine_sync = _quarantine_sync.make_quarantine_sync(
            self._context, self._client, peers
        )
        version_sync = _version_sync.make_version_sync(
            self._context, self._client, peers
        )
        stage_orders = _stage_orders.make_stage_orders(
            self._context, self._client, self._orders, peers
        )
        usage_sync = _usage_sync.make_usage_sync(
            self._context, self._client, peers
        )
        usage_reports = _usage_reports.make_usage_reports(
            self._context, self._client
        )

        worker_orders = _worker_orders.make_worker_orders(
            self._context, self._client
        )

        async def follow_store() -> None:
            # What is quarantined, and the versions that began streams, are
            # known before the manifest makes it ready.
            await quarantine_sync.load()
            await version_sync.load()
            await store_sync.sync_manifest()

        tasks = [
            loop.create_task(program.run_background_task(name, task))
            for name, task in (
                ('manifest', follow_store),
                ('quarantine', quarantine_sync.send),
                ('quarantine_row', quarantine_sync.store),
                ('versions', version_sync.send),
                ('versions_row', version_sync.store),
                (
                    'limits',
                    _limit_sync.make_limit_sync(self._context, peers).send,
                ),
                ('workers', store_sync.sync_workers),
                ('hosts', host_list.sync),
                ('peer_news', peers.receive),
                ('own_news', peers.broadcast_work),
                ('relay', peers.relay_work),
                ('stages', stage_orders.run),
                (
                    'cache_listing',
                    _cache_listing.make_listing_task(self._context, peers).run,
                ),
                ('usage', usage_sync.run),
                ('usage_reports', usage_reports.run),
                ('worker_orders', worker_orders.run),
                ('settings', self._watch_settings),
                ('log', self._flush_lines),
            )
        ]
        await self._stop_requested.wait()
        await self._stop(ingress)
        for task in tasks:
            task.cancel()
        await usage_reports.close()
        await worker_orders.close()
        await metrics.cleanup()

    async def _stop(self, ingress: platform.Ingress) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        plan = _stopping.plan_stop(self._context.settings.stop_grace_s)
        telemetry.log_event('stopping', open_requests=ingress.open_requests)
        ingress.set_closing()
        self._context.stop.begin(started_s + plan.answer_s)
        await asyncio.sleep(plan.refuse_s)
        ingress.refuse_requests()
        await asyncio.sleep(started_s + plan.close_s - loop.time())
        await ingress.stop_listening()
        await ingress.wait_idle(started_s + plan.exit_s - loop.time())
        telemetry.log_event('stopped', open_requests=ingress.open_requests)
        self._lines.flush()

    def _is_ready(self) -> bool:
        return self._context.is_ready and not self._stop_requested.is_set()

    def _get_limits(self) -> schema.serving.ClientLimits:
        manifest = self._context.fleet.manifest
        return _DEFAULT_LIMITS if manifest is None else manifest.limits

    async def _flush_lines(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_PERIOD_S)
            self._lines.flush()

    async def _watch_settings(self) -> None:
        """Reloads the settings after SIGHUP or a change of the file."""
        while True:
            try:
                async with asyncio.timeout(_SETTINGS_PERIOD_S):
                    await self._reload_requested.wait()
            except TimeoutError:
                cause = 'change'
            else:
                cause = 'signal'
            self._reload_requested.clear()
            self._reload_settings(cause)

    def _reload_settings(self, cause: str) -> None:
        try:
            text = self._settings_path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            telemetry.log_event('settings_unreadable', reason=str(error))
            return
        is_unchanged = text == self._settings_text or not self._settings_text
        self._settings_text = text
        if is_unchanged and cause == 'change':
            return
        parsed = document.read_text(
            schema.settings.GatewaySettings, text, str(self._settings_path)
        )
        if parsed.value is None:
            telemetry.log_event(
                'settings_rejected',
                findings=[str(finding) for finding in parsed.findings],
            )
            return
        self._context.settings = parsed.value
        self._context.budget.set_limits(
            parsed.value.retry_share,
            parsed.value.retry_extra,
            parsed.value.retry_window_s,
        )
        self._context.configuration_changed.notify()
        telemetry.log_event('settings_reloaded', cause=cause)


async def _serve(
    path: pathlib.Path,
    settings: schema.settings.GatewaySettings,
    lines: telemetry.LogLineBuffer,
    listener: socket.socket | None,
) -> None:
    async with (
        platform.make_store_session() as session,
        platform.make_order_session() as order_session,
    ):
        client = platform.make_client(
            session, f'http://{settings.store_address}', _STORE_TIMEOUT_S
        )
        calls = platform.make_worker_calls()
        context = _context.make_context(settings, calls)
        checks = _start_checks.make_start_checks(client)
        context.has_restarted = checks.has_restarted
        orders = platform.make_engine_orders(order_session)
        await Gateway(path, context, client, orders, lines, listener).serve()


def read_settings(path: pathlib.Path) -> schema.settings.GatewaySettings:
    """Reads the settings, or exits with all findings.

    :param path: path of the file.
    :raises SystemExit: with code 2 where the file is missing or wrong.
    """
    return program.read_settings(schema.settings.GatewaySettings, path)


def run(path: pathlib.Path, listener: socket.socket | None = None) -> None:
    """Serves clients until SIGTERM.

    :param path: path of the settings.
    :param listener: socket that already listens for clients; None opens one.
    """
    settings = read_settings(path)
    lines = telemetry.set_up_json_logs('briarknot-gateway', settings.host)
    telemetry.log_event('started', domain=settings.domain)
    try:
        asyncio.run(_serve(path, settings, lines, listener))
    finally:
        lines.flush()
