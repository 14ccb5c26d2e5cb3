"""Row of the store with the versions of the software that may have begun streams.

A version begins streams only after the store has it, so that a process that starts
after the loss of all others reads it.
"""

import asyncio
import math

import attrs

from briarknot import platform, schema, telemetry, versions
from briarknot.gateway import _clock, _context, _gossip

_TABLE = 'versions'
#: Key of the row, and of the order in which processes write it.
KEY = 'gateways'
#: Processes that send new versions to all; the others read the row after the delays
#: of these, in case the message that it is stored was lost.
WRITERS = 4
#: Period of checking the row, and while a version is not stored.
_PERIOD_S = 1.0
_UNSTORED_PERIOD_S = 0.2
#: Pause after a read of the row that failed.
_RETRY_S = 1.0
#: Time that each process gives the one before it to write the row, which takes one
#: read and one write of a few milliseconds.
_WRITER_DELAY_S = 0.7
#: Longest read of the row. The process may have been suspended in a longer one, and
#: the row may be outdated. It is below the time after which versions begin streams.
_MAX_READ_S = 1.3
_MS_PER_S = 1000
_UNKNOWN_ERA = -1
#: Era of a store that was never restored from a copy, which may lack the row.
_FIRST_ERA = 1
_Record = schema.records.VersionRecord
_VersionsRow = schema.records.VersionsRow
_Key = tuple[str, str]


@attrs.frozen
class _StoredRow:
    """The row as this process last knew it.

    :param keys: its versions.
    :param era: era of the store in which it was written.
    :param read_era: era of the store in which it was read.
    """

    keys: frozenset[_Key] = frozenset()
    era: int = _UNKNOWN_ERA
    read_era: int = _UNKNOWN_ERA


