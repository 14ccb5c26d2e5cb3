"""Tells the crash of an engine from a broken connection."""

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
#: A live engine in the own failure domain answers within milliseconds.
_TIMEOUT_S = 0.5
_OK = 200


@attrs.define(eq=False)
class Probe:
    """Asks an engine for its load after a stream broke.

    An engine that does not answer, or that is another process than before,
    has crashed. All requests that were in flight there become suspects.
    """

    _session: aiohttp.ClientSession
    _view: routing.View
    _quarantine: routing.Quarantine
    _hub: links.Hub

    async def check_crash(
        self, target: _attempts.Target, end: _stream.Broken
    ) -> None:
        """Records a crash where the engine that failed has crashed.

        :param target: target of the attempt that broke.
        :param end: how it broke; of a pair, it names the prefill engine where
            that one failed.
        """
        if target.choice is None:
            # The entry process of the other failure domain does it.
            return
        failed = target.choice.engine
        if end.engine:
            failed = target.choice.prefill_engine
        known = self._view.find_engine(failed.name)
        before = known.instance if known else ''
        found = await self._fetch_instance(failed.url)
        if found is not None and before in {'', found}:
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
    :param view: endpoint view of the own failure domain.
    :param quarantine: fingerprints seen at crashes.
    :param hub: peer links of the process.
    """
    return Probe(session, view, quarantine, hub)
