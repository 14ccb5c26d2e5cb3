"""Cost of prefilling a prompt at each of several engines."""

import functools
import math

import attrs

from briarknot import schema
from briarknot.serving import (
    _calls,
    _kv_sources,
    _lateness,
    _placement_view,
    _prefill_time,
    _prompt_load,
    _topology,
    _transfers,
)

_Stage = schema.serving.Stage
#: Time of a KV transfer and of its queueing, without the call to the decode
#: worker.
_KV_TRANSFER_S = 0.04
#: Cost of prefill in another region; traffic between regions is billed by
#: volume.
_OTHER_REGION_COST_S = 0.05
#: Cost of a turn at a worker with a limit of requests, and the work of a prompt in
#: tokens for which it falls by half. Short prompts leave the turns to long ones,
#: which take more work off other workers.
_TURN_COST_S = 0.5
_TURN_TOKENS = 2000
#: Cost in seconds per second of prefill at a decode worker, which pauses the
#: streams of other requests.
_INTERFERENCE_FACTOR = 0.5
#: Cost in seconds per second of prefill that is queued at a decode worker: it
#: slows down the streams for longer, up to their time limits.
_DECODE_QUEUEING_FACTOR = 1.0
#: Cost in seconds per second of prefill that recomputes shared parts: queued
#: prompts wait for it, and the part evicts another one from the KV cache.
_RECOMPUTE_FACTOR = 2.0
#: Relative growth of the recompute cost per second of mean queueing time. When
#: all engines have queues, avoidable work delays more prompts than it helps.
_RECOMPUTE_GROWTH_PER_S = 6.0
#: Cost of a first token that is certainly late. It is high enough that a shared
#: part of usual length is recomputed to be in time.
_LATE_COST_S = 1.0
#: Cost of having to use a decode worker without free slots while others are idle, as
#: only some fit the KV cache.
_CROWDING_COST_S = 0.5


@attrs.frozen(kw_only=True)
class _Terms:
    """Figures that several workers share.

    They are the same for all workers of a stage, version and failure domain that
    have equally much of the prompt in their caches.

    :param source: engine from which the shared parts are fetched, if any.
    :param fetched: estimated tokens that are fetched.
    :param uncached: estimated tokens that have to be prefilled.
    :param work: work of prefilling them, in tokens without a context.
    :param recomputed: uncached tokens of shared parts.
    :param speed: prefill throughput in tokens per second.
    :param overhead_s: expected time without queueing and prefill, in seconds.
    :param recompute_cost_s: cost of the recomputed tokens.
    :param region_cost_s: cost of prefill in another region.
    :param turn_cost_s: cost of a turn at a worker with a limit of requests.
    :param fetch_cost_s: cost of the volume that is fetched.
    :param stage_cost_s: cost of the interference at a decode worker, or of the KV
        transfer from a prefill worker.
    :param kv_transfer_s: time of the KV transfer to the decode worker.
    :param is_decode: whether the worker generates the tokens too.
    """

    source: schema.serving.Worker | None
    fetched: int
    uncached: int
    work: int
    recomputed: int
    speed: float
    overhead_s: float
    recompute_cost_s: float
    region_cost_s: float
    turn_cost_s: float
    fetch_cost_s: float
    stage_cost_s: float
    kv_transfer_s: float
    is_decode: bool