@attrs.define(eq=False)
class VersionRow:
    """Reads and writes the row with the versions that this process knows.

    :param has_written: whether this process has written the row since its versions
        were last sent to all.
    """

    _context: _context.Context
    _client: platform.Client
    has_written: bool = False
    _row: _StoredRow = _StoredRow()
    _failed_s: float = -math.inf
    _pending: frozenset[_Key | int] = frozenset()
    _pending_s: float = math.inf
    _attempted_s: float = -math.inf
    _loading: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def load(self) -> None:
        """Reads the stored versions, before the first request."""
        async with self._loading:
            if not self._context.software_versions.is_loaded:
                await self._read()

    async def store(self) -> None:
        """Stores the versions, if no other process has."""
        known = self._context.software_versions
        while True:
            async with self._loading:
                is_restored = self._client.era > self._row.read_era
                if is_restored or not known.is_loaded:
                    await self._load_again()
            await self._store_in_turn()
            is_stored = not known.list_unstored()
            await self._context.versions_changed.wait(
                _PERIOD_S if is_stored else _UNSTORED_PERIOD_S
            )

    async def _load_again(self) -> None:
        """Reads the row, unless that has just failed."""
        now = _clock.read_clock()
        if now - self._failed_s >= _RETRY_S and not await self._read():
            self._failed_s = _clock.read_clock()

    def _list_pending(self) -> frozenset[_Key | int]:
        """Lists what to change in the row: versions, and the era of the store."""
        known = self._context.software_versions
        keys = known.list_keys()
        pending = known.list_unstored() | (self._row.keys - keys)
        if keys and self._client.era > self._row.era:
            return pending | {self._client.era}
        return pending

    async def _store_in_turn(self) -> None:
        """Writes the row, or only reads it, when it is this process's turn."""
        now = _clock.read_clock()
        pending = self._list_pending()
        if pending != self._pending:
            self._pending = pending
            self._pending_s = now
        if not pending or now - self._attempted_s < _WRITER_DELAY_S:
            return
        waited_s = now - self._pending_s
        rank = _gossip.get_rank(self._context, KEY)
        if waited_s >= rank * _WRITER_DELAY_S:
            self._attempted_s = now
            await self._write()
        elif (
            waited_s >= WRITERS * _WRITER_DELAY_S
            and self._context.software_versions.list_unstored()
        ):
            self._attempted_s = now
            await self._read()

    async def _read(self) -> platform.Page | None:
        """Reads the row and merges it.

        :returns: the page with the row; None where there was no recent answer.
        """
        started_s = _clock.read_clock()
        page = await self._client.read_row_page(_TABLE, KEY)
        now = _clock.read_clock()
        if isinstance(page, platform.Unavailable):
            telemetry.log_event('versions_unknown', reason=page.reason)
            return None
        if now - started_s > _MAX_READ_S:
            reason = f'the read took {now - started_s:.1f} s'
            telemetry.log_event('versions_unknown', reason=reason)
            return None
        self._merge_row(page, started_s)
        return page

    def _merge_row(self, page: platform.Page, started_s: float) -> None:
        """Merges the stored versions, whose ages count from the row's writing.

        A process that followed the list of workers without a gap knows which
        versions are listed. Any other one counts all as listed until now.

        :param page: the page with the row.
        :param started_s: time before its read.
        """
        now = _clock.read_clock()
        known = self._context.software_versions
        before = known.list_keys(), known.list_unstored()
        decoded = _decode_row(page)
        row = decoded or _VersionsRow()
        keys = frozenset((one.service, one.version) for one in row.versions)
        era = _UNKNOWN_ERA if decoded is None else row.era
        is_current = era == page.era
        self._row = _StoredRow(keys, era, page.era)
        records = row.versions
        written_s = now
        known_since_s = now
        if not page.rows and page.era <= _FIRST_ERA:
            # Versions are stored before they begin streams, so that none has yet.
            known_since_s -= versions.MAX_STREAM_S
        if is_current:
            written_s = now - max(0, page.store_s - row.store_s)
            known_since_s = written_s - row.known_age_ms / _MS_PER_S
        else:
            # Times of an earlier era can't be compared.
            records = tuple(
                attrs.evolve(one, stored_age_ms=0) for one in records
            )
        if not isinstance(known.list_possible('', now), versions.Uncertain):
            if is_current:
                known.merge(_age(records, now - written_s), now)
            records = ()
        known.load(records, written_s, known_since_s, now, started_s)
        if is_current:
            known.record_stored(keys, now)
        if before != (known.list_keys(), known.list_unstored()):
            self._context.versions_changed.notify()

    async def _write(self) -> None:
        """Stores all known versions, unless the stored row has just these."""
        started_s = _clock.read_clock()
        page = await self._read()
        if page is None:
            return
        known = self._context.software_versions
        keys = known.list_keys()
        if keys == self._row.keys and page.era == self._row.era:
            return
        # Ages as of the time before the read are not too large where they count
        # from the store's time in its answer.
        stored = _VersionsRow(
            store_s=page.store_s,
            era=page.era,
            known_age_ms=int(known.get_known_age_s(started_s) * _MS_PER_S),
            versions=tuple(
                attrs.evolve(one, stored_age_ms=max(0, one.stored_age_ms))
                for one in known.list_records(started_s)
            ),
        )
        result = await self._client.commit(
            platform.Operation(
                _TABLE,
                KEY,
                schema.to_plain(stored),
                page.rows[0].version if page.rows else None,
            )
        )
        if isinstance(result, platform.Committed):
            known.record_stored(keys, _clock.read_clock())
            self._row = _StoredRow(keys, page.era, page.era)
            self.has_written = True
            telemetry.log_event('versions_stored', versions=sorted(keys))
            self._context.versions_changed.notify()


def _decode_row(page: platform.Page) -> _VersionsRow | None:
    """Returns the row; None where there is none, or a malformed one."""
    if not page.rows:
        return None
    try:
        return schema.from_plain(_VersionsRow, page.rows[0].value)
    except (AttributeError, TypeError, ValueError) as error:
        telemetry.log_event('versions_malformed', reason=str(error))
        return None


def _age(records: tuple[_Record, ...], seconds: float) -> tuple[_Record, ...]:
    """Adds a time to the ages of records."""
    passed_ms = int(seconds * _MS_PER_S)
    return tuple(
        attrs.evolve(
            one,
            listed_age_ms=one.listed_age_ms + passed_ms,
            stored_age_ms=max(0, one.stored_age_ms) + passed_ms,
        )
        for one in records
    )


def make_version_row(
    context: _context.Context, client: platform.Client
) -> VersionRow:
    """Makes the row of a process that has not read it.

    :param context: state of the process.
    :param client: client of the store.
    """
    return VersionRow(context, client)
