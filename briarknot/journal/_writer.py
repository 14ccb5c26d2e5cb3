"""Buffers records and writes them to the object store in batches."""

import asyncio
import collections
import contextlib
import random
import time

import attrs
import prometheus_client

from briarknot import platform, schema, telemetry
from briarknot.journal import _batches, _ids

# Bounds the time of one write and the loss if an object is damaged.
_BATCH_BYTES = 1 << 20
_MICROSECONDS_PER_SECOND = 1_000_000

_ADDED = prometheus_client.Counter(
    'briarknot_journal_records', 'Records added to the journal.'
)
_LOST = prometheus_client.Counter(
    'briarknot_journal_lost_records',
    'Records that the journal could not keep.',
    ('reason',),
)
_WRITES = prometheus_client.Counter(
    'briarknot_journal_writes', 'Writes of batches by result.', ('result',)
)
_BUFFERED = prometheus_client.Gauge(
    'briarknot_journal_buffered_bytes', 'Size of records not yet written.'
)


@attrs.frozen
class _Batch:
    """A batch that is being written."""

    slot: str
    number: int
    lines: tuple[bytes, ...]
    losses: tuple[schema.records.JournalLoss, ...]

    @property
    def size(self) -> int:
        """Size in the buffer, before compression."""
        return sum(map(len, self.lines))


@attrs.define
class _Slot:
    """Records and losses of one time slot that are not yet written."""

    lines: collections.deque[bytes] = attrs.field(factory=collections.deque)
    lost: collections.Counter[tuple[str, str, str]] = attrs.field(
        factory=collections.Counter
    )

    def take_lines(self) -> tuple[bytes, ...]:
        """Removes and returns the lines of one batch, at least one."""
        taken: list[bytes] = []
        size = 0
        while self.lines and size < _BATCH_BYTES:
            taken.append(self.lines.popleft())
            size += len(taken[-1])
        return tuple(taken)

    def take_losses(
        self, host: str, slot: str
    ) -> tuple[schema.records.JournalLoss, ...]:
        """Removes and returns the losses, as a tuple of at most one."""
        counts = tuple(
            schema.records.LostCount(
                reason=reason, outcome=outcome, cause=cause, records=number
            )
            for (reason, outcome, cause), number in self.lost.items()
        )
        self.lost.clear()
        if not counts:
            return []
        return [schema.records.JournalLoss(host=host, slot=slot, counts=counts)]


@attrs.define(eq=False)
class Journal:
    """Buffers records and writes them in batches."""

    _client: platform.Client
    _host: str
    _flush_s: float
    _limit_bytes: int
    _number: int
    _slots: dict[str, _Slot] = attrs.field(factory=dict, init=False)
    _size: int = attrs.field(default=0, init=False)
    _sealed: collections.deque[_Batch] = attrs.field(
        factory=collections.deque, init=False
    )
    _is_failing: bool = attrs.field(default=False, init=False)
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock, init=False)

    @property
    def buffered_bytes(self) -> int:
        """Size of the records that are not yet written."""
        return self._size

    def add(self, record: schema.records.RequestRecord) -> None:
        """Adds a record, or counts it as lost where the buffer is full.

        :param record: record of a request that has ended.
        """
        line = _batches.encode_record(record)
        slot = self._get_slot(record.request_id)
        if self._size + len(line) > self._limit_bytes:
            reason = 'buffer_full'
            _LOST.labels(reason).inc()
            slot.lost[reason, record.outcome, record.cause] += 1
            return
        slot.lines.append(line)
        self._set_size(self._size + len(line))
        _ADDED.inc()

    async def run(self, stopping: asyncio.Event) -> None:
        """Writes the buffer each flush period, and the rest at the end.

        :param stopping: set once no further record will be added.
        """
        # Keeps hosts that start together from writing at the same time.
        delay_s = random.uniform(0, self._flush_s)
        while not stopping.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopping.wait(), delay_s)
            delay_s = self._flush_s
            await self.flush()

    async def flush(self) -> bool:
        """Writes all records that were added before the call.

        :returns: whether all are written; the rest is kept for the next call.
        """
        async with self._lock:
            if not await self._write_sealed():
                return False
            self._seal()
            return await self._write_sealed()

    def _get_slot(self, request_id: str) -> _Slot:
        parts = _ids.parse_request_id(request_id)
        name = _ids.make_slot(time.time())
        if isinstance(parts, _ids.RequestId):
            name = parts.slot
        return self._slots.setdefault(name, _Slot())

    def _set_size(self, size: int) -> None:
        self._size = size
        _BUFFERED.set(size)

    def _seal(self) -> None:
        """Divides the buffer into batches.

        A batch whose write failed keeps its name and content, because the
        write may have taken effect.
        """
        slots = self._slots
        self._slots = {}
        for name in sorted(slots):
            slot = slots[name]
            while slot.lines or slot.lost:
                self._number += 1
                self._sealed.append(
                    _Batch(
                        name,
                        self._number,
                        slot.take_lines(),
                        slot.take_losses(self._host, name),
                    )
                )

    async def _write_sealed(self) -> bool:
        while self._sealed:
            batch = self._sealed[0]
            # zlib releases the GIL, so the event loop serves streams meanwhile.
            body = await asyncio.to_thread(
                _batches.encode_batch,
                self._host,
                batch.slot,
                batch.lines,
                batch.losses,
            )
            name = _batches.make_name(self._host, batch.slot, batch.number)
            result = await self._client.write_object(name, body)
            if isinstance(result, platform.Unavailable):
                _WRITES.labels('unavailable').inc()
                self._set_failing(True, result.reason)
                return False
            _WRITES.labels('written').inc()
            self._sealed.popleft()
            self._set_size(self._size - batch.size)
            self._set_failing(False, '')
        return True

    def _set_failing(self, is_failing: bool, reason: str) -> None:
        if is_failing is not self._is_failing:
            state = 'unavailable' if is_failing else 'written'
            telemetry.log_change('journal', state, reason=reason)
        self._is_failing = is_failing


def make_journal(
    client: platform.Client, host: str, flush_s: float, limit_bytes: int
) -> Journal:
    """Makes a journal.

    :param client: client of the object store.
    :param host: name of the host.
    :param flush_s: period of writing batches, in seconds.
    :param limit_bytes: largest size of the buffer, in bytes.
    """
    # A restarted process must not overwrite the objects of its predecessor.
    number = int(time.time() * _MICROSECONDS_PER_SECOND)
    return Journal(client, host, flush_s, limit_bytes, number)
