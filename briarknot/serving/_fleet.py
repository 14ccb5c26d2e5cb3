"""Manifest in force and known workers of a process."""

import collections
import math
import typing

import attrs
import xxhash

from briarknot import schema
from briarknot.serving import _worker_ends, _worker_starts

#: Live workers that are missing from the list after an outage of the store
#: register again within this time: the platform guarantees about two seconds.
_REREGISTRATION_S = 2.2
#: Time for which an engine is left out after the last word that it changes its
#: stage. The leader repeats it about every 0.8 s.
_CHANGE_MEMORY_S = 2.0
#: Starts of leaving and of removed workers that are remembered.
_MAX_STARTS = 1000
#: Time after the restore of the store from a copy after which an entry belongs to
#: a live worker: others expire after three heartbeat periods of about a second.
_RESTORED_S = 5.0

Workers = tuple[schema.serving.Worker, ...]


@attrs.define(eq=False)
class Fleet:
    """Manifest in force and known workers.

    :param ends: times at which leaving workers end.
    """

    ends: _worker_ends.WorkerEnds = attrs.field(
        factory=_worker_ends.WorkerEnds, kw_only=True
    )
    _manifest: schema.serving.Manifest | None = None
    _workers: dict[str, schema.serving.Worker] = attrs.field(factory=dict)
    _confirmed_s: float = float('-inf')
    _missing_since_s: dict[str, float] = attrs.field(factory=dict)
    _routes: dict[str, list[schema.serving.Route]] = attrs.field(factory=dict)
    _services: dict[str, schema.serving.Service] = attrs.field(factory=dict)
    _changing_until_s: dict[str, float] = attrs.field(factory=dict)
    _leaving: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    _removed_s: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    _restored_s: float = float('-inf')
    _said_leaving_s: dict[str, float] = attrs.field(factory=dict)
    _lists: dict[tuple[str, schema.serving.Stage], Workers] = attrs.field(
        factory=dict
    )
    _changing_end_s: float = float('-inf')

    @property
    def manifest(self) -> schema.serving.Manifest | None:
        """Manifest in force; None before the first."""
        return self._manifest

    @property
    def version(self) -> int:
        """Version of the manifest in force; 0 before the first."""
        return self._manifest.version if self._manifest else 0

    @property
    def workers(self) -> Workers:
        """Known workers, including draining ones."""
        return tuple(self._workers.values())

    @property
    def workers_digest(self) -> int:
        """Digest of those fields of the workers that affect choices.

        Processes with the same list compute the same digest.
        """
        descriptions = sorted(map(_describe, self._workers.values()))
        return xxhash.xxh64_intdigest(repr(descriptions).encode())

    def confirm_workers(self, now: float) -> None:
        """Records that the list of workers was read and is unchanged.

        :param now: monotonic time in seconds.
        """
        self._confirmed_s = now

    def workers_age_s(self, now: float) -> float:
        """Returns the age of the list of workers.

        :param now: monotonic time in seconds.
        """
        return now - self._confirmed_s

    def apply_manifest(self, manifest: schema.serving.Manifest) -> bool:
        """Puts a manifest in force unless it is outdated.

        :param manifest: manifest that was read.
        :returns: whether the manifest is newer than the one before.
        """
        if manifest.version <= self.version:
            return False
        self._manifest = manifest
        self._services = {one.name: one for one in manifest.services}
        self._routes = {}
        # Longer prefixes come first, so that the first match is the longest.
        routes = sorted(
            manifest.routes,
            key=lambda one: len(one.path_prefix),
            reverse=True,
        )
        for route in routes:
            self._routes.setdefault(route.host, []).append(route)
        return True

    def apply_workers(
        self,
        workers: Workers,
        now: float,
        *,
        after_outage: bool,
    ) -> tuple[str, ...]:
        """Applies a list of workers that was read from the store.

        :param workers: all registered workers.
        :param now: monotonic time at which the read began, in seconds.
        :param after_outage: whether this is the first read after an outage of
            the store, so that entries of live workers may have expired.
        :returns: ids of removed workers.
        """
        listed = {
            worker.id: self._mark_leaving(worker, now)
            for worker in workers
            if not self._is_resurrected(worker, now)
        }
        removed = []
        for worker_id, worker in self._workers.items():
            if worker_id in listed:
                self._missing_since_s.pop(worker_id, None)
            elif self._is_kept(worker, now, after_outage=after_outage):
                listed[worker_id] = worker
            else:
                removed.append(worker_id)
                self._record_removed(worker, now)
        self._workers = listed
        self._lists.clear()
        self._confirmed_s = now
        return tuple(removed)

    def apply_changes(
        self,
        changed: Workers,
        removed: tuple[str, ...],
        now: float,
    ) -> tuple[str, ...]:
        """Applies changes of the list that another process has read.

        :param changed: workers that were added or changed.
        :param removed: ids of removed workers.
        :param now: monotonic time in seconds.
        :returns: ids of removed workers that were known.
        """
        self._workers.update(
            {
                worker.id: self._mark_leaving(worker, now)
                for worker in changed
                if not self._is_resurrected(worker, now)
            }
        )
        for worker in changed:
            self._missing_since_s.pop(worker.id, None)
        known = tuple(one for one in removed if one in self._workers)
        for worker_id in known:
            self._record_removed(self._workers.pop(worker_id), now)
        self._lists.clear()
        return known

    def record_restore(self, now: float) -> None:
        """Records that the store was restored from a copy.

        :param now: monotonic time in seconds.
        """
        self._restored_s = now

    def set_changing(
        self, worker_ids: typing.Iterable[str], now: float
    ) -> None:
        """Records that engines change their stage and accept no requests.

        It is forgotten unless it is repeated, so that the engines are used
        again if the process that knows of the change is lost.

        :param worker_ids: ids of the engines.
        :param now: monotonic time in seconds.
        """
        for worker_id in worker_ids:
            self._changing_until_s[worker_id] = now + _CHANGE_MEMORY_S
            self._changing_end_s = max(
                self._changing_end_s, now + _CHANGE_MEMORY_S
            )

    def record_leaving(self, start: str, now: float) -> bool:
        """Records that a worker has said in an answer that it is leaving.

        Its entry may say so later or never. It gets no requests until it starts
        again.

        :param start: the worker and its start.
        :param now: monotonic time in seconds.
        :returns: whether it was not known.
        """
        if start in self._said_leaving_s:
            return False
        self._said_leaving_s[start] = now
        self._lists.clear()
        if len(self._said_leaving_s) > _MAX_STARTS:
            del self._said_leaving_s[next(iter(self._said_leaving_s))]
        return True

    def list_leaving(self, since_s: float) -> tuple[str, ...]:
        """Lists workers that have said that they are leaving.

        :param since_s: monotonic time from which on this process learned it.
        """
        return tuple(
            start
            for start, known_s in self._said_leaving_s.items()
            if known_s >= since_s
        )

    def find_route(self, host: str, path: str) -> schema.serving.Route | None:
        """Finds the route of a request.

        :param host: host that the client requested.
        :param path: path and query.
        """
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_service(self, name: str) -> schema.serving.Service | None:
        """Finds a service by its name."""
        return self._services.get(name)

    def find_worker(self, worker_id: str) -> schema.serving.Worker | None:
        """Finds a known worker by its id."""
        return self._workers.get(worker_id)

    def list_usable(
        self,
        service: str,
        stage: schema.serving.Stage = schema.serving.Stage.NONE,
        now: float = math.inf,
    ) -> Workers:
        """Lists the workers that accept new requests.

        :param service: name of the service.
        :param stage: stage of the workers.
        :param now: monotonic time in seconds; engines that change their stage
            at this time are left out.
        """
        listed = self._lists.get((service, stage))
        if listed is None:
            listed = self._list_accepting(service, stage)
            self._lists[service, stage] = listed
        if now >= self._changing_end_s:
            return listed
        return tuple(
            worker
            for worker in listed
            if self._changing_until_s.get(worker.id, now) <= now
        )

    def _list_accepting(
        self, service: str, stage: schema.serving.Stage
    ) -> Workers:
        """Lists the workers of a stage that are not leaving."""
        return tuple(
            worker
            for worker in self._workers.values()
            if worker.service == service
            and worker.stage == stage
            and not worker.draining
            and _worker_starts.name_start(worker) not in self._said_leaving_s
        )

    def _record_removed(
        self, worker: schema.serving.Worker, now: float
    ) -> None:
        self._missing_since_s.pop(worker.id, None)
        self._removed_s[_worker_starts.name_start(worker)] = now
        if len(self._removed_s) > _MAX_STARTS:
            self._removed_s.popitem(last=False)

    def _is_resurrected(
        self, worker: schema.serving.Worker, now: float
    ) -> bool:
        """Returns whether an entry may be from the copy of a restored store only.

        Its worker was removed before the restore.
        """
        if now - self._restored_s > _RESTORED_S:
            return False
        removed_s = self._removed_s.get(_worker_starts.name_start(worker))
        return removed_s is not None and removed_s < self._restored_s

    def _mark_leaving(
        self, worker: schema.serving.Worker, now: float
    ) -> schema.serving.Worker:
        """Returns a worker as leaving if it has been before.

        A leaving worker never accepts requests again until it is restarted. An
        entry that says so comes from a copy of the store.
        """
        start = _worker_starts.name_start(worker)
        self.ends.record(worker, now)
        if worker.draining:
            self._leaving[start] = None
            if len(self._leaving) > _MAX_STARTS:
                self._leaving.popitem(last=False)
        elif start in self._leaving:
            return attrs.evolve(worker, draining=True)
        return worker

    def _is_kept(
        self, worker: schema.serving.Worker, now: float, *, after_outage: bool
    ) -> bool:
        if worker.draining:
            return False
        if worker.id not in self._missing_since_s:
            if not after_outage:
                return False
            self._missing_since_s[worker.id] = now
        return now - self._missing_since_s[worker.id] < _REREGISTRATION_S


def _describe(worker: schema.serving.Worker) -> str:
    """Describes a worker for the digest.

    Kinds of worker that earlier versions don't know are added only where they
    apply, so that both compute the same digest for all others.
    """
    text = (
        f'{worker.id} {worker.service} {worker.address} {worker.draining}'
        f' {worker.stage} {worker.born_ms} {worker.version}'
    )
    if worker.is_spot or worker.leaves_s:
        return f'{text} {worker.is_spot} {bool(worker.leaves_s)}'
    return text


def make_fleet() -> Fleet:
    """Makes a fleet without a manifest or workers.

    >>> make_fleet().version
    0
    """
    return Fleet()
