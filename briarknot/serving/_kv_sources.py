"""Engines from which a worker fetches the shared parts of a prompt."""

import attrs

from briarknot import schema
from briarknot.serving import _prefill_time, _topology, _transfers


@attrs.frozen
class Holder:
    """An engine that holds shared parts of a prompt.

    :param worker: the engine.
    :param tokens: estimated tokens of the prompt in its cache.
    :param index: position in the list of engines.
    """

    worker: schema.serving.Worker
    tokens: int
    index: int


@attrs.define(eq=False)
class KvSources:
    """Engines from which shared parts of one prompt can be fetched.

    Fetching is equally fast from all engines of a version and a failure domain
    that hold equally many tokens. Only the first of them is kept, so that the
    choice of a source doesn't take longer the more engines there are.
    """

    _topology: _topology.Topology
    _limits: schema.serving.EngineLimits
    _firsts: dict[str, dict[tuple[str, int], Holder]] = attrs.field(
        factory=dict
    )
    _nearest: dict[
        tuple[str, str], dict[tuple[_topology.Distance, int], Holder]
    ] = attrs.field(factory=dict)

    def add(
        self, worker: schema.serving.Worker, tokens: int, index: int
    ) -> None:
        """Adds an engine; engines are added in the order of their list.

        :param worker: the engine.
        :param tokens: estimated tokens of the prompt in its cache.
        :param index: position in the list of engines.
        """
        firsts = self._firsts.setdefault(worker.version, {})
        if (worker.domain, tokens) not in firsts:
            holder = Holder(worker, tokens, index)
            firsts[worker.domain, tokens] = holder

    def choose(
        self, worker: schema.serving.Worker, cached: int
    ) -> tuple[Holder | None, float]:
        """Chooses the engine from which a worker fetches shared parts.

        Caches of other versions are not known to fit. A worker is never its own
        source, as it can fetch at most what it has in its cache.

        :param worker: the worker.
        :param cached: tokens of the prompt in its cache.
        :returns: the engine and the time of the transfer in seconds; None and 0
            where prefilling the parts is as fast.
        """
        if not _transfers.is_known(self._limits):
            return None, 0
        speed = _prefill_time.get_prefill_speed(worker.stage)
        best: Holder | None = None
        best_key: tuple[float, int] = (0, 0)
        best_transfer_s: float = 0
        nearest = self._list_nearest(worker.version, worker.domain)
        for (distance, held), holder in nearest.items():
            tokens = held - cached
            if tokens <= 0:
                continue
            transfer_s = _transfers.compute_transfer_s(
                tokens, self._limits, distance
            )
            gain_s = tokens / speed - transfer_s
            key = (gain_s, -holder.index)
            if gain_s > 0 and (best is None or key > best_key):
                best, best_key, best_transfer_s = holder, key, transfer_s
        return best, best_transfer_s

    def _list_nearest(
        self, version: str, domain: str
    ) -> dict[tuple[_topology.Distance, int], Holder]:
        """Returns the first engine by distance from a domain, and by tokens."""
        nearest = self._nearest.get((version, domain))
        if nearest is None:
            nearest = {}
            for (origin, tokens), holder in self._firsts.get(
                version, {}
            ).items():
                distance = self._topology.compute_distance(origin, domain)
                nearest.setdefault((distance, tokens), holder)
            self._nearest[version, domain] = nearest
        return nearest
