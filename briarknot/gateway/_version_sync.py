"""Exchanges the versions of the software with other processes and the store.

A version begins streams only after the store has it, so that a process that starts
after the loss of all others reads it. A new version goes to all processes at once.
While several versions are in use, or one is not stored, each process repeats what it
knows to a few others. With one version in use, nothing is sent and nothing is
written.
"""

import math

import attrs

from briarknot import platform, schema, telemetry, versions
from briarknot.gateway import _clock, _context, _gossip, _peers

_TABLE = 'versions'
_KEY = 'gateways'
#: Period of repeating the versions to other processes, and of checking the row.
_PERIOD_S = 1.0
#: Period of checking the row while a version is not stored.
_UNSTORED_PERIOD_S = 0.2
#: Pause after a read of the row that failed.
_RETRY_S = 1.0
#: Time that each process gives the one before it to write the row, which takes one
#: read and one write of a few milliseconds.
_WRITER_DELAY_S = 0.7
#: Processes that read the row as late as they may write it, and that send new
#: versions to all. All others read it after the delays of these, in case the
#: message that it is stored was lost.
_WRITERS = 4
#: Longest read of the row. The process may have been suspended in a longer one, and
#: the row may be outdated. It is below the time after which versions begin streams.
_MAX_READ_S = 1.3
#: Records in a datagram; each takes about 80 bytes.
_RECORDS_PER_DATAGRAM = 200
_MS_PER_S = 1000
_UNKNOWN_ERA = -1
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
class VersionSync:
    """Keeps the versions that a process knows up to date, and those of others."""

    _context: _context.Context
    _client: platform.Client
    _peers: _peers.Peers
    _row: _StoredRow = _StoredRow()
    _failed_s: float = -math.inf
    _pending: frozenset[_Key | int] = frozenset()
    _pending_s: float = math.inf
    _attempted_s: float = -math.inf
    _has_written: bool = False
    _sent: dict[_Key, bool] = attrs.field(factory=dict)

    async def load(self) -> None:
        """Reads the stored versions, before the first request."""
        await self._read()

    async def send(self) -> None:
        """Sends new versions at once, and repeats all while there are several."""
        known = self._context.software_versions
        repeated_s = -math.inf
        while True:
            now = _clock.read_clock()
            records = known.list_records(now)
            changed = self._take_changed(records)
            # A process that has just started knows nothing that others don't.
            if changed and known.is_loaded and self._is_announcer:
                self._has_written = False
                self._send(changed, tuple(self._context.peer_hosts))
            is_due = bool(changed) or now - repeated_s >= _PERIOD_S
            if is_due and known.is_loaded and not known.is_settled:
                repeated_s = now
                self._send(
                    records, _gossip.choose_receivers(self._context, _KEY)
                )
            await self._context.versions_changed.wait(_PERIOD_S)

    async def store(self) -> None:
        """Stores the versions, if no other process has."""
        known = self._context.software_versions
        while True:
            is_restored = self._client.era > self._row.read_era
            if is_restored or not known.is_loaded:
                await self._load_again()
            await self._store_in_turn()
            is_stored = not known.list_unstored()
            await self._context.versions_changed.wait(
                _PERIOD_S if is_stored else _UNSTORED_PERIOD_S
            )

    @property
    def _is_announcer(self) -> bool:
        """Whether this process sends what is new to all others.

        The list of workers reaches all processes at the same time, and in a large
        fleet the messages of all to all would be lost.
        """
        if self._has_written:
            return True
        return _gossip.get_rank(self._context, _KEY) < _WRITERS

    def _take_changed(self, records: tuple[_Record, ...]) -> list[_Record]:
        """Returns the records of versions that are new, or newly stored.

        A version that was stored when it became known comes from others.
        """
        before = self._sent
        self._sent = {
            (one.service, one.version): one.stored_age_ms >= 0
            for one in records
        }
        if self._sent != before:
            _log_versions(records)
        return [
            one
            for one in records
            if before.get((one.service, one.version), True)
            != self._sent[one.service, one.version]
        ]

    def _send(self, records: list[_Record], hosts: tuple[str, ...]) -> None:
        for start in range(0, len(records), _RECORDS_PER_DATAGRAM):
            message = schema.messages.VersionRecords(
                host=self._context.settings.host,
                versions=tuple(records[start : start + _RECORDS_PER_DATAGRAM]),
            )
            self._peers.send(message, hosts)

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
        rank = _gossip.get_rank(self._context, _KEY)
        if waited_s >= rank * _WRITER_DELAY_S:
            self._attempted_s = now
            await self._write()
        elif (
            waited_s >= _WRITERS * _WRITER_DELAY_S
            and self._context.software_versions.list_unstored()
        ):
            self._attempted_s = now
            await self._read()

    async def _read(self) -> platform.Page | None:
        """Reads the row and merges it.

        :returns: the page with the row; None where there was no recent answer.
        """
        started_s = _clock.read_clock()
        page = await self._client.read_row_page(_TABLE, _KEY)
        now = _clock.read_clock()
        if isinstance(page, platform.Unavailable):
            telemetry.log_event('versions_unknown', reason=page.reason)
            return None
        if now - started_s > _MAX_READ_S:
            reason = f'the read took {now - started_s:.1f} s'
            telemetry.log_event('versions_unknown', reason=reason)
            return None
        self._merge_row(page, now)
        return page

    def _merge_row(self, page: platform.Page, now: float) -> None:
        """Merges the stored versions, whose ages count from the row's writing.

        A process that followed the list of workers without a gap knows which
        versions are listed. Any other one counts all as listed until now.
        """
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
        if not page.rows:
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
        known.load(records, written_s, known_since_s, now)
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
                _KEY,
                schema.to_plain(stored),
                page.rows[0].version if page.rows else None,
            )
        )
        if isinstance(result, platform.Committed):
            known.record_stored(keys, _clock.read_clock())
            self._row = _StoredRow(keys, page.era, page.era)
            self._has_written = True
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


