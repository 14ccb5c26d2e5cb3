"""Names and encoding of the journal's objects."""

import collections.abc
import re
import zlib

import orjson

from briarknot import schema

# Level 1 takes about a third of the default level's time on JSON records.
_COMPRESSION_LEVEL = 1
_NUMBER = re.compile('[0-9]+')


def make_name(host: str, slot: str, number: int) -> str:
    """Makes the name of an object.

    :param host: entry host.
    :param slot: time slot of the requests.
    :param number: number that the host uses only once.
    """
    return f'{make_prefix(slot, host)}{number}'


def make_prefix(slot: str, host: str = '') -> str:
    """Makes the name prefix of a slot, or of a host in it."""
    return f'journal/{slot}/{host}-' if host else f'journal/{slot}/'


def is_of_host(name: str, slot: str, host: str) -> bool:
    """Returns whether an object was written by a host.

    The prefix of host ``a`` also matches the objects of host ``a-1``.

    >>> is_of_host('journal/1/a-1-7', '1', 'a')
    False
    """
    number = name.removeprefix(make_prefix(slot, host))
    return _NUMBER.fullmatch(number) is not None


def encode_batch(
    host: str,
    slot: str,
    lines: collections.abc.Iterable[bytes],
    losses: collections.abc.Iterable[schema.records.JournalLoss],
) -> bytes:
    """Encodes a :class:`schema.records.JournalBatch`.

    :param host: entry host.
    :param slot: time slot of the requests.
    :param lines: records that :func:`encode_record` returned.
    :param losses: losses to report.
    :returns: compressed JSON.
    """
    encoded = orjson.dumps(
        {
            'host': host,
            'slot': slot,
            'records': [orjson.Fragment(line) for line in lines],
            'losses': schema.to_plain(tuple(losses)),
        }
    )
    return zlib.compress(encoded, _COMPRESSION_LEVEL)


def encode_record(record: schema.records.RequestRecord) -> bytes:
    """Encodes one record as JSON."""
    return orjson.dumps(schema.to_plain(record))


def decode_batch(body: bytes) -> schema.records.JournalBatch | None:
    """Decodes an object, or returns None where it is damaged.

    :param body: compressed JSON.
    """
    try:
        return schema.from_plain(
            schema.records.JournalBatch, orjson.loads(zlib.decompress(body))
        )
    except (zlib.error, ValueError, TypeError):
        return None
