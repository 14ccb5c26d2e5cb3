"""Lifetime of a gateway process."""

import asyncio
import functools
import pathlib
import signal
import socket
import time

import aiohttp
import attrs

from briarknot import document, platform, program, schema, telemetry
from briarknot.gateway import (  # noqa: F401
    _context,
    _followers,
    _generation,
    _hosts,
    _metrics,
    _peers,
    _plain,
    _requests,
)

#: Time limit of one call to the store, in seconds; it answers in 4 ms, and
#: stays usable while it is some ten times slower.
_STORE_TIMEOUT_S = 1.0
_FLUSH_S = 0.2
#: Period of checking the settings file for changes without a signal.
_SETTINGS_PERIOD_S = 1.0
#: Time from readiness off until the listener closes: the platform notices two
#: missed checks, a second apart.
_LISTEN_ON_S = 3.2
#: Time before the process would be killed at which it ends.
_EXIT_MARGIN_S = 0.6
_DEFAULT_BODY_BYTES = 4 * 1024 * 1024


@attrs.define(eq=False)
class Gateway:
    """A running gateway process."""

    _path: pathlib.Path
    _context: _context.Context
    _client: platform.Client
    _lines: telemetry.LogLineBuffer
    _listener: socket.socket | None = None
    _text: str = ''
    _stopping: asyncio.Event = attrs.field(factory=asyncio.Event)
    _reload: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self) -> None:
        """Serves clients until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)
        ingress = platform.make_ingress(
            self._context.settings,
            functools.partial(_requests.serve_call, self._context),
            self._is_ready,
            self._read_body_limit,
            self._listener,
        )
        await ingress.start()
        settings = self._context.settings
        metrics = await _metrics.serve_metrics(
            settings.address, settings.metrics_port
        )
        peers = _peers.make_peers(self._context)
        hosts = _hosts.make_hosts(self._context, self._client, peers)
        followers = _followers.make_followers(
            self._context, self._client, peers
        )
        tasks = [
            loop.create_task(program.run_background_task(name, duty))
            for name, duty in (
                ('manifest', followers.follow_manifest),
                ('workers', followers.follow_workers),
                ('hosts', hosts.follow),
                ('peer_news', peers.receive),
                ('own_news', peers.send),
                ('settings', self._watch_settings),
                ('log', self._flush_lines),
            )
        ]
        await self._stopping.wait()
        await self._stop(ingress)
        for task in tasks:
            task.cancel()
        await metrics.cleanup()

    async def _stop(self, ingress: platform.Ingress) -> None:
        started_s = time.monotonic()
        telemetry.log_event('stopping', open_requests=ingress.open_requests)
        ingress.set_closing()
        await asyncio.sleep(_LISTEN_ON_S)
        await ingress.stop_listening()
        grace_s = self._context.settings.stop_grace_s - _EXIT_MARGIN_S
        end_s = started_s + grace_s
        await ingress.wait_idle(end_s - time.monotonic())
        telemetry.log_event('stopped', open_requests=ingress.open_requests)
        self._lines.flush()

    def _is_ready(self) -> bool:
        return self._context.is_ready and not self._stopping.is_set()

    def _read_body_limit(self) -> int:
        manifest = self._context.fleet.manifest
        if manifest is None:
            return _DEFAULT_BODY_BYTES
        return manifest.limits.body_bytes

    async def _flush_lines(self) -> None:
        while True:
            await asyncio.sleep(_FLUSH_S)
            self._lines.flush()

    async def _watch_settings(self) -> None:
        """Reads the settings again after SIGHUP or a change of the file."""
        while True:
            try:
                async with asyncio.timeout(_SETTINGS_PERIOD_S):
                    await self._reload.wait()
            except TimeoutError:
                cause = 'change'
            else:
                cause = 'signal'
            self._reload.clear()
            self._read_settings(cause)

    def _read_settings(self, cause: str) -> None:
        try:
            text = self._path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            telemetry.log_event('settings_unreadable', reason=str(error))
            return
        is_known = text == self._text or not self._text
        self._text = text
        if is_known and cause == 'change':
            return
        reading = document.read_text(
            schema.settings.GatewaySettings, text, str(self._path)
        )
        if reading.value is None:
            telemetry.log_event(
                'settings_rejected',
                findings=[str(finding) for finding in reading.findings],
            )
            return
        self._context.settings = reading.value
        self._context.budget.set_limits(
            reading.value.retry_share,
            reading.value.retry_extra,
            reading.value.retry_window_s,
        )
        telemetry.log_event('settings_reloaded', cause=cause)


async def _serve(
    path: pathlib.Path,
    settings: schema.settings.GatewaySettings,
    lines: telemetry.LogLineBuffer,
    listener: socket.socket | None,
) -> None:
    async with aiohttp.ClientSession() as session:
        client = platform.make_client(
            session, f'http://{settings.store_address}', _STORE_TIMEOUT_S
        )
        calls = platform.make_worker_calls()
        context = _context.make_context(settings, calls)
        await Gateway(path, context, client, lines, listener).serve()


def read_settings(path: pathlib.Path) -> schema.settings.GatewaySettings:
    """Reads the settings, or exits with all findings.

    :param path: path of the file.
    :raises SystemExit: with code 2 where the file is missing or wrong.
    """
    return program.read_settings(schema.settings.GatewaySettings, path)


def run(path: pathlib.Path, listener: socket.socket | None = None) -> None:
    """Serves clients until SIGTERM.

    :param path: path of the settings.
    :param listener: socket that listens for clients already; None opens one.
    """
    settings = read_settings(path)
    lines = telemetry.set_up_json_logs('briarknot-gateway', settings.host)
    telemetry.log_event('started', domain=settings.domain)
    try:
        asyncio.run(_serve(path, settings, lines, listener))
    finally:
        lines.flush()
