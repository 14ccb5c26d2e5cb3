"""Demand for prefill and decode, estimated from load reports."""

import math

import attrs

from briarknot import schema
from briarknot.planning import _snapshot

#: Time in which a prefill queue should be processed. Queued prefill adds to the
#: demand that the engine serves at present.
_QUEUE_CLEAR_S = 5.0
#: Share of used streams from which an engine counts as full.
_FULL_SHARE = 0.9
#: Demand on a full engine as a multiple of its load: demand beyond its capacity
#: is queued in admission and missing from its reports.
_FULL_DEMAND_FACTOR = 1.5


@attrs.define(eq=False)
class _Window:
    """Exponentially weighted moving average of samples."""

    _length_s: float
    _mean: float = 0
    _at_s: float | None = None

    def get_mean(self) -> float:
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
class _WindowPair:
    """Prefill and decode demand over one window."""

    prefill: _Window
    decode: _Window


@attrs.define(eq=False)
class _TrackedEngine:
    group: str
    model: str
    short: _WindowPair
    long: _WindowPair
    as_of_s: float = float('-inf')


@attrs.define(eq=False)
class DemandTracker:
    """Averages the demand that each engine reports over two windows."""

    _short_s: float
    _long_s: float
    _engines: dict[str, _TrackedEngine] = attrs.field(factory=dict)

    def apply_report(
        self,
        engine: schema.fleet.Engine,
        max_streams: int,
        report: schema.endpoints.LoadReport,
        now: float,
    ) -> None:
        """Applies a load report if its figures are newer than the known ones.

        :param engine: engine that sent the report.
        :param max_streams: streams that the engine can decode at the same time.
        :param report: the report, which includes its age.
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
        """Removes an engine that is no longer in the fleet."""
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

    def _make_tracked(self, engine: schema.fleet.Engine) -> _TrackedEngine:
        short, long = (
            _WindowPair(_Window(length_s), _Window(length_s))
            for length_s in (self._short_s, self._long_s)
        )
        return _TrackedEngine(engine.group, engine.model, short, long)


def _sum_pairs(pairs: list[_WindowPair]) -> _snapshot.Demand:
    return _snapshot.Demand(
        prefill=math.fsum(pair.prefill.get_mean() for pair in pairs),
        decode=math.fsum(pair.decode.get_mean() for pair in pairs),
    )


def _sample_prefill(report: schema.endpoints.LoadReport) -> float:
    """Returns 1 if the engine prefills, plus the demand of its queue."""
    running = report.running > report.active_decode_streams
    speed = max(report.prefill_tokens_per_s, 1)
    queue_s = report.queued_prefill_tokens / speed
    return float(running or queue_s > 0) + queue_s / _QUEUE_CLEAR_S


def _sample_decode(
    report: schema.endpoints.LoadReport, max_streams: int
) -> float:
    """Returns the share of used streams, scaled up if the engine is full."""
    share = report.active_decode_streams / max(1, max_streams)
    return share * _FULL_DEMAND_FACTOR if share >= _FULL_SHARE else share


def make_demand_tracker(
    short_s: float = 8, long_s: float = 120
) -> DemandTracker:
    """Makes a tracker without reports.

    :param short_s: time constant of the short window.
    :param long_s: time constant of the long window.

    >>> make_demand_tracker().compute_demands()
    ()
    """
    return DemandTracker(short_s, long_s)
