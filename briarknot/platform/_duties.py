"""Calls of the platform's duties, which one process of the fleet carries out."""

import aiohttp
import attrs
import orjson

from briarknot import httpclient, sentinels
from briarknot.platform import _sessions

#: Longest call. It ends 2 s after the authority that lasts 3 s at the latest.
_TIMEOUT_S = 2.0
_OK = 200
_TOO_MANY_REQUESTS = 429
_SERVER_ERROR = 500


@attrs.frozen
class UsageReport:
    """Requests of client accounts that began to run in a window.

    :param window: index of the window.
    :param counts: number of requests by account.
    """

    window: int
    counts: dict[str, int]


@attrs.frozen
class Taken:
    """The platform has taken a report."""


@attrs.frozen
class NotTaken(sentinels.Sentinel):
    """Sentinel for a report that the platform is not known to have taken.

    :param reason: why.
    :param is_final: whether it would refuse the same report again.
    """

    reason: str
    is_final: bool = False


@attrs.define(eq=False)
class Duties:
    """Reports to the platform; no method raises on an outage."""

    _session: aiohttp.ClientSession
    _host: str

    async def report_usage(
        self, address: str, report: UsageReport, fence: int
    ) -> Taken | NotTaken:
        """Reports a window once.

        :param address: IP number and port of the platform.
        :param report: the report.
        :param fence: fencing number of the authority to report.
        """
        body = orjson.dumps(
            {'windowIndex': report.window, 'counts': report.counts}
        )
        headers = {
            'Duty-Holder': self._host,
            'Fencing-Token': str(fence),
            'Content-Type': 'application/json',
        }
        try:
            async with self._session.post(
                f'http://{address}/usage',
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                return _decode_status(response.status)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return NotTaken(f'{type(error).__name__}: {error}')

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()


def _decode_status(status: int) -> Taken | NotTaken:
    if status == _OK:
        return Taken()
    is_repeated = status == _TOO_MANY_REQUESTS or status >= _SERVER_ERROR
    return NotTaken(f'status {status}', is_final=not is_repeated)


def make_duties(host: str) -> Duties:
    """Makes the client of the duties; a running event loop is needed.

    :param host: host of this process.
    """
    session = httpclient.make_session(
        connector=_sessions.make_limited_connector(),
        response_class=_sessions.Response,
    )
    return Duties(session, host)
