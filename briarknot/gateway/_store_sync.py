"""Synchronizes the manifest and the workers with the store."""

import asyncio
import math
import time

import attrs

from briarknot import platform, schema, telemetry
from briarknot.gateway import (
    _accounts,
    _clock,
    _context,
    _peers,
    _store_readers,
    _update_dates,
    _worker_changes,
)

#: Longest wait for a changed manifest. A dead connection is detected after this
#: wait and the time limit of a call, which together are shorter than the time
#: within which a manifest must be in force.
_MANIFEST_WAIT_S = 1.2
#: Period of reading the workers. A leaving worker must receive no requests
#: after a configured time of at least three seconds.
_WORKERS_PERIOD_S = 0.8
#: Time since the last confirmation of the manifest after which a process sends
#: no updates: one wait for a change, and a slow call to the store.
_MAX_MANIFEST_AGE_S = 1.6
#: Pause after a failed call to the store.
_RETRY_S = 0.4


@attrs.frozen(order=True)
class _Position:
    """Moment in the history of the store.

    :param era: era of the store.
    :param version: version within the era.
    """

    era: int = 0
    version: int = 0


@attrs.define(eq=False)
class StoreSync:
    """Keeps the fleet of a process up to date."""

    _context: _context.Context
    _client: platform.Client
    _peers: _peers.Peers
    _changes: _worker_changes.WorkerChanges
    _is_store_unavailable: bool = False
    _manifest_era: int = 0
    _is_stored_in_force: bool = False
    _list_era: int = 0
    _list_position: _Position = _Position()
    _list_store_s: float = 0
    _manifest_confirmed_s: float = float('-inf')

    async def sync_manifest(self) -> None:
        """Keeps the operators' manifest up to date."""
        version = 0
        while True:
            if not self._context.fleet.version:
                version = await self._read_manifest(version)
            elif not self._uses_peer_updates:
                version = await self._wait_for_manifest(version)
            elif not await self._is_manifest_confirmed():
                version = await self._read_manifest(version)

    async def sync_workers(self) -> None:
        """Keeps the list of workers up to date."""
        while True:
            if self._uses_peer_updates and await self._is_list_confirmed():
                continue
            started_s = time.monotonic()
            read_s = _clock.read_clock()
            page = await self._client.read_table(platform.WORKERS_TABLE)
            if isinstance(page, platform.Unavailable):
                self._record_outage(page.reason)
                await self._pause()
                continue
            is_restored = self._record_era(page.era, started_s)
            is_recovered = self._record_recovery()
            self._list_position = _Position(page.era, page.version)
            self._list_store_s = page.store_s
            self._changes.apply_rows(
                page.rows, started_s, after_outage=is_restored or is_recovered
            )
            self._confirm_versions(read_s)
            if _store_readers.get_reader_rank(self._context) is not None:
                self._send_update()
            if not self._uses_peer_updates:
                await asyncio.sleep(_WORKERS_PERIOD_S)

    @property
    def _is_leader(self) -> bool:
        """Whether this process reads the store for all other processes."""
        return _store_readers.get_reader_rank(self._context) == 0

    @property
    def _uses_peer_updates(self) -> bool:
        """Whether this process waits for updates instead of reading the store.

        A leader whose store is unavailable uses the updates of others too.
        """
        if not self._context.is_ready:
            return False
        return self._is_store_unavailable or not self._is_leader

    async def _pause(self) -> None:
        """Waits after a failed call, unless it waits for an update anyway."""
        if not self._uses_peer_updates:
            await asyncio.sleep(_RETRY_S)

    async def _is_manifest_confirmed(self) -> bool:
        """Waits for an update, and returns whether the manifest is current."""
        update = await _store_readers.wait_for_update(self._context)
        if update is None:
            return False
        status = self._context.manifest_status
        status.record_version(update.manifest_version)
        dated_s = _update_dates.date_update(self._client, update)
        status.record_answer(dated_s)
        if update.manifest_version > self._context.fleet.version:
            return False
        if math.isinf(dated_s):
            if self._context.accounts.requires_key:
                return False
            dated_s = _clock.read_clock()
        self._manifest_confirmed_s = dated_s
        return self._confirm_manifest_by(update)

    def _confirm_manifest_by(self, update: schema.messages.FleetUpdate) -> bool:
        """Confirms the manifest as of the time that another process states.

        The update may have waited in the socket while this process was suspended,
        so its arrival says nothing about its age.

        :param update: the update.
        :returns: False where that time can only be known by reading the store.
        """
        context = self._context
        if (
            update.manifest_version != context.fleet.version
            or update.store_era != self._client.era
            or not update.manifest_store_s
        ):
            return True
        confirmed_s = self._client.convert_store_time(update.manifest_store_s)
        if math.isinf(confirmed_s):
            return not context.accounts.requires_key
        context.manifest_status.confirm(min(confirmed_s, _clock.read_clock()))
        return True

    async def _is_list_confirmed(self) -> bool:
        """Waits for an update, and returns whether the workers are current."""
        update = await _store_readers.wait_for_update(self._context)
        if update is None:
            return False
        fleet = self._context.fleet
        known = self._list_position
        # A process of an earlier build states no era.
        era = update.store_era or known.era
        position = _Position(era, update.list_version)
        is_same = update.workers_digest == fleet.workers_digest
        if position < known or (position == known and is_same):
            # The local list is at least as new as that of the update.
            if not is_same:
                telemetry.log_event(
                    'fleet_update_outdated',
                    peer=update.host,
                    era=position.era,
                    list_version=position.version,
                    known_era=known.era,
                    known_version=known.version,
                )
            elif position == known:
                self._confirm_versions_by(update)
            return True
        self._client.record_era(position.era)
        self._record_era(position.era, time.monotonic())
        if not is_same:
            self._changes.apply_update(update)
        if update.workers_digest != fleet.workers_digest:
            return False
        self._list_position = position
        fleet.confirm_workers(time.monotonic())
        self._confirm_versions_by(update)
        if self._is_store_unavailable:
            telemetry.log_event('fleet_confirmed_by_peer', peer=update.host)
            self._is_store_unavailable = False
        return True

    def _record_era(self, era: int, now: float) -> bool:
        """Records the era of the store that a list comes from.

        :param era: the era.
        :param now: monotonic time in seconds.
        :returns: whether it has risen since the last list.
        """
        has_risen = bool(self._list_era and era > self._list_era)
        if has_risen:
            self._context.fleet.record_restore(now)
            self._context.versions_changed.notify()
        self._list_era = max(self._list_era, era)
        return has_risen

    def _confirm_versions_by(self, update: schema.messages.FleetUpdate) -> None:
        """Confirms the versions of the list as of the read of another process.

        The update may have waited in the socket while this process was suspended,
        so its arrival says nothing about its age.
        """
        if update.store_era == self._client.era:
            read_s = self._client.convert_store_time(update.list_store_s)
            self._confirm_versions(min(read_s, _clock.read_clock()))

    def _confirm_versions(self, read_s: float) -> None:
        """Records the versions of the list of workers.

        :param read_s: time at which it was read from the store, or earlier.
        """
        context = self._context
        known = context.software_versions
        is_new = known.record_list(
            context.fleet.workers, read_s, _clock.read_clock()
        )
        if is_new or not known.is_loaded:
            context.versions_changed.notify()

    def _send_update(self) -> None:
        """Sends the result of the last read to the other processes."""
        age_s = _clock.read_clock() - self._manifest_confirmed_s
        if age_s > _MAX_MANIFEST_AGE_S:
            return
        fleet = self._context.fleet
        changed, gone = self._changes.list_recent(time.monotonic())
        self._peers.broadcast(
            schema.messages.FleetUpdate(
                host=self._context.settings.host,
                manifest_version=fleet.version,
                workers_digest=fleet.workers_digest,
                list_version=self._list_position.version,
                store_era=self._list_position.era,
                list_store_s=self._list_store_s,
                manifest_store_s=self._find_manifest_store_s(),
                changed=changed,
                gone=gone,
            )
        )

    def _find_manifest_store_s(self) -> float:
        """Returns a time of the store's clock at which the manifest was the newest.

        The list of workers was read before now, so the manifest was confirmed at
        most its age before that read.

        :returns: the time, or an earlier one; 0 if it is not known.
        """
        age_s = self._context.manifest_status.age_s
        if not self._list_store_s or math.isinf(age_s):
            return 0
        return max(0, self._list_store_s - max(0, age_s))

    async def _wait_for_manifest(self, version: int) -> int:
        """Waits for a change of the manifest.

        :param version: version of the store after which changes are requested.
        :returns: the version after which to request the next changes.
        """
        status = self._context.manifest_status
        started_s = time.monotonic()
        read_s = _clock.read_clock()
        page = await self._client.watch_table(
            platform.MANIFEST_TABLE, version, _MANIFEST_WAIT_S
        )
        if isinstance(page, platform.Page) and page.era == self._manifest_era:
            dated_s = _update_dates.date_feed(
                self._client, page, read_s, _MANIFEST_WAIT_S
            )
            self._manifest_confirmed_s = dated_s
            self._apply_manifest(page.rows, started_s)
            status.record_answer(dated_s)
            if self._is_stored_in_force and not page.more:
                status.confirm(dated_s)
            return page.version
        status.record_contact(read_s)
        if isinstance(page, (platform.Page, platform.HistoryLost)):
            # The version may stand for other content in a later era.
            telemetry.log_event('manifest_history_lost', after=version)
        else:
            await self._pause()
        return await self._read_manifest(version)

    async def _read_manifest(self, version: int) -> int:
        """Reads the manifest.

        :param version: version of the store of the last read.
        :returns: version of the store after which to request changes.
        """
        started_s = time.monotonic()
        read_s = _clock.read_clock()
        page = await self._client.read_table(platform.MANIFEST_TABLE)
        self._context.manifest_status.record_contact(read_s)
        if isinstance(page, platform.Page):
            self._context.manifest_status.record_answer(read_s)
            self._manifest_era = page.era
            self._is_stored_in_force = False
            self._manifest_confirmed_s = read_s
            self._apply_manifest(page.rows, started_s)
            if self._is_stored_in_force:
                self._context.manifest_status.confirm(read_s)
            return page.version
        self._record_outage(page.reason)
        await self._pause()
        return version

    def _apply_manifest(
        self, rows: tuple[platform.Row, ...], started_s: float
    ) -> None:
        for row in rows:
            if row.key != platform.MANIFEST_KEY:
                continue
            self._is_stored_in_force = False
            if row.deleted:
                continue
            fleet = self._context.fleet
            # Decoding 16,000 accounts takes 0.2 s.
            if fleet.version == platform.read_manifest_version(row.value):
                self._is_stored_in_force = fleet.manifest is not None
                continue
            manifest = platform.decode_manifest(row.value)
            if isinstance(manifest, platform.Malformed):
                telemetry.log_event(
                    'manifest_malformed', reason=manifest.reason
                )
                continue
            if fleet.apply_manifest(manifest):
                _accounts.apply_manifest(self._context, manifest)
                _log_invalid_scaling(manifest)
                self._context.configuration_changed.notify()
                telemetry.log_event(
                    'manifest_in_force',
                    manifest_version=manifest.version,
                    routes=len(manifest.routes),
                    age_s=round(time.monotonic() - started_s, 3),
                )
                self._context.notify_if_ready()
            self._is_stored_in_force = manifest.version == fleet.version

    def _record_outage(self, reason: str) -> None:
        if not self._is_store_unavailable:
            telemetry.log_event('store_unavailable', reason=reason)
        self._is_store_unavailable = True

    def _record_recovery(self) -> bool:
        """Records that the store has answered.

        :returns: whether this is the first answer after an outage.
        """
        was_unavailable = self._is_store_unavailable
        if was_unavailable:
            telemetry.log_event('store_recovered')
        self._is_store_unavailable = False
        return was_unavailable


def _log_invalid_scaling(manifest: schema.serving.Manifest) -> None:
    for finding in manifest.invalid_scaling:
        telemetry.log_event(
            'scaling_limits_invalid',
            manifest_version=manifest.version,
            reason=finding[:500],
        )


def make_store_sync(
    context: _context.Context,
    client: platform.Client,
    peers: _peers.Peers,
) -> StoreSync:
    """Makes the store synchronization of a process.

    :param context: state of the process.
    :param client: client of the store.
    :param peers: sends the updates.
    """
    changes = _worker_changes.make_worker_changes(context)
    return StoreSync(context, client, peers, changes)
