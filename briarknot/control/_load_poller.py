"""Poller of one engine's load reports."""

import asyncio
import time

import aiohttp
import attrs
import orjson
import prometheus_client

from briarknot import schema

_POLLS = prometheus_client.Counter(
    'briarknot_control_polls', 'Polls of engine load by result.', ('result',)
)
_OK = 200
_TIMEOUT = aiohttp.ClientTimeout(total=2)
_MIN_PERIOD_S = 0.1
_MAX_PERIOD_S = 1.0


@attrs.define(eq=False)
class LoadPoller:
    """Polls the load of one engine while the lease is held.

    :param session: client session for engines.
    :param url: base URL of the engine.
    :param report_lag_s: largest lag of its reports, in seconds.
    """

    _session: aiohttp.ClientSession
    _url: str
    _report_lag_s: float
    _report: schema.endpoints.LoadReport | None = attrs.field(
        default=None, init=False
    )
    _as_of_s: float = attrs.field(default=float('-inf'), init=False)
    _idle_since_s: float | None = attrs.field(default=None, init=False)

    @property
    def report(self) -> schema.endpoints.LoadReport | None:
        """Latest report."""
        return self._report

    @property
    def as_of_s(self) -> float:
        """Monotonic time of the latest report's figures."""
        return self._as_of_s

    @property
    def idle_since_s(self) -> float | None:
        """Time since which reports show no work; None where one does."""
        return self._idle_since_s

    @property
    def period_s(self) -> float:
        """Period of the polls, in seconds."""
        period_s = max(_MIN_PERIOD_S, self._report_lag_s / 2)
        return min(period_s, _MAX_PERIOD_S)

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            sent_s = time.monotonic()
            report = await self._poll()
            _POLLS.labels('ok' if report else 'failed').inc()
            if report:
                self.apply(report, sent_s)
            await asyncio.sleep(self.period_s)

    def apply(self, report: schema.endpoints.LoadReport, sent_s: float) -> None:
        """Records a report.

        :param report: the report.
        :param sent_s: monotonic time at which it was requested.
        """
        as_of_s = sent_s - report.as_of_age_s
        self._report = report
        self._as_of_s = as_of_s
        if report.running or report.queued or report.queued_prefill_tokens:
            self._idle_since_s = None
        elif self._idle_since_s is None:
            self._idle_since_s = as_of_s

    async def _poll(self) -> schema.endpoints.LoadReport | None:
        try:
            async with self._session.get(
                f'{self._url}/load', timeout=_TIMEOUT
            ) as response:
                body = await response.read()
                if response.status != _OK:
                    return None
        # TimeoutError is a subclass of OSError.
        except (aiohttp.ClientError, OSError):
            return None
        try:
            return schema.from_plain(
                schema.endpoints.LoadReport, orjson.loads(body)
            )
        except (TypeError, ValueError):
            return None