def _log_versions(records: tuple[_Record, ...]) -> None:
    """Logs all versions of each service, with the times since they are stored."""
    services: dict[str, dict[str, int]] = {}
    for one in records:
        stored = services.setdefault(one.service, {})
        stored[one.version] = one.stored_age_ms
    for service, stored in services.items():
        telemetry.log_event(
            'versions_changed',
            service=service,
            versions=list(stored),
            stored_age_ms=list(stored.values()),
        )


@_peers.HANDLERS.register('VersionRecords')
def apply_version_records(
    peers: _peers.Peers, message: schema.messages.VersionRecords, now: float
) -> None:
    """Merges the versions that another process knows.

    :param peers: answers where the sender doesn't know that one is stored.
    :param message: the versions.
    :param now: monotonic time in seconds.
    """
    context = peers.context
    known = context.software_versions
    clock_s = _clock.read_clock()
    unstored = known.list_unstored()
    is_new = known.merge(message.versions, clock_s)
    if is_new or unstored != known.list_unstored():
        context.versions_changed.notify()
    lacking = {
        (one.service, one.version)
        for one in message.versions
        if one.stored_age_ms < 0
    }
    answer = tuple(
        one
        for one in known.list_records(clock_s)
        if one.stored_age_ms >= 0 and (one.service, one.version) in lacking
    )
    if answer:
        host = context.settings.host
        peers.send(
            schema.messages.VersionRecords(host=host, versions=answer),
            (message.host,),
        )


@_peers.HANDLERS.register('StreamOrigin')
def apply_stream_origin(
    peers: _peers.Peers, message: schema.messages.StreamOrigin, now: float
) -> None:
    """Records the origin of a stream that another process began.

    :param peers: has the state of the process.
    :param message: the origin.
    :param now: monotonic time in seconds.
    """
    peers.context.origins.merge(message, _clock.read_clock())


@_peers.HANDLERS.register('OriginRequest')
def answer_origin_request(
    peers: _peers.Peers, message: schema.messages.OriginRequest, now: float
) -> None:
    """Answers where a stream began, or that this is not known here.

    :param peers: sends the answer.
    :param message: the request.
    :param now: monotonic time in seconds.
    """
    peers.record_host(message)
    context = peers.context
    origin = context.origins.find(message.stream, _clock.read_clock())
    peers.send(
        schema.messages.OriginAnswer(
            host=context.settings.host,
            number=message.number,
            is_known=origin is not None,
            origin=origin or schema.messages.StreamOrigin(),
        ),
        (message.host,),
    )


@_peers.HANDLERS.register('OriginAnswer')
def apply_origin_answer(
    peers: _peers.Peers, message: schema.messages.OriginAnswer, now: float
) -> None:
    """Delivers an answer to the request that waits for it.

    :param peers: has the state of the process.
    :param message: the answer.
    :param now: monotonic time in seconds.
    """
    answer: schema.messages.StreamOrigin | versions.UnknownOrigin
    answer = message.origin
    if not message.is_known:
        answer = versions.UnknownOrigin(f'{message.host} has no origin')
    peers.context.origin_answers.deliver(message.number, answer)


def make_version_sync(
    context: _context.Context,
    client: platform.Client,
    peers: _peers.Peers,
) -> VersionSync:
    """Makes the synchronization of a process that knows no version.

    :param context: state of the process.
    :param client: client of the store.
    :param peers: sends the versions.
    """
    return VersionSync(context, client, peers)
