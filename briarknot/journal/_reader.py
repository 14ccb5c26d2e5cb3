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
# fleet: 8 concurrent reads of at least 20 ms are at most 400 reads/s.
_MAX_CONCURRENT_READS = 8
_MIN_READ_S = 0.02


@attrs.frozen
class SearchResult:
    """Result of a search.

    :param records: records, oldest first.
    :param losses: counts of records that were lost in the searched slots.
    :param unread: names of objects that could not be read.
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
    :param host: host that wrote the record, where it is not the one in the
        id; the receiver of a hop between failure domains writes one as well.
    :returns: the record, or ``Missing``, also where it is not yet written.
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
    """Reads the records that peers wrote for a request.

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
    """Reads the losses that a host reported for a request's time slot.

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
    :param only_late: whether to find only requests that missed their target
        or did not complete.
    :returns: the result, or ``Unavailable`` where a slot could not be listed.
    """
    found = []
    start_s = since_s - since_s % _SLOT_S
    for slot_s in _generate_slot_times(start_s, time.time()):
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
                key=_get_received_s,
            )
        ),
        tuple(loss for part in found for loss in part.losses),
        tuple(name for part in found for name in part.unread),
    )


def _generate_slot_times(
    start_s: float, end_s: float
) -> collections.abc.Iterator[float]:
    while start_s <= end_s:
        yield start_s
        start_s += _SLOT_S


def _is_late(record: _Record) -> bool:
    return record.late or record.outcome != 'completed'


def _get_received_s(record: _Record) -> float:
    return record.received_s


async def _read_host(
    client: platform.Client, request_id: str, host: str
) -> SearchResult | platform.Missing | platform.Unavailable:
    parts = _ids.parse_request_id(request_id)
    if isinstance(parts, _ids.BadRequestId):
        return platform.Missing()
    writer = host or parts.host

    def is_selected(name: str) -> bool:
        return _batches.is_of_host(name, parts.slot, writer)

    prefix = _batches.make_prefix(parts.slot, writer)
    return await _read_prefix(client, prefix, is_selected)


async def _read_prefix(
    client: platform.Client,
    prefix: str,
    is_selected: collections.abc.Callable[[str], object],
) -> SearchResult | platform.Unavailable:
    names = await client.list_objects(prefix)
    if isinstance(names, platform.Unavailable):
        return names
    read_limit = asyncio.Semaphore(_MAX_CONCURRENT_READS)

    async def read(name: str) -> _Batch | None:
        async with read_limit:
            body, _ = await asyncio.gather(
                client.read_object(name), asyncio.sleep(_MIN_READ_S)
            )
        if isinstance(body, bytes):
            return _batches.decode_batch(body)
        return None

    selected = [name for name in names if is_selected(name)]
    batches = await asyncio.gather(*(read(name) for name in selected))
    read_batches = [batch for batch in batches if batch is not None]
    return SearchResult(
        tuple(record for batch in read_batches for record in batch.records),
        tuple(loss for batch in read_batches for loss in batch.losses),
        tuple(
            name
            for name, batch in zip(selected, batches, strict=True)
            if batch is None
        ),
    )
