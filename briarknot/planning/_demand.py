"""Demand for prefill and decode, measured from load reports."""

import math

import attrs

from briarknot import schema
from briarknot.planning import _snapshot

#: Time in which a queue of prefill should be worked off; a queue counts as
#: demand beyond what the engine does now.
_CLEAR_S = 5.0
#: Share of streams in use from which an engine counts as full. What a full
#: engine is asked beyond that waits in admission and is in no report, so that
#: its demand counts as this factor of what it serves.
_FULL_SHARE = 0.9
_FULL_DEMAND = 1.5


@attrs.define(eq=False)
class _Window:
    """Mean of samples that fades over time."""

    _length_s: float
    _mean: float = 0
    _at_s: float | None = None

    def read(self) -> float:
        return self._mean

    def add(self, sample: float, as_of: float) -> None:
        if self._at_s is None:
            self._mean = sample
        else:
            elapsed = max(0, as_of - self._at_s)
            kept = math.exp(-elapsed / self._length_s)
            self._mean = self._mean * kept + sample * (1 - kept)
        self._at_s = as_of


@attrs.define(eq=False)
class _Pair:
    """Both kinds of demand over one window."""

    prefill: _Window
    decode: _Window


@attrs.define(eq=False)
class _Tracked:
    group: str
    model: str
    short: _Pair
    long: _Pair
    as_of_s: float = float('-inf')


@attrs.define(eq=False)
class DemandTracker:
    """Keeps the demand that each engine's reports show, over two windows."""

    _short_s: float
    _long_s: float
    _engines: dict[str, _Tracked] = attrs.field(factory=dict)

    def apply_report(
        self,
        engine: schema.fleet.Engine,
        max_streams: int,
        report: schema.endpoints.LoadReport,
        now: float,
    ) -> None:
        """Takes a load report; one that is not newer changes nothing.

        :param engine: engine that reports.
        :param max_streams: streams that it decodes at once.
        :param report: the report, whose age is part of it.
        :param now: monotonic time in seconds.
        """
        tracked = self._engines.get(engine.name)
        if tracked is None or tracked.group != engine.group:
            tracked = self._make_tracked(engine)
            self._engines[engine.name] = tracked
        as_of = now - report.as_of_age_s
        if as_of <= tracked.as_of_s:
            return
        tracked.as_of_s = as_of
        tracked.model = report.model.partition('@')[0] or engine.model
        prefill = _sample_prefill(report)
        decode = _sample_decode(report, max_streams)
        for pair in (tracked.short, tracked.long):
            pair.prefill.add(prefill, as_of)
            pair.decode.add(decode, as_of)

    def remove_engine(self, engine_name: str) -> None:
        """Drops an engine that has left."""
        self._engines.pop(engine_name, None)

    def compute_demands(self) -> tuple[_snapshot.PoolDemand, ...]:
        """Returns the demand by group and model."""
        pools = dict.fromkeys(
            (one.group, one.model) for one in self._engines.values()
        )
        return tuple(self._sum_pool(*pool) for pool in pools)

    def _sum_pool(self, group: str, model: str) -> _snapshot.PoolDemand:
        members = [
            one
            for one in self._engines.values()
            if (one.group, one.model) == (group, model)
        ]
        return _snapshot.PoolDemand(
            group=group,
            model=model,
            short=_sum_pairs([one.short for one in members]),
            long=_sum_pairs([one.long for one in members]),
        )

    def _make_tracked(self, engine: schema.fleet.Engine) -> _Tracked:
        short, long = (
            _Pair(_Window(length_s), _Window(length_s))
            for length_s in (self._short_s, self._long_s)
        )
        return _Tracked(engine.group, engine.model, short, long)


def _sum_pairs(pairs: list[_Pair]) -> _snapshot.Demand:
    return _snapshot.Demand(
        prefill=math.fsum(pair.prefill.read() for pair in pairs),
        decode=math.fsum(pair.decode.read() for pair in pairs),
    )


def _sample_prefill(report: schema.endpoints.LoadReport) -> float:
    """Returns whether prefill runs, as a share, plus the queue's demand."""
    running = report.running > report.active_decode_streams
    speed = max(report.prefill_tokens_per_s, 1)
    queue_s = report.queued_prefill_tokens / speed
    return float(running or queue_s > 0) + queue_s / _CLEAR_S


def _sample_decode(
    report: schema.endpoints.LoadReport, max_streams: int
) -> float:
    """Returns the used share of the streams, raised where they are full."""
    share = report.active_decode_streams / max(1, max_streams)
    return share * _FULL_DEMAND if share >= _FULL_SHARE else share


def make_demand_tracker(
    short_s: float = 8, long_s: float = 120
) -> DemandTracker:
    """Makes a tracker without any report.

    :param short_s: time constant of the short window.
    :param long_s: time constant of the long window.

    >>> make_demand_tracker().compute_demands()
    ()
    """
    return DemandTracker(short_s, long_s)
