"""Tasks that follow the store: manifest, workers, and other processes."""

import asyncio
import time

import attrs

from briarknot import platform, telemetry
from briarknot.gateway import _context

_MANIFEST_TABLE = 'op'
_MANIFEST_KEY = 'config'
_WORKERS_TABLE = 'servers'
_HOSTS_TABLE = 'gateways'
#: Longest wait for a changed manifest. A silent connection is noticed after
#: it and the time limit of a call, within the time that a manifest may take.
_MANIFEST_WAIT_S = 1.2
#: Period of reading the workers. A leaving worker must get no requests after
#: the settings' time, which is three seconds at the least.
_WORKERS_PERIOD_S = 0.8
#: Pause after a failed call to the store.
_RETRY_S = 0.4
#: Time after an outage of the store during which entries may be missing.
_AFTER_OUTAGE_S = 3.0
#: Period in which a process registers itself, and of reading the others.
_HOSTS_PERIOD_S = 6.0
#: Periods without a change after which a process does not count any more.
_HOSTS_PERIODS_KEPT = 3


@attrs.define(eq=False)
class Followers:
    """Keeps the fleet of a process up to date."""

    _context: _context.Context
    _client: platform.Client
    _is_away: bool = False
    _back_s: float = float('-inf')
    _malformed: set[str] = attrs.field(factory=set)

    async def follow_manifest(self) -> None:
        """Follows the operators' manifest."""
        version = await self._read_manifest()
        while True:
            started_s = time.monotonic()
            page = await self._client.follow_table(
                _MANIFEST_TABLE, version, _MANIFEST_WAIT_S
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
            started_s = time.monotonic()
            page = await self._client.read_table(_WORKERS_TABLE)
            if isinstance(page, platform.Unavailable):
                self._note_outage(page.reason)
                await asyncio.sleep(_RETRY_S)
                continue
            self._note_return(started_s)
            self._apply_workers(page.rows, started_s)
            await asyncio.sleep(_WORKERS_PERIOD_S)

    async def _read_manifest(self) -> int:
        """Reads the manifest until the store answers.

        :returns: version of the store after which changes are wanted.
        """
        while True:
            started_s = time.monotonic()
            page = await self._client.read_table(_MANIFEST_TABLE)
            if not isinstance(page, platform.Unavailable):
                self._apply_manifest(page.rows, started_s)
                return page.version
            self._note_outage(page.reason)
            await asyncio.sleep(_RETRY_S)

    def _apply_manifest(
        self, rows: tuple[platform.Row, ...], started_s: float
    ) -> None:
        for row in rows:
            if row.key != _MANIFEST_KEY or row.deleted:
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

    def _apply_workers(
        self, rows: tuple[platform.Row, ...], started_s: float
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
            after_outage=started_s - self._back_s < _AFTER_OUTAGE_S,
        )
        for worker_id in gone:
            self._context.board.forget(worker_id)
            telemetry.log_event('worker_gone', worker=worker_id)
        for worker in workers:
            old = before.get(worker.id)
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

    def _note_return(self, now: float) -> None:
        if self._is_away:
            telemetry.log_event('store_back')
            self._back_s = now
        self._is_away = False


def _is_changed(old: object, new: object) -> bool:
    return (old.draining, old.stage, old.address, old.born_ms) != (
        new.draining,
        new.stage,
        new.address,
        new.born_ms,
    )


def make_followers(
    context: _context.Context, client: platform.Client
) -> Followers:
    """Makes the followers of a process.

    :param context: state of the process.
    :param client: client of the store.
    """
    return Followers(context, client)
