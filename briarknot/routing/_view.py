"""Endpoint view of one failure domain."""

import typing

import attrs

from briarknot import schema
from briarknot.routing import _cost, _engine


@attrs.frozen
class Capacity:
    """Capacity of the engines of a view.

    :param work_per_s: engine seconds per second.
    :param concurrent: concurrent streams.
    """

    work_per_s: float
    concurrent: int


@attrs.define(eq=False)
class View:
    """Engines of one failure domain as this process sees them."""

    _domain: str
    _engines: dict[str, _engine.EngineView] = attrs.field(factory=dict)
    _removed: dict[str, _engine.EngineView] = attrs.field(factory=dict)
    #: Drain marks of engines that no document has declared yet: a process
    #: reads marks at its start, and a mark may arrive before its document.
    _early_drains: dict[str, _engine.Drain] = attrs.field(factory=dict)

    @property
    def domain(self) -> str:
        """Failure domain of the engines."""
        return self._domain

    @property
    def engines(self) -> tuple[_engine.EngineView, ...]:
        """All engines that the document in force declares."""
        return tuple(self._engines.values())

    def find_engine(self, engine_name: str) -> _engine.EngineView | None:
        """Returns an engine's view, or None where it is not known."""
        return self._engines.get(engine_name) or self._removed.get(engine_name)

    def compute_capacity(self, now: float) -> Capacity:
        """Returns the capacity of the engines that take work now."""
        fit = [one for one in self.engines if not one.explain_unfit(now)]
        decoders = [one for one in fit if one.role != schema.fleet.Role.PREFILL]
        return Capacity(
            float(len(fit)), sum(one.max_streams for one in decoders)
        )

    def count_other_streams(self, now: float) -> int:
        """Returns the streams that other processes have on the engines.

        :param now: monotonic time in seconds.
        """
        return sum(
            max(0, engine.count_streams(now) - engine.in_flight)
            for engine in self.engines
        )

    def apply_document(self, document: schema.fleet.Fleet) -> None:
        """Applies a new document; the state of known engines is kept."""
        models = {model.name: model for model in document.models}
        known = self._removed | self._engines
        self._engines = {}
        for engine in document.engines:
            if engine.domain != self._domain:
                continue
            model = models.get(
                engine.model, schema.fleet.Model(name=engine.model)
            )
            engine_view = known.pop(engine.name, None)
            if engine_view is None:
                engine_view = _engine.EngineView(engine, model)
                early = self._early_drains.pop(engine.name, None)
                if early is not None:
                    engine_view.drain.apply(early.number, active=early.active)
            engine_view.set_document(engine, model)
            self._engines[engine.name] = engine_view
        # Attempts on a removed engine still end, and its drain mark applies
        # if it is declared again.
        self._removed = {
            name: removed
            for name, removed in known.items()
            if removed.in_flight or removed.drain.active
        }

    def apply_report(
        self, engine_name: str, report: schema.endpoints.LoadReport, now: float
    ) -> None:
        """Applies a load report, which contains its age."""
        engine_view = self.find_engine(engine_name)
        if engine_view:
            engine_view.apply_report(report, now)

    def apply_cache_events(
        self,
        engine_name: str,
        events: typing.Iterable[schema.endpoints.CacheEvent],
    ) -> None:
        """Applies cache events, which are in the order of their numbers."""
        engine_view = self.find_engine(engine_name)
        if engine_view:
            engine_view.cache.apply_events(events)

    def apply_drain(
        self,
        engine_name: str,
        drain_number: int,
        active: bool,
    ) -> None:
        """Applies a drain mark; the engine gets no work while it is active."""
        engine_view = self.find_engine(engine_name)
        if engine_view is None:
            early = self._early_drains.setdefault(engine_name, _engine.Drain())
            early.apply(drain_number, active=active)
            return
        engine_view.drain.apply(drain_number, active=active)

    def start_attempt(
        self,
        engine_name: str,
        work: _cost.WorkEstimate,
        now: float,
        part: _engine.Part = _engine.Part.WHOLE,
    ) -> _engine.Attempt:
        """Counts a dispatch at once, before a report includes it.

        :param engine_name: engine that was chosen from this view.
        :param work: the request's expected work.
        :param now: monotonic time in seconds.
        :param part: part of the request that runs there.
        :raises KeyError: where the view does not know the engine.
        """
        engine_view = self.find_engine(engine_name)
        if engine_view is None:
            raise KeyError(engine_name)
        return engine_view.start_attempt(work, now, part)

    def end_attempt(
        self,
        attempt: _engine.Attempt,
        now: float,
        ok: bool,
        first_token_s: float | None = None,
        tokens: int = 0,
    ) -> None:
        """Ends an attempt; a second call for it has no effect.

        :param attempt: result of :meth:`start_attempt`.
        :param now: monotonic time in seconds.
        :param ok: false if the endpoint failed or refused the attempt; one that
            the caller cancelled is no failure.
        :param first_token_s: time to the first token; None without one.
        :param tokens: delivered tokens.
        """
        engine_view = self.find_engine(attempt.engine_name)
        if engine_view:
            engine_view.end_attempt(
                attempt, now, ok=ok, first_token_s=first_token_s
            )

    def in_flight(self, engine_name: str) -> int:
        """Returns the attempts of this process that have not ended."""
        engine_view = self.find_engine(engine_name)
        return engine_view.in_flight if engine_view else 0

    def mark_failed(self, engine_name: str, now: float) -> None:
        """Excludes an engine until its next report or for a short time."""
        engine_view = self.find_engine(engine_name)
        if engine_view:
            engine_view.health.apply_failure(now)


def make_view(document: schema.fleet.Fleet, domain: str) -> View:
    """Makes the endpoint view of one failure domain.

    :param document: document in force.
    :param domain: name of the failure domain.

    >>> view = make_view(schema.fleet.Fleet(name='demo'), 'obb-a')
    >>> view.in_flight('obb-a-1')
    0
    """
    view = View(domain)
    view.apply_document(document)
    return view
