"""Exchanges the evidence on crashes with other processes and the store.

New evidence goes to all processes at once. While there is any, each process
repeats it to a few others, so that one that missed a message, was suspended or
was cut off has it within seconds. One process stores what is quarantined, and
others do so where it has not; a process reads it when it starts.
"""

import asyncio
import math
import time

import attrs

from briarknot import platform, schema, telemetry
from briarknot.gateway import _context, _gossip, _peers

_TABLE = 'quarantine'
_KEY = 'gateways'
#: Period of repeating the evidence to other processes.
_PERIOD_S = 1.0
#: Processes that store what is quarantined, one after the other, and the time
#: that each gives the one before it. A process that has ended is listed for
#: more than a minute.
_WRITERS = 4
_WRITER_DELAY_S = 2.0
#: Records in a datagram; each takes up to about 700 bytes.
_RECORDS_PER_DATAGRAM = 60
_Quarantine = schema.records.QuarantineRow


@attrs.define(eq=False)
class QuarantineSync:
    """Keeps the evidence of a process up to date, and that of others."""

    _context: _context.Context
    _client: platform.Client
    _peers: _peers.Peers
    _is_loaded: bool = False
    _stored: frozenset[tuple[str, int]] = frozenset()
    _stored_era: int = 0
    _loading: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def load(self) -> None:
        """Reads what is quarantined, once, before the first request."""
        async with self._loading:
            if not self._is_loaded:
                await self._load()

    async def _load(self) -> None:
        page = await self._client.read_row_page(_TABLE, _KEY)
        if isinstance(page, platform.Unavailable):
            telemetry.log_event('quarantine_unknown', reason=page.reason)
            return
        self._is_loaded = True
        self._merge_row(page)
        # Others may have sent more meanwhile than the row holds.
        self._stored = _summarize(_decode_row(page).evidence)

    async def send(self) -> None:
        """Sends new evidence at once, and repeats all of it."""
        quarantine = self._context.quarantine
        repeated_s = float('-inf')
        while True:
            now = time.monotonic()
            self._send_to_all(quarantine.take_changed(now))
            if now - repeated_s >= _PERIOD_S:
                repeated_s = now
                self._repeat(quarantine.list_records(now))
            await self._context.quarantine_changed.wait(_PERIOD_S)

    async def store(self) -> None:
        """Stores what is quarantined, if no other process has.

        Calls to the store may take long; the evidence is sent meanwhile.
        """
        stored_s = time.monotonic()
        while True:
            await self.load()
            now = time.monotonic()
            if self._client.era != self._stored_era:
                # What was stored may be lost.
                self._stored = frozenset()
                self._stored_era = self._client.era
            if self._summarize() == self._stored:
                stored_s = now
            elif now - stored_s >= self._get_writer_delay_s():
                await self._store()
            await asyncio.sleep(_PERIOD_S)

    def _get_writer_delay_s(self) -> float:
        rank = _gossip.get_rank(self._context, _KEY)
        return rank * _WRITER_DELAY_S if rank < _WRITERS else math.inf

    def _send_to_all(
        self, records: tuple[schema.records.CrashRecord, ...]
    ) -> None:
        if records:
            telemetry.log_event(
                'quarantine_changed',
                keys=[one.key for one in records],
                crashes=[len(one.crashes) for one in records],
            )
            self._send(records, tuple(self._context.peer_hosts))

    def _repeat(self, records: tuple[schema.records.CrashRecord, ...]) -> None:
        """Sends all evidence to a few processes."""
        if records:
            self._send(records, _gossip.choose_receivers(self._context, _KEY))

    def _send(
        self,
        records: tuple[schema.records.CrashRecord, ...],
        hosts: tuple[str, ...],
    ) -> None:
        for start in range(0, len(records), _RECORDS_PER_DATAGRAM):
            message = schema.messages.CrashRecords(
                host=self._context.settings.host,
                evidence=records[start : start + _RECORDS_PER_DATAGRAM],
            )
            self._peers.send(message, hosts)

    async def _store(self) -> None:
        """Stores what is quarantined, unless the stored row is the same."""
        page = await self._client.read_row_page(_TABLE, _KEY)
        if isinstance(page, platform.Unavailable):
            return
        self._merge_row(page)
        summary = self._summarize()
        if summary == _summarize(_decode_row(page).evidence):
            self._stored = summary
            return
        row = page.rows[0] if page.rows else None
        stored = _Quarantine(
            store_s=page.store_s,
            evidence=self._context.quarantine.list_quarantined(
                time.monotonic()
            ),
        )
        result = await self._client.commit(
            platform.Operation(
                _TABLE,
                _KEY,
                schema.to_plain(stored),
                row.version if row else None,
            )
        )
        if isinstance(result, platform.Committed):
            self._stored = summary
            telemetry.log_event(
                'quarantine_stored', keys=[key for key, _ in summary]
            )

    def _merge_row(self, page: platform.Page) -> None:
        """Merges the stored evidence, whose ages count from its writing."""
        row = _decode_row(page)
        written_s = time.monotonic() - max(0, page.store_s - row.store_s)
        self._context.quarantine.merge(row.evidence, written_s)

    def _summarize(self) -> frozenset[tuple[str, int]]:
        return _summarize(
            self._context.quarantine.list_quarantined(time.monotonic())
        )


def _decode_row(page: platform.Page) -> _Quarantine:
    if not page.rows:
        return _Quarantine()
    try:
        return schema.from_plain(_Quarantine, page.rows[0].value)
    except (AttributeError, TypeError, ValueError) as error:
        telemetry.log_event('quarantine_malformed', reason=str(error))
        return _Quarantine()


def _summarize(
    records: tuple[schema.records.CrashRecord, ...],
) -> frozenset[tuple[str, int]]:
    """Summarizes which keys are quarantined, and by how many crashes."""
    return frozenset((one.key, len(one.crashes)) for one in records)


@_peers.HANDLERS.register('CrashRecords')
def apply_crash_records(
    peers: _peers.Peers, message: schema.messages.CrashRecords, now: float
) -> None:
    """Merges the evidence of another process.

    :param peers: answers where the sender lacks a later answer.
    :param message: the evidence.
    :param now: monotonic time in seconds.
    """
    context = peers.context
    outdated = context.quarantine.merge(message.evidence, now)
    context.quarantine_changed.notify()
    if outdated:
        host = context.settings.host
        peers.send(
            schema.messages.CrashRecords(host=host, evidence=outdated),
            (message.host,),
        )


def make_quarantine_sync(
    context: _context.Context,
    client: platform.Client,
    peers: _peers.Peers,
) -> QuarantineSync:
    """Makes the synchronization of a process without evidence.

    :param context: state of the process.
    :param client: client of the store.
    :param peers: sends the evidence.
    """
    return QuarantineSync(context, client, peers)
