"""Decodes the headers of workers' answers."""

import math

import aiohttp
import prometheus_client

from briarknot import serving, telemetry
from briarknot.platform import _headers

_MALFORMED = prometheus_client.Counter(
    'briarknot_platform_malformed',
    'Parts of answers that could not be decoded.',
    ('part',),
)
_UNAVAILABLE = 503
#: Longest time for which a worker can ask for no requests.
_MAX_PAUSE_S = 60.0
#: Work time that a worker reports while its host is not busy with other work.
_USUAL_PERCENT = 100
_MAX_LOGGED_TEXT = 100


def filter_headers(
    response: aiohttp.ClientResponse,
) -> tuple[serving.Header, ...]:
    """Returns the headers of an answer that its client gets.

    :param response: the answer.
    """
    return tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _headers.CONNECTION_HEADERS
    )


def decode_load(response: aiohttp.ClientResponse) -> serving.Load | None:
    """Decodes the load that a worker reports.

    :param response: the answer.
    :returns: the load; None if there is none, or a malformed one.
    """
    text = response.headers.get(_headers.WORKER_LOAD)
    if text is None:
        return None
    try:
        running, waiting, slots, *others = (
            int(part) for part in text.split(',')
        )
        percent = others[0] if others else _USUAL_PERCENT
        return serving.Load(
            running=running,
            waiting=waiting,
            slots=slots,
            work_time_ratio=max(0, percent) / _USUAL_PERCENT,
        )
    except (OverflowError, ValueError):
        _MALFORMED.labels('load').inc()
        telemetry.log_event(
            'load_malformed',
            address=response.url.authority,
            value=text[:_MAX_LOGGED_TEXT],
        )
        return None


def decode_backpressure(
    response: aiohttp.ClientResponse,
) -> serving.Backpressure | None:
    """Decodes what a worker states about the requests that it wants.

    :param response: the answer.
    :returns: its statements; None if its limit can't be read.
    """
    limit_per_s = _decode_number(response, _headers.WORKER_LIMIT)
    pause_s = None
    if response.status == _UNAVAILABLE:
        pause_s = _decode_number(response, _headers.RETRY_AFTER)
    stated = serving.Backpressure(
        limit_per_s=limit_per_s,
        is_leaving=response.headers.get(_headers.WORKER_LEAVING) == '1',
        pause_s=min(pause_s or 0, _MAX_PAUSE_S),
    )
    is_malformed = (
        limit_per_s is None and _headers.WORKER_LIMIT in response.headers
    )
    # A malformed limit must not end the one that is in force.
    return None if is_malformed and not stated.is_leaving else stated


def _decode_number(response: aiohttp.ClientResponse, name: str) -> float | None:
    """Decodes a header with a number that is not negative, if there is one."""
    text = response.headers.get(name)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if math.isfinite(number) and number >= 0:
        return number
    _MALFORMED.labels('limit').inc()
    telemetry.log_event(
        'limit_malformed',
        address=response.url.authority,
        header=name,
        value=text[:_MAX_LOGGED_TEXT],
    )
    return None
