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
from briarknot.gateway import (
    _clock,
    _context,
    _gossip,
    _origin_keepers,
    _peers,
    _stream_versions,
    _version_row,
)

#: Period of repeating the versions to other processes.
_PERIOD_S = 1.0
#: Records in a datagram; each takes about 80 bytes.
_RECORDS_PER_DATAGRAM = 200
_Record = schema.records.VersionRecord
_Key = tuple[str, str]


@attrs.define(eq=False)
class VersionSync:
    """Keeps the versions that a process knows up to date, and those of others."""

    _context: _context.Context
    _peers: _peers.Peers
    _row: _version_row.VersionRow
    _sent: dict[_Key, bool] = attrs.field(factory=dict)

    async def load(self) -> None:
        """Reads the stored versions, before the first request."""
        await self._row.load()

    async def store(self) -> None:
        """Stores the versions, if no other process has."""
        await self._row.store()

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
                self._row.has_written = False
                self._send(changed, tuple(self._context.peer_hosts))
            is_due = bool(changed) or now - repeated_s >= _PERIOD_S
            if is_due and known.is_loaded and not known.is_settled:
                repeated_s = now
                self._send(
                    records,
                    _gossip.choose_receivers(self._context, _version_row.KEY),
                )
            possible = known.list_possible('', now)
            if isinstance(possible, versions.Uncertain) or not known.is_settled:
                # Streams that began with one version are taken up from now on.
                _stream_versions.send_origins(self._context)
            await self._context.versions_changed.wait(_PERIOD_S)

    @property
    def _is_announcer(self) -> bool:
        """Whether this process sends what is new to all others.

        The list of workers reaches all processes at the same time, and in a large
        fleet the messages of all to all would be lost.
        """
        if self._row.has_written:
            return True
        return (
            _gossip.get_rank(self._context, _version_row.KEY)
            < _version_row.WRITERS
        )

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

    :param peers: confirms it, if the other process waits for that.
    :param message: the origin.
    :param now: monotonic time in seconds.
    """
    context = peers.context
    context.origins.merge(message, _clock.read_clock())
    if message.number:
        peers.send(
            schema.messages.OriginAnswer(
                host=context.settings.host,
                number=message.number,
                is_known=True,
            ),
            (message.host,),
        )


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
    sole = _origin_keepers.testify(context, message.stream, message.service)
    peers.send(
        schema.messages.OriginAnswer(
            host=context.settings.host,
            number=message.number,
            is_known=origin is not None,
            origin=origin or schema.messages.StreamOrigin(),
            is_witness=sole is not None,
            sole_version=sole or '',
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
    peers.context.origin_answers.deliver(message.number, message)


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
    row = _version_row.make_version_row(context, client)
    return VersionSync(context, peers, row)
