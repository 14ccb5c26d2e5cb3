"""Routing of a request to an engine by a registered policy."""

import collections
import random
import typing

import attrs

from briarknot import registry, schema, sentinels
from briarknot.routing import _cost, _engine, _scores, _view

#: Candidates whose score is within this share and time of the best count as
#: equal: the estimates are no more exact, and several entry processes that see
#: the same reports must not all choose the same engine.
_NEAR_SHARE = 0.1
_NEAR_S = 0.005
_MIN_RETRY_S = 0.2
_NO_NAMES: frozenset[str] = frozenset()

Selector = typing.Callable[[list[_scores.Score], random.Random], _scores.Score]

#: Factories of selectors, which choose one of several scored candidates.
ROUTERS: registry.Registry[typing.Callable[[], Selector]] = registry.Registry(
    'router'
)


@attrs.frozen(kw_only=True)
class Choice:
    """An engine for a request.

    :param engine: engine that decodes, and prefills unless there is a pair.
    :param prefill_engine: engine that prefills and transfers its KV cache to
        ``engine``; None where ``engine`` does both.
    :param reason: sentence with the figures, for the journal.
    :param expected_first_token_s: expected time to the first token.
    :param cached_tokens: prompt tokens expected in the prefix cache.
    """

    engine: schema.fleet.Engine
    prefill_engine: schema.fleet.Engine | None
    reason: str
    expected_first_token_s: float
    cached_tokens: int = 0


@attrs.frozen(kw_only=True)
class NoEndpoint(sentinels.Sentinel):
    """Sentinel for a request that no engine can take.

    :param cause: always ``no_endpoint``.
    :param reason: sentence with the figures, for the journal.
    :param retry_after_s: time after which an engine may take work again.
    """

    cause: str = 'no_endpoint'
    reason: str
    retry_after_s: float = _MIN_RETRY_S


@attrs.define(eq=False)
class Router:
    """Chooses engines by one policy."""

    _policy_name: str
    _select: Selector
    _random: random.Random

    @property
    def policy_name(self) -> str:
        """Name of the policy in the registry."""
        return self._policy_name

    def choose_engine(
        self,
        view: _view.View,
        work: _cost.WorkEstimate,
        now: float,
        exclude: frozenset[str] = _NO_NAMES,
    ) -> Choice | NoEndpoint:
        """Chooses an engine, or a pair of engines, for a request.

        :param view: endpoint view of the failure domain.
        :param work: the request's expected work.
        :param now: monotonic time in seconds.
        :param exclude: names of engines that must not be chosen.
        """
        serving = [one for one in view.engines if one.model_name == work.model]
        fit = tuple(
            one
            for one in serving
            if one.engine.name not in exclude and not one.explain_unfit(now)
        )
        candidates = _scores.list_candidates(fit, work, now)
        if not candidates:
            return _explain_none(view, serving, work, now, exclude)
        scores = [
            _scores.score_candidate(candidate, work, now)
            for candidate in candidates
        ]
        chosen = self._select(scores, self._random)
        prefiller = chosen.candidate.prefiller
        return Choice(
            engine=chosen.candidate.decoder.engine,
            prefill_engine=prefiller.engine if prefiller else None,
            reason=_explain(self._policy_name, chosen, scores),
            expected_first_token_s=chosen.first_token_s,
            cached_tokens=chosen.cached_tokens,
        )


@ROUTERS.register('least_work')
def make_least_work() -> Selector:
    """Makes a selector of a random candidate near the lowest score."""

    def select(
        scores: list[_scores.Score], generator: random.Random
    ) -> _scores.Score:
        best = min(score.total_s for score in scores)
        bound = best * (1 + _NEAR_SHARE) + _NEAR_S
        return generator.choice(
            [score for score in scores if score.total_s <= bound]
        )

    return select


@ROUTERS.register('round_robin')
def make_round_robin() -> Selector:
    """Makes a selector of the least recently used candidate."""
    last_used: dict[str, int] = {}
    selections = 0

    def select(
        scores: list[_scores.Score], _generator: random.Random
    ) -> _scores.Score:
        nonlocal selections
        selections += 1
        chosen = min(
            scores, key=lambda score: last_used.get(score.candidate.names, 0)
        )
        last_used[chosen.candidate.names] = selections
        return chosen

    return select


@ROUTERS.register('least_loaded')
def make_least_loaded() -> Selector:
    """Makes a selector of the fewest attempts of this process."""

    def select(
        scores: list[_scores.Score], generator: random.Random
    ) -> _scores.Score:
        least = min(_count_in_flight(score) for score in scores)
        return generator.choice(
            [score for score in scores if _count_in_flight(score) == least]
        )

    return select


@ROUTERS.register('random')
def make_random() -> Selector:
    """Makes a selector of a uniformly random candidate."""

    def select(
        scores: list[_scores.Score], generator: random.Random
    ) -> _scores.Score:
        return generator.choice(scores)

    return select


def make_router(policy_name: str, seed: int) -> Router | registry.UnknownName:
    """Makes a router.

    :param policy_name: name in :data:`ROUTERS`.
    :param seed: seed of the choice among equally good engines.
    :returns: the router, or a sentinel where the name is unknown.

    >>> make_router('least_work', 7).policy_name
    'least_work'
    """
    factory = ROUTERS.get(policy_name)
    if isinstance(factory, registry.UnknownName):
        return factory
    return Router(policy_name, factory(), random.Random(seed))


def _count_in_flight(score: _scores.Score) -> int:
    prefiller = score.candidate.prefiller
    count = score.candidate.decoder.in_flight
    return count + prefiller.in_flight if prefiller else count


def _explain(
    policy_name: str, chosen: _scores.Score, scores: list[_scores.Score]
) -> str:
    best = min(score.total_s for score in scores)
    return (
        f'{policy_name} chose {chosen.candidate.names} of {len(scores)} '
        f'candidates: score {chosen.total_s:.3f} s, best {best:.3f} s; '
        f'queue {chosen.queue_s:.3f} s, prefill {chosen.prefill_s:.3f} s with '
        f'{chosen.cached_tokens} tokens cached, hand-over '
        f'{chosen.kv_transfer_s:.3f} s, interference '
        f'{chosen.interference_s:.3f} s, penalty factor {chosen.penalty:.1f}'
    )


def _explain_none(
    view: _view.View,
    serving: list[_engine.EngineView],
    work: _cost.WorkEstimate,
    now: float,
    exclude: frozenset[str],
) -> NoEndpoint:
    states = collections.Counter(
        _describe_state(one, exclude, now) for one in serving
    )
    listed = ', '.join(f'{count} {state}' for state, count in states.items())
    waits = [
        one.health.excluded_until_s - now
        for one in serving
        if one.health.is_excluded(now)
    ]
    return NoEndpoint(
        reason=(
            f'no engine in {view.domain} takes work for model {work.model}: '
            f'{len(serving)} serve it ({listed or "none"})'
        ),
        retry_after_s=max(_MIN_RETRY_S, min(waits, default=1.0)),
    )


def _describe_state(
    one: _engine.EngineView, exclude: frozenset[str], now: float
) -> str:
    if one.engine.name in exclude:
        return 'excluded'
    # A fit engine is counted here when no engine of the other role is fit.
    return one.explain_unfit(now) or f'without counterpart as {one.role.value}'
