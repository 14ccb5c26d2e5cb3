"""Calls of the platform's duties, which one process of the fleet carries out."""

import enum

import aiohttp
import attrs
import orjson

from briarknot import httpclient, sentinels
from briarknot.platform import _sessions

#: Longest call. It ends 2 s after the authority that lasts 3 s at the latest.
_TIMEOUT_S = 2.0
_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
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


@attrs.frozen
class WorkerOrder:
    """Desired number of workers of one kind in a failure domain.

    :param service: service that they belong to.
    :param domain: the failure domain.
    :param is_spot: whether they are spot workers.
    :param desired: the number.
    """

    service: str
    domain: str
    is_spot: bool
    desired: int


class WorkerOrderResult(enum.Enum):
    """What is known of a worker order after a call."""

    ACCEPTED = 'accepted'
    #: None are available there at the moment.
    UNAVAILABLE = 'unavailable'
    #: The same order would be rejected again.
    REJECTED = 'rejected'
    #: It may have been accepted.
    UNKNOWN = 'unknown'


@attrs.frozen
class WorkerOrderOutcome:
    """Outcome of one call that orders workers.

    :param result: what is known of the order.
    :param reason: status, or why there is none.
    :param has_status: whether there was a response, so that the call can't arrive
        later.
    """

    result: WorkerOrderResult
    reason: str
    has_status: bool = True


@attrs.define(eq=False)
class Duties:
    """Calls the platform; no method raises on an outage."""

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
        status = await self._send(f'http://{address}/usage', body, fence)
        if isinstance(status, str):
            return NotTaken(status)
        return _decode_status(status)

    async def order_workers(
        self, address: str, order: WorkerOrder, fence: int
    ) -> WorkerOrderOutcome:
        """Sends a worker order once.

        :param address: IP number and port of the platform.
        :param order: the order.
        :param fence: fencing number of the authority to order.
        """
        tree = {
            'service': order.service,
            'zone': order.domain,
            'desired': order.desired,
        }
        if order.is_spot:
            tree['spot'] = True
        status = await self._send(
            f'http://{address}/scale', orjson.dumps(tree), fence
        )
        if isinstance(status, str):
            return WorkerOrderOutcome(
                WorkerOrderResult.UNKNOWN, status, has_status=False
            )
        return WorkerOrderOutcome(
            _decode_order_status(status), f'status {status}'
        )

    async def _send(self, url: str, body: bytes, fence: int) -> int | str:
        """Sends a call; its body is not read, so that it may be endless.

        :param url: URL of the call.
        :param body: JSON text.
        :param fence: fencing number.
        :returns: the status, or why there is none.
        """
        headers = {
            'Duty-Holder': self._host,
            'Fencing-Token': str(fence),
            'Content-Type': 'application/json',
        }
        try:
            async with self._session.post(
                url,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                return response.status
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return f'{type(error).__name__}: {error}'

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()


def _decode_status(status: int) -> Taken | NotTaken:
    if status == _OK:
        return Taken()
    is_repeated = status == _TOO_MANY_REQUESTS or status >= _SERVER_ERROR
    return NotTaken(f'status {status}', is_final=not is_repeated)


def _decode_order_status(status: int) -> WorkerOrderResult:
    if status == _OK:
        return WorkerOrderResult.ACCEPTED
    if status == _CONFLICT:
        return WorkerOrderResult.UNAVAILABLE
    is_client_error = _BAD_REQUEST <= status < _SERVER_ERROR
    if is_client_error and status != _TOO_MANY_REQUESTS:
        return WorkerOrderResult.REJECTED
    return WorkerOrderResult.UNKNOWN


def make_duties(host: str) -> Duties:
    """Makes the client of the duties; a running event loop is needed.

    :param host: host of this process.
    """
    session = httpclient.make_session(
        connector=_sessions.make_limited_connector(),
        response_class=_sessions.Response,
    )
    return Duties(session, host)
