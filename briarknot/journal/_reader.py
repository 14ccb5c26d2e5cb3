"""Reads records from the object store."""

import asyncio
import collections.abc
import time

import attrs

from briarknot import platform, schema
from briarknot.journal import _batches, _ids

_Batch = schema.records.JournalBatch
_Record = schema.records.RequestRecord
_SLOT_S = 60
# A search over an hour must leave most of the store's 2,000 reads/s to the
# fleet: 8 reads at once of at least 20 ms are at most 400 reads/s.
_READS_AT_ONCE = 8
_READ_S = 0.02


@attrs.frozen
class SearchResult:
    """Result of a search.

    :param records: records, oldest first.
    :param losses: what journals could not keep in the searched slots.
    :param unread: objects and prefixes that could not be read.
    """

    records: tuple[_Record, ...] = ()
    losses: tuple[schema.records.JournalLoss, ...] = ()
    unread: tuple[str, ...] = ()


async def read_record(
    client: platform.Client, request_id: str, host: str = ''
) -> _Record | platform.Missing | platform.Unavailable:
    """Reads the record of a request.

    :param client: client of the object store.
    :param request_id: the request's id.
    :param host: host that wrote the record, where it is not the one that the
        id names; the other end of a hop between failure domains writes one.
    :returns: the record; missing also where it is not yet written.
    """
    found = await _read_host(client, request_id, host)
    if isinstance(found, SearchResult):
        for record in found.records:
            if record.request_id == request_id:
                return record
        if found.unread:
            return platform.Unavailable(f'not read: {", ".join(found.unread)}')
        return platform.Missing()
    return found


async def read_hops(
    client: platform.Client, record: _Record
) -> tuple[_Record, ...]:
    """Reads the records that peers wrote of a request.

    :param client: client of the object store.
    :param record: record of the host that received the request.
    """
    hosts = dict.fromkeys(attempt.endpoint for attempt in record.attempts)
    hops = [
        await read_record(client, record.request_id, host)
        for host in hosts
        if host and host != record.host
    ]
    return tuple(hop for hop in hops if isinstance(hop, _Record))


async def read_losses(
    client: platform.Client, request_id: str
) -> tuple[schema.records.JournalLoss, ...]:
    """Reads what the host lost of the time slot of a request.

    :param client: client of the object store.
    :param request_id: the request's id.
    """
    found = await _read_host(client, request_id, '')
    return found.losses if isinstance(found, SearchResult) else ()


async def find_records(
    client: platform.Client,
    account: str,
    since_s: float,
    only_late: bool = False,
) -> SearchResult | platform.Unavailable:
    """Finds the records of an account.

    :param client: client of the object store.
    :param account: name of the account; empty for all accounts.
    :param since_s: Unix time of the earliest receipt, in seconds.
    :param only_late: whether to find only what missed its target or did not
        complete.
    :returns: what was found, or Unavailable where nothing could be listed.
    """
    found = []
    start_s = since_s - since_s % _SLOT_S
    for slot_s in _count_slots(start_s, time.time()):
        slot = _ids.make_slot(slot_s)
        part = await _read_prefix(client, _batches.make_prefix(slot), str)
        if isinstance(part, platform.Unavailable):
            return part
        found.append(part)
    records = (record for part in found for record in part.records)
    return SearchResult(
        tuple(
            sorted(
                (
                    record
                    for record in records
                    if account in {'', record.account}
                    and record.received_s >= since_s
                    and (not only_late or _is_late(record))
                ),
                key=_read_receipt,
            )
        ),
        tuple(loss for part in found for loss in part.losses),
        tuple(name for part in found for name in part.unread),
    )


def _count_slots(
    start_s: float, end_s: float
) -> collections.abc.Iterator[float]:
    while start_s <= end_s:
        yield start_s
        start_s += _SLOT_S


def _is_late(record: _Record) -> bool:
    return record.late or record.outcome != 'completed'


def _read_receipt(record: _Record) -> float:
    return record.received_s


async def _read_host(
    client: platform.Client, request_id: str, host: str
) -> SearchResult | platform.Missing | platform.Unavailable:
    parts = _ids.parse_request_id(request_id)
    if isinstance(parts, _ids.BadRequestId):
        return platform.Missing()
    writer = host or parts.host

    def is_chosen(name: str) -> bool:
        return _batches.is_of_host(name, parts.slot, writer)

    prefix = _batches.make_prefix(parts.slot, writer)
    return await _read_prefix(client, prefix, is_chosen)


async def _read_prefix(
    client: platform.Client,
    prefix: str,
    is_chosen: collections.abc.Callable[[str], object],
) -> SearchResult | platform.Unavailable:
    names = await client.list_objects(prefix)
    if isinstance(names, platform.Unavailable):
        return names
    slots = asyncio.Semaphore(_READS_AT_ONCE)

    async def read(name: str) -> _Batch | None:
        async with slots:
            body, _ = await asyncio.gather(
                client.read_object(name), asyncio.sleep(_READ_S)
            )
        if isinstance(body, bytes):
            return _batches.decode_batch(body)
        return None

    chosen = [name for name in names if is_chosen(name)]
    batches = await asyncio.gather(*(read(name) for name in chosen))
    read_batches = [batch for batch in batches if batch is not None]
    return SearchResult(
        tuple(record for batch in read_batches for record in batch.records),
        tuple(loss for batch in read_batches for loss in batch.losses),
        tuple(
            name
            for name, batch in zip(chosen, batches, strict=True)
            if batch is None
        ),
    )
