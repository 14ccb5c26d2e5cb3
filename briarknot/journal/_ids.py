"""Request ids, which contain the host and the time slot of the record."""

import datetime
import re
import secrets

import attrs

from briarknot import sentinels

_RANDOM_BYTES = 8
_SLOT_FORMAT = '%Y%m%d%H%M'
_PATTERN = re.compile(
    r'([a-z0-9][a-z0-9-]*)\.([0-9]{12})\.([0-9a-f]{16})', re.ASCII
)


@attrs.frozen
class RequestId:
    """Parts of a request id.

    :param host: entry host that received the request.
    :param slot: minute of receipt in UTC, ``YYYYMMDDhhmm``.
    :param random: random part.
    """

    host: str
    slot: str
    random: str


@attrs.frozen
class BadRequestId(sentinels.Sentinel):
    """Sentinel for a text that is not a request id.

    :param text: the text.
    """

    text: str


def make_slot(now: float) -> str:
    """Returns the time slot of one minute as ``YYYYMMDDhhmm``.

    :param now: Unix time in seconds.

    >>> make_slot(0)
    '197001010000'
    """
    moment = datetime.datetime.fromtimestamp(now, datetime.UTC)
    return moment.strftime(_SLOT_FORMAT)


def make_request_id(host: str, now: float) -> str:
    """Makes a request id that needs no quoting in URLs.

    :param host: entry host that received the request.
    :param now: Unix time of receipt in seconds.

    >>> make_request_id('host-1', 0)[:20]
    'host-1.197001010000.'
    """
    return f'{host}.{make_slot(now)}.{secrets.token_hex(_RANDOM_BYTES)}'


def parse_request_id(text: str) -> RequestId | BadRequestId:
    """Parses a request id.

    :param text: the id; it may be user input.

    >>> parse_request_id('host-1.197001010000.00112233445566ff').host
    'host-1'
    >>> bool(parse_request_id('../documents/1'))
    False
    """
    match = _PATTERN.fullmatch(text)
    if match is None:
        return BadRequestId(text)
    return RequestId(*match.groups())
