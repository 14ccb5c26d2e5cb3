"""Tasks that follow the store: manifest, workers, and other processes."""

import asyncio
import time

import attrs

from briarknot import platform, schema, telemetry
from briarknot.gateway import _context, _peers, _readers

#: Longest wait for a changed manifest. A silent connection is noticed after
#: it and the time limit of a call, within the time that a manifest may take.
_MANIFEST_WAIT_S = 1.2
#: Period of reading the workers. A leaving worker must get no requests after
#: the settings' time, which is three seconds at the least.
_WORKERS_PERIOD_S = 0.8
#: Time for which a change of the workers is told again; datagrams get lost.
_TOLD_S = 2.5
#: Age of the manifest at which a process stops to tell others that it is the
#: newest: a wait for a change, and a call that takes long.
_MANIFEST_AGE_S = 1.6
#: Pause after a failed call to the store.
_RETRY_S = 0.4


@attrs.frozen
class _Change:
    """Change of a worker that others are told of.

    :param seen_s: monotonic time at which it was seen.
    :param worker: the worker; None where it is gone.
    """

    seen_s: float
    worker: schema.serving.Worker | None


@attrs.define(eq=False)
class Followers:
    """Keeps the fleet of a process up to date."""

    _context: _context.Context
    _client: platform.Client
    _peers: _peers.Peers
    _is_away: bool = False
    _malformed: set[str] = attrs.field(factory=set)
    _list_version: int = 0
    _manifest_seen_s: float = float('-inf')
    _changes: dict[str, _Change] = attrs.field(factory=dict)

    async def follow_manifest(self) -> None:
        """Follows the operators' manifest."""
        version = 0
        while True:
            if not self._context.fleet.version:
                version = await self._read_manifest(version)
            elif not self._may_wait:
                version = await self._await_manifest(version)
            elif not await self._is_manifest_confirmed():
                version = await self._read_manifest(version)

    async def follow_workers(self) -> None:
        """Reads the list of workers again and again."""
        while True:
            if self._may_wait and await self._is_list_confirmed():
                continue
            started_s = time.monotonic()
            page = await self._client.read_table(platform.WORKERS_TABLE)
            if isinstance(page, platform.Unavailable):
                self._note_outage(page.reason)
                await self._pause()
                continue
            self._list_version = page.version
            self._apply_workers(
                page.rows, started_s, after_outage=self._note_return()
            )
            if _readers.rank_reader(self._context) is not None:
                self._send_news()
            if not self._may_wait:
                await asyncio.sleep(_WORKERS_PERIOD_S)

    @property
    def _is_leader(self) -> bool:
        """Whether this process reads the store for all others."""
        return _readers.rank_reader(self._context) == 0

    @property
    def _may_wait(self) -> bool:
        """Whether this process may wait for what others read.

        A leader that the store turns away goes by their news too.
        """
        if not self._context.is_ready:
            return False
        return self._is_away or not self._is_leader

    async def _pause(self) -> None:
        """Waits after a failed call, unless news are awaited anyway."""
        if not self._may_wait:
            await asyncio.sleep(_RETRY_S)

    async def _is_manifest_confirmed(self) -> bool:
        """Waits for news, and returns whether the manifest is the newest."""
        news = await _readers.wait_for_news(self._context)
        if news is None:
            return False
        if news.manifest_version > self._context.fleet.version:
            return False
        self._manifest_seen_s = time.monotonic()
        return True

    async def _is_list_confirmed(self) -> bool:
        """Waits for news, and returns whether the workers are the same."""
        news = await _readers.wait_for_news(self._context)
        if news is None:
            return False
        fleet = self._context.fleet
        if news.list_version <= self._list_version:
            # The own list is newer than the news.
            return True
        if news.workers_digest != fleet.workers_digest:
            self._apply_news(news)
        if news.workers_digest != fleet.workers_digest:
            return False
        self._list_version = news.list_version
        fleet.confirm_workers(time.monotonic())
        if self._is_away:
            telemetry.log_event('store_bridged', by=news.host)
            self._is_away = False
        return True

    def _send_news(self) -> None:
        """Tells the other processes what was just read."""
        now = time.monotonic()
        if now - self._manifest_seen_s > _MANIFEST_AGE_S:
            return
        self._changes = {
            worker_id: change
            for worker_id, change in self._changes.items()
            if now - change.seen_s < _TOLD_S
        }
        workers = [change.worker for change in self._changes.values()]
        fleet = self._context.fleet
        self._peers.send_news(
            schema.messages.FleetUpdate(
                host=self._context.settings.host,
                manifest_version=fleet.version,
                workers_digest=fleet.workers_digest,
                list_version=self._list_version,
                changed=tuple(one for one in workers if one is not None),
                gone=tuple(
                    worker_id
                    for worker_id, change in self._changes.items()
                    if change.worker is None
                ),
            )
        )

    async def _await_manifest(self, version: int) -> int:
        """Waits for a change of the manifest.

        :param version: version of the store after which changes are wanted.
        :returns: the version after which the next ones are.
        """
        started_s = time.monotonic()
        page = await self._client.watch_table(
            platform.MANIFEST_TABLE, version, _MANIFEST_WAIT_S
        )
        if isinstance(page, platform.Page):
            self._apply_manifest(page.rows, started_s)
            return page.version
        if isinstance(page, platform.HistoryLost):
            telemetry.log_event('manifest_history_lost', after=version)
        else:
            await self._pause()
        return await self._read_manifest(version)

    async def _read_manifest(self, version: int) -> int:
        """Reads the manifest.

        :param version: version of the store of the last read.
        :returns: version of the store after which changes are wanted.
        """
        started_s = time.monotonic()
        page = await self._client.read_table(platform.MANIFEST_TABLE)
        if isinstance(page, platform.Page):
            self._apply_manifest(page.rows, started_s)
            return page.version
        self._note_outage(page.reason)
        await self._pause()
        return version

    def _apply_manifest(
        self, rows: tuple[platform.Row, ...], started_s: float
    ) -> None:
        self._manifest_seen_s = time.monotonic()
        for row in rows:
            if row.key != platform.MANIFEST_KEY or row.deleted:
                continue
            manifest = platform.decode_manifest(row.value)
            if isinstance(manifest, platform.Malformed):
                telemetry.log_event(
                    'manifest_malformed', reason=manifest.reason
                )
            elif self._context.fleet.apply_manifest(manifest):
                telemetry.log_event(
                    'manifest_in_force',
                    manifest_version=manifest.version,
                    routes=len(manifest.routes),
                    age_s=round(time.monotonic() - started_s, 3),
                )
                self._context.note_fleet()

    def _apply_workers(
        self,
        rows: tuple[platform.Row, ...],
        started_s: float,
        *,
        after_outage: bool,
    ) -> None:
        workers = []
        for row in rows:
            worker = platform.decode_worker(row.key, row.value)
            if not isinstance(worker, platform.Malformed):
                workers.append(worker)
            elif row.key not in self._malformed:
                self._malformed.add(row.key)
                telemetry.log_event(
                    'worker_entry_malformed',
                    worker=row.key,
                    reason=worker.reason,
                )
        fleet = self._context.fleet
        before = {one.id: one for one in fleet.workers}
        gone = fleet.apply_workers(
            tuple(workers),
            started_s,
            after_outage=after_outage,
        )
        self._note_changes(before, gone)

    def _apply_news(self, news: schema.messages.FleetUpdate) -> None:
        fleet = self._context.fleet
        before = {one.id: one for one in fleet.workers}
        gone = fleet.apply_changes(news.changed, news.gone)
        self._note_changes(before, gone)

    def _note_changes(
        self,
        before: dict[str, schema.serving.Worker],
        gone: tuple[str, ...],
    ) -> None:
        """Logs what changed, and forgets what does not hold any more.

        :param before: workers before the change.
        :param gone: ids of workers that went.
        """
        context = self._context
        context.note_fleet()
        now = time.monotonic()
        for worker_id in gone:
            context.worker_records.remove(worker_id)
            context.prompt_load.remove_worker(worker_id)
            self._changes[worker_id] = _Change(now, None)
            telemetry.log_event('worker_gone', worker=worker_id)
        for worker in context.fleet.workers:
            old = before.get(worker.id)
            if old is not None and old.born_ms != worker.born_ms:
                # A worker that started again knows nothing of before.
                context.prompt_load.remove_worker(worker.id)
            if old is None or _is_changed(old, worker):
                self._changes[worker.id] = _Change(now, worker)
                telemetry.log_event(
                    'worker_changed',
                    worker=worker.id,
                    service=worker.service,
                    domain=worker.domain,
                    stage=worker.stage.value,
                    draining=worker.draining,
                )

    def _note_outage(self, reason: str) -> None:
        if not self._is_away:
            telemetry.log_event('store_lost', reason=reason)
        self._is_away = True

    def _note_return(self) -> bool:
        """Notes an answer of the store.

        :returns: whether it is the first one after an outage.
        """
        was_away = self._is_away
        if was_away:
            telemetry.log_event('store_back')
        self._is_away = False
        return was_away


def _is_changed(old: object, new: object) -> bool:
    return (old.draining, old.stage, old.address, old.born_ms) != (
        new.draining,
        new.stage,
        new.address,
        new.born_ms,
    )


def make_followers(
    context: _context.Context,
    client: platform.Client,
    peers: _peers.Peers,
) -> Followers:
    """Makes the followers of a process.

    :param context: state of the process.
    :param client: client of the store.
    :param peers: the other processes.
    """
    return Followers(context, client, peers)
