"""Distinguishes crashes of engines from broken connections."""

import time

import aiohttp
import attrs
import orjson
import prometheus_client

from briarknot import links, routing, telemetry
from briarknot.entry import _attempts, _stream

_CRASHES = prometheus_client.Counter(
    'briarknot_engine_crashes', 'Crashes of engines that were noticed.'
)
#: A live engine in the local failure domain answers within milliseconds.
_TIMEOUT_S = 0.5
_OK = 200


@attrs.define(eq=False)
class Probe:
    """Requests the load of an engine after one of its streams broke.

    An engine that does not answer, or whose process is another one than
    before, has crashed. All requests in flight there become suspects.
    """

    _session: aiohttp.ClientSession
    _view: routing.View
    _quarantine: routing.Quarantine
    _hub: links.Hub

    async def check_crash(
        self, target: _attempts.Target, end: _stream.Broken
    ) -> None:
        """Checks whether the failed engine has crashed, and records it.

        :param target: target of the attempt that failed.
        :param end: failure; names the prefill engine if that one failed.
        """
        if target.choice is None:
            # The entry process that it was forwarded to checks its engine.
            return
        failed = target.choice.engine
        if end.engine:
            failed = target.choice.prefill_engine
        engine_view = self._view.find_engine(failed.name)
        previous = engine_view.instance if engine_view else ''
        current = await self._fetch_instance(failed.url)
        if current is not None and previous in {'', current}:
            return
        now = time.monotonic()
        self._view.mark_failed(failed.name, now)
        messages = self._quarantine.record_crash(failed.name, now)
        if messages:
            _CRASHES.inc()
            telemetry.log_change(
                'engine', 'crashed', name=failed.name, suspects=len(messages)
            )
        for message in messages:
            self._hub.broadcast(message)

    async def _fetch_instance(self, url: str) -> str | None:
        """Returns the id of the engine's process; None without an answer."""
        try:
            async with self._session.get(
                f'{url}/load', timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S)
            ) as response:
                body = await response.read()
                if response.status != _OK:
                    return None
                return orjson.loads(body).get('instance', '')
        except (aiohttp.ClientError, OSError, ValueError):
            return None


def make_probe(
    session: aiohttp.ClientSession,
    view: routing.View,
    quarantine: routing.Quarantine,
    hub: links.Hub,
) -> Probe:
    """Makes the probe of a process.

    :param session: client session for endpoints.
    :param view: view of the endpoints in the local failure domain.
    :param quarantine: fingerprints of requests that were in flight at
        crashes.
    :param hub: peer links of the process.
    """
    return Probe(session, view, quarantine, hub)
