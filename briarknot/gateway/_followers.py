"""Tasks that follow the store: manifest, workers, and other processes."""

import asyncio
import time

import attrs

from briarknot import platform, schema, serving, telemetry
from briarknot.gateway import _context, _peers

#: Longest wait for a changed manifest. A silent connection is noticed after
#: it and the time limit of a call, within the time that a manifest may take.
_MANIFEST_WAIT_S = 1.2
#: Period of reading the workers. A leaving worker must get no requests after
#: the settings' time, which is three seconds at the least.
_WORKERS_PERIOD_S = 0.8
#: Processes of a failure domain that read the store; the others read it where
#: these or those of other domains have news, or none came for a while.
_READERS = 1
_READERS_KEY = 'readers'
#: Longest wait for news; a reader's period and the way are shorter.
_NEWS_S = 1.1
#: Pause after a failed call to the store.
_RETRY_S = 0.4


@attrs.define(eq=False)
class Followers:
    """Keeps the fleet of a process up to date."""

    _context: _context.Context
    _client: platform.Client
    _peers: _peers.Peers
    _is_away: bool = False
    _malformed: set[str] = attrs.field(factory=set)

    async def follow_manifest(self) -> None:
        """Follows the operators' manifest."""
        version = await self._read_manifest()
        while True:
            if not self._is_reader() and await self._is_manifest_confirmed():
                continue
            started_s = time.monotonic()
            page = await self._client.follow_table(
                platform.MANIFEST_TABLE, version, _MANIFEST_WAIT_S
            )
            if isinstance(page, platform.HistoryLost):
                telemetry.log_event('manifest_history_lost', after=version)
                version = await self._read_manifest()
            elif isinstance(page, platform.Unavailable):
                await asyncio.sleep(_RETRY_S)
                version = await self._read_manifest()
            else:
                version = page.version
                self._apply_manifest(page.rows, started_s)

    async def follow_workers(self) -> None:
        """Reads the list of workers again and again."""
        while True:
            if not self._is_reader() and await self._is_list_confirmed():
                continue
            started_s = time.monotonic()
            page = await self._client.read_table(platform.WORKERS_TABLE)
            if isinstance(page, platform.Unavailable):
                self._note_outage(page.reason)
                await asyncio.sleep(_RETRY_S)
                continue
            self._apply_workers(
                page.rows, started_s, after_outage=self._note_return()
            )
            if self._is_reader():
                self._peers.send_news()
                await asyncio.sleep(_WORKERS_PERIOD_S)

    def _is_reader(self) -> bool:
        """Returns whether this process reads the store for its domain."""
        own = self._context.settings.host
        hosts = {*self._context.domain_hosts, own}
        ranked = serving.rank_names(_READERS_KEY, hosts)
        return own in ranked[:_READERS]

    async def _is_manifest_confirmed(self) -> bool:
        """Waits for news, and returns whether the manifest is the newest."""
        news = await self._wait_for_news()
        if news is None:
            return False
        return news.manifest_version <= self._context.fleet.version

    async def _is_list_confirmed(self) -> bool:
        """Waits for news, and returns whether the workers are the same."""
        news = await self._wait_for_news()
        fleet = self._context.fleet
        if news is None or news.workers_digest != fleet.workers_digest:
            return False
        fleet.confirm_workers(time.monotonic())
        return not self._is_away

    async def _wait_for_news(self) -> schema.messages.FleetNews | None:
        try:
            async with asyncio.timeout(_NEWS_S):
                await self._context.news_arrived.wait()
        except TimeoutError:
            return None
        # Both followers wait for the same event; the next one is awaited anew.
        await asyncio.sleep(0)
        self._context.news_arrived.clear()
        return self._context.news

    async def _read_manifest(self) -> int:
        """Reads the manifest until the store answers.

        :returns: version of the store after which changes are wanted.
        """
        while True:
            started_s = time.monotonic()
            page = await self._client.read_table(platform.MANIFEST_TABLE)
            if not isinstance(page, platform.Unavailable):
                self._apply_manifest(page.rows, started_s)
                return page.version
            self._note_outage(page.reason)
            await asyncio.sleep(_RETRY_S)

    def _apply_manifest(
        self, rows: tuple[platform.Row, ...], started_s: float
    ) -> None:
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
        self._context.note_fleet()
        for worker_id in gone:
            self._context.board.forget(worker_id)
            self._context.prompts.forget(worker_id)
            telemetry.log_event('worker_gone', worker=worker_id)
        for worker in workers:
            old = before.get(worker.id)
            if old is not None and old.born_ms != worker.born_ms:
                # A worker that started again knows nothing of before.
                self._context.prompts.forget(worker.id)
            if old is None or _is_changed(old, worker):
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