@attrs.define(eq=False)
class PlacementCosts:
    """Costs of the candidates for one prompt.

    :param view: input of the policy.
    :param prompt: the prompt.
    :param now: monotonic time in seconds.
    :param prefills: usable prefill workers.
    :param decodes: usable decode workers.
    """

    _view: _placement_view.PlacementView
    _prompt: _calls.Prompt
    _now: float
    _prefills: _placement_view.Engines
    _decodes: _placement_view.Engines
    _terms: dict[tuple[_Stage, str, str, int], _Terms] = attrs.field(
        factory=dict
    )

    def compute_costs(
        self, engines: _placement_view.Engines, first_id: str | None
    ) -> list[float]:
        """Returns the cost of each of several workers, in seconds.

        :param engines: the workers.
        :param first_id: id of the worker that computes the shared parts for the
            first time; None for none.
        """
        return [
            self._compute_cost(one, is_first=one.worker.id == first_id)
            for one in engines
        ]

    def make_placement(
        self, engine: _placement_view.Engine, first_id: str | None
    ) -> _prompt_load.Placement:
        """Makes the placement of the prompt at a worker.

        :param engine: the worker.
        :param first_id: id of the worker that computes the shared parts for the
            first time; None for none.
        """
        terms = self._get_terms(engine)
        prefill_s, expected_s = self._estimate(engine, terms)
        is_first = engine.worker.id == first_id
        return _prompt_load.Placement(
            prefill_worker=engine.worker,
            expected_s=expected_s,
            uncached=terms.uncached,
            work=terms.work,
            recomputed_tokens=0 if is_first else terms.recomputed,
            prefill_s=prefill_s,
            overhead_s=terms.overhead_s,
            cache_holder=terms.source,
            fetched_tokens=terms.fetched,
        )

    def _get_terms(self, engine: _placement_view.Engine) -> _Terms:
        worker = engine.worker
        key = (worker.stage, worker.version, worker.domain, engine.cached)
        terms = self._terms.get(key)
        if terms is None:
            terms = self._make_terms(worker, engine.cached)
            self._terms[key] = terms
        return terms

    def _estimate(
        self, engine: _placement_view.Engine, terms: _Terms
    ) -> tuple[float, float]:
        """Estimates how long a prompt takes at a worker.

        :param engine: the worker.
        :param terms: figures that it shares with others.
        :returns: time of the prefill and of the queue before it at a worker of
            the usual speed, and time until the prompt is prefilled, in seconds.
        """
        view = self._view
        worker = engine.worker
        prefill_s = (terms.work + engine.queued) / terms.speed
        ratio = engine.record.get_work_time_ratio(self._now, prefill_s)
        expected_s = (
            terms.overhead_s
            + prefill_s * view.load.get_slowdown(worker) * ratio
            + view.turn_waits_s.get(worker.id, 0)
        )
        return prefill_s, expected_s

    def _compute_cost(
        self, engine: _placement_view.Engine, *, is_first: bool
    ) -> float:
        """Returns the cost of a worker in seconds.

        The order of the sum is fixed, so that a change of this module doesn't
        change the last digits, and with them choices among equal workers.

        :param engine: the worker.
        :param is_first: whether it computes the shared parts for the first time.
        """
        view = self._view
        terms = self._get_terms(engine)
        _, expected_s = self._estimate(engine, terms)
        cost_s = expected_s + engine.record.failure_rate
        if not is_first:
            cost_s += terms.recompute_cost_s
        cost_s += terms.region_cost_s
        if engine.worker.id in view.turn_waits_s:
            cost_s += terms.turn_cost_s
        cost_s += terms.fetch_cost_s
        cost_s += terms.stage_cost_s
        in_time = 1 - _lateness.compute_late_probability(
            expected_s + terms.kv_transfer_s, view.target_s
        )
        if terms.is_decode:
            cost_s += _DECODE_QUEUEING_FACTOR * engine.queued / terms.speed
        if terms.is_decode and view.event_gap_s:
            late_after = self._compute_gap_probability(
                engine, terms, terms.work
            )
            # Without the prompt, late events are not more probable.
            if late_after:
                late_before = self._compute_gap_probability(engine, terms, 0)
                in_time *= 1 - late_after
                streams = engine.streams
                cost_s += _LATE_COST_S * streams * (late_after - late_before)
        return cost_s + _LATE_COST_S * (1 - in_time)

    def _compute_gap_probability(
        self, engine: _placement_view.Engine, terms: _Terms, added: int
    ) -> float:
        """Returns how probable late events are at a decode worker.

        :param engine: the worker.
        :param terms: figures that it shares with others.
        :param added: prefill work that is added to the queue, in tokens.
        """
        queued_s = (engine.queued + added) / terms.speed
        gap_s = self._view.load.gaps.estimate(engine.worker.service, queued_s)
        return _lateness.compute_late_probability(gap_s, self._view.event_gap_s)

    def _make_terms(self, worker: schema.serving.Worker, cached: int) -> _Terms:
        view = self._view
        prompt = self._prompt
        distance = view.topology.compute_distance(
            view.topology.domain, worker.domain
        )
        holder, transfer_s = self._sources.choose(worker, cached)
        fetched = holder.tokens - cached if holder else 0
        uncached = max(1, prompt.tokens - cached - fetched)
        work = _prefill_time.compute_work(uncached, prompt.tokens)
        unshared = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
        recomputed = max(0, uncached - unshared)
        recomputed_s = recomputed / _prefill_time.PREFILL_TOKENS_PER_S
        speed = _prefill_time.get_prefill_speed(worker.stage)
        kv_transfer_s: float = 0
        if worker.stage == _Stage.DECODE:
            stage_cost_s = _INTERFERENCE_FACTOR * work / speed
        else:
            # The decode worker is chosen near the prefill worker.
            kv_transfer_s = _KV_TRANSFER_S + _prefill_time.get_call_s(distance)
            stage_cost_s = kv_transfer_s + self._get_crowding_s(worker.version)
        is_far = distance == _topology.Distance.OTHER_REGION
        return _Terms(
            source=holder.worker if holder else None,
            fetched=fetched,
            uncached=uncached,
            work=work,
            recomputed=recomputed,
            speed=speed,
            overhead_s=transfer_s + _prefill_time.get_overhead_s(distance),
            recompute_cost_s=recomputed_s
            * _RECOMPUTE_FACTOR
            * (1 + _RECOMPUTE_GROWTH_PER_S * self._mean_wait_s),
            region_cost_s=_OTHER_REGION_COST_S if is_far else 0,
            turn_cost_s=_TURN_COST_S / (1 + work / _TURN_TOKENS),
            fetch_cost_s=self._compute_fetch_cost_s(holder, worker, fetched),
            stage_cost_s=stage_cost_s,
            kv_transfer_s=kv_transfer_s,
            is_decode=worker.stage == _Stage.DECODE,
        )

    def _compute_fetch_cost_s(
        self,
        holder: _kv_sources.Holder | None,
        worker: schema.serving.Worker,
        tokens: int,
    ) -> float:
        if holder is None:
            return 0
        distance = self._view.topology.compute_distance(
            holder.worker.domain, worker.domain
        )
        return _transfers.compute_cost_s(tokens, self._view.limits, distance)

    @functools.cached_property
    def _sources(self) -> _kv_sources.KvSources:
        """Engines from which shared parts can be fetched."""
        sources = _kv_sources.KvSources(self._view.topology, self._view.limits)
        engines = (*self._prefills, *self._decodes)
        for index, engine in enumerate(engines):
            if engine.fetchable:
                sources.add(engine.worker, engine.fetchable, index)
        return sources

    @functools.cached_property
    def _mean_wait_s(self) -> float:
        """Mean queueing time at all engines, in seconds."""
        engines = (*self._prefills, *self._decodes)
        speeds = {
            stage: _prefill_time.get_prefill_speed(stage) for stage in _Stage
        }
        waits = [one.queued / speeds[one.worker.stage] for one in engines]
        return sum(waits) / max(1, len(waits))

    @functools.cached_property
    def _least_used(self) -> dict[str, float]:
        """Lowest share of used slots at the decode workers of each version."""
        least: dict[str, float] = {}
        for one in self._decodes:
            share = one.streams / max(1, one.worker.slots)
            version = one.worker.version
            if share < least.get(version, math.inf):
                least[version] = share
        return least

    def _get_crowding_s(self, version: str) -> float:
        """Returns the cost of decode workers that are busier than others.

        Only those of the prefill worker's version can use its KV cache.
        """
        least_used = self._least_used
        if len(least_used) < 2:
            return 0
        fitting = least_used.get(version, 1)
        return _CROWDING_COST_S * (fitting - min(least_used.values()))
