"""The manifest in force and the workers as this process knows them."""

import random

import attrs
import xxhash

from briarknot import schema

#: Workers missing from the list after an outage of the store register again
#: within this time if they live: about two seconds, as the platform promises.
_RETURN_S = 2.2


@attrs.define(eq=False)
class Fleet:
    """Manifest in force and known workers."""

    _manifest: schema.serving.Manifest | None = None
    _workers: dict[str, schema.serving.Worker] = attrs.field(factory=dict)
    _seen_s: float = float('-inf')
    _missing: dict[str, float] = attrs.field(factory=dict)
    _hosts: dict[str, list[schema.serving.Route]] = attrs.field(factory=dict)
    _services: dict[str, schema.serving.Service] = attrs.field(factory=dict)

    @property
    def manifest(self) -> schema.serving.Manifest | None:
        """Manifest in force."""
        return self._manifest

    @property
    def version(self) -> int:
        """Version of the manifest in force; 0 before the first."""
        return self._manifest.version if self._manifest else 0

    @property
    def workers(self) -> tuple[schema.serving.Worker, ...]:
        """Known workers, leaving ones too."""
        return tuple(self._workers.values())

    @property
    def workers_digest(self) -> int:
        """Digest of what matters of the workers to a choice.

        Processes with the same list find the same digest.
        """
        described = sorted(
            f'{one.id} {one.service} {one.address} {one.draining}'
            f' {one.stage} {one.born_ms}'
            for one in self._workers.values()
        )
        return xxhash.xxh64_intdigest(repr(described).encode())

    def confirm_workers(self, now: float) -> None:
        """Notes that the list of workers was read again and is the same.

        :param now: monotonic time in seconds.
        """
        self._seen_s = now

    def workers_age_s(self, now: float) -> float:
        """Returns the age of the list of workers.

        :param now: monotonic time in seconds.
        """
        return now - self._seen_s

    def apply_manifest(self, manifest: schema.serving.Manifest) -> bool:
        """Puts a manifest in force unless a newer one is.

        :param manifest: manifest as it was read.
        :returns: whether it is in force now and was not before.
        """
        if manifest.version <= self.version:
            return False
        self._manifest = manifest
        self._services = {one.name: one for one in manifest.services}
        self._hosts = {}
        # Longer prefixes come first, so that the first match is the longest.
        routes = sorted(
            manifest.routes,
            key=lambda one: len(one.path_prefix),
            reverse=True,
        )
        for route in routes:
            self._hosts.setdefault(route.host, []).append(route)
        return True

    def apply_workers(
        self,
        workers: tuple[schema.serving.Worker, ...],
        now: float,
        *,
        after_outage: bool,
    ) -> tuple[str, ...]:
        """Takes the list of workers as it was read.

        :param workers: all registered workers.
        :param now: monotonic time at which the read began, in seconds.
        :param after_outage: whether this is the first read after an outage of
            the store, so that entries of living workers may have lapsed.
        :returns: ids of workers that are gone.
        """
        listed = {worker.id: worker for worker in workers}
        gone = []
        for worker_id, worker in self._workers.items():
            if worker_id in listed:
                self._missing.pop(worker_id, None)
            elif self._is_kept(worker, now, after_outage=after_outage):
                listed[worker_id] = worker
            else:
                gone.append(worker_id)
                self._missing.pop(worker_id, None)
        self._workers = listed
        self._seen_s = now
        return tuple(gone)

    def apply_changes(
        self,
        changed: tuple[schema.serving.Worker, ...],
        gone: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Takes what another process saw change in the list of workers.

        :param changed: workers that came or changed.
        :param gone: ids of workers that went.
        :returns: those of the latter that were known.
        """
        self._workers.update({worker.id: worker for worker in changed})
        for worker in changed:
            self._missing.pop(worker.id, None)
        known = tuple(one for one in gone if one in self._workers)
        for worker_id in known:
            del self._workers[worker_id]
            self._missing.pop(worker_id, None)
        return known

    def find_route(self, host: str, path: str) -> schema.serving.Route | None:
        """Finds the route of a request.

        :param host: host that the client named.
        :param path: path and query.
        """
        for route in self._hosts.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_service(self, name: str) -> schema.serving.Service | None:
        """Finds a service by its name."""
        return self._services.get(name)

    def list_usable(
        self,
        service: str,
        stage: schema.serving.Stage = schema.serving.Stage.NONE,
    ) -> tuple[schema.serving.Worker, ...]:
        """Lists the workers that may get new requests.

        :param service: name of the service.
        :param stage: part of a generation that they take.
        """
        return tuple(
            worker
            for worker in self._workers.values()
            if worker.service == service
            and worker.stage == stage
            and not worker.draining
        )

    def _is_kept(
        self, worker: schema.serving.Worker, now: float, *, after_outage: bool
    ) -> bool:
        if worker.draining:
            return False
        if worker.id not in self._missing:
            if not after_outage:
                return False
            self._missing[worker.id] = now
        return now - self._missing[worker.id] < _RETURN_S


def choose_destination(
    route: schema.serving.Route, random_source: random.Random
) -> str:
    """Chooses the service of one request by the destinations' weights.

    :param route: route of the request.
    :param random_source: source of randomness.
    """
    if len(route.destinations) == 1:
        return route.destinations[0].service
    weights = [one.weight for one in route.destinations]
    chosen = random_source.choices(route.destinations, weights)[0]
    return chosen.service


def make_fleet() -> Fleet:
    """Makes a fleet without a manifest and workers.

    >>> make_fleet().version
    0
    """
    return Fleet()
