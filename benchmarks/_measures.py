"""Figures of a run."""

import collections
import math

import attrs

from benchmarks import _fleets, _run, _scenarios
from briarknot import schema


@attrs.frozen(kw_only=True)
class RankFigures:
    """Service of one rank in one window.

    :param rank: name of the rank.
    :param offered: requests that arrived.
    :param whole: requests with a complete answer.
    :param in_target: requests with a complete answer within the targets.
    :param refused: requests that were refused as not run.
    :param failed: all other requests.
    :param first_token_s: 95th percentile, over complete answers, of the time
        to the first token.
    :param interval_s: 95th percentile, over complete answers, of the mean time
        between units.
    :param floor: served work relative to the floor, or to the offered work
        where that is less.
    """

    rank: str
    offered: int
    whole: int
    in_target: int
    refused: int
    failed: int
    first_token_s: float
    interval_s: float
    floor: float

    @property
    def share(self) -> float:
        """Share of the offered requests within the targets."""
        return self.in_target / max(1, self.offered)


@attrs.frozen(kw_only=True)
class WindowFigures:
    """Service in one window.

    :param window: name of the window.
    :param goodput: worth of requests within their targets, per second.
    :param offered: worth of all requests, per second.
    :param ranks: service by rank.
    :param length_s: length of the window.
    :param limit_use: work admitted for the accounts with a limit, relative to
        the limit; 0 without one.
    """

    window: str
    goodput: float
    offered: float
    ranks: tuple[RankFigures, ...]
    length_s: float
    limit_use: float

    def get_rank(self, name: str) -> RankFigures:
        """Returns the service of a rank."""
        return next(one for one in self.ranks if one.rank == name)


@attrs.frozen(kw_only=True)
class Figures:
    """Figures of one run.

    :param scenario: name of the scenario.
    :param variant: name of the variant.
    :param seed: seed of the arrivals.
    :param windows: figures by window, the whole scenario first.
    :param causes: refused and failed requests by cause.
    :param role_changes: role changes that engines carried out.
    :param retries: engine runs beyond the first one of each request.
    :param client_cpu: share of a core that the client used.
    :param late_send_s: 99th percentile of the delay of sending.
    :param wall_s: wall time of the run.
    :param is_disturbed: whether the machine was too busy for valid figures.
    """

    scenario: str
    variant: str
    seed: int
    windows: tuple[WindowFigures, ...]
    causes: dict[str, int]
    role_changes: int
    retries: int
    client_cpu: float
    late_send_s: float
    wall_s: float
    is_disturbed: bool

    def get_window(self, name: str) -> WindowFigures:
        """Returns the figures of a window."""
        return next(one for one in self.windows if one.window == name)


def measure_run(run: _run.Run) -> Figures:
    """Computes the figures of a run.

    :param run: the run.
    """
    causes = collections.Counter(
        sample.cause for sample in run.samples if not sample.is_complete
    )
    return Figures(
        scenario=run.name,
        variant=run.variant,
        seed=run.seed,
        windows=tuple(
            _compute_window(run, window) for window in run.scenario.all_windows
        ),
        causes=dict(causes.most_common()),
        role_changes=run.role_changes,
        retries=run.retries,
        client_cpu=run.client_cpu,
        late_send_s=run.late_send_s,
        wall_s=run.wall_s,
        is_disturbed=run.is_disturbed,
    )


def _compute_window(run: _run.Run, window: _scenarios.Window) -> WindowFigures:
    inside = [
        sample
        for sample in run.samples
        if window.start_s <= sample.arrival.at_s < window.end_s
    ]
    engines = _fleets.count_engines(run.scenario.plan)
    ranks = tuple(
        _compute_rank(rank, inside, engines * window.length_s)
        for rank in run.plan.ranks
    )
    worths = {rank.name: rank.worth for rank in run.plan.ranks}
    return WindowFigures(
        window=window.name,
        goodput=_sum_worth(worths, ranks, 'in_target') / window.length_s,
        offered=_sum_worth(worths, ranks, 'offered') / window.length_s,
        ranks=ranks,
        length_s=window.length_s,
        limit_use=_compute_limit_use(run, inside, window.length_s),
    )


def _compute_limit_use(
    run: _run.Run, samples: list[_run.Sample], length_s: float
) -> float:
    limits = run.plan.limits
    admitted = [
        one
        for one in samples
        if one.arrival.flow.account in limits and one.cause != 'fleet_limit'
    ]
    allowed = math.fsum(limits.values()) * length_s
    return _sum_work(admitted) / allowed if allowed else 0


def _sum_worth(
    worths: dict[str, float], ranks: tuple[RankFigures, ...], field: str
) -> float:
    return math.fsum(worths[one.rank] * getattr(one, field) for one in ranks)


def _compute_rank(
    rank: schema.fleet.Rank, samples: list[_run.Sample], capacity_s: float
) -> RankFigures:
    of_rank = [
        one for one in samples if one.arrival.flow.kind.rank == rank.name
    ]
    complete = [one for one in of_rank if one.is_complete]
    refused = sum(one.outcome == 'not run' for one in of_rank)
    floor_work_s = min(_sum_work(of_rank), rank.floor_share * capacity_s)
    return RankFigures(
        rank=rank.name,
        offered=len(of_rank),
        whole=len(complete),
        in_target=sum(one.is_in_target(rank) for one in complete),
        refused=refused,
        failed=len(of_rank) - len(complete) - refused,
        first_token_s=compute_quantile([one.first_token_s for one in complete]),
        interval_s=compute_quantile([one.interval_s for one in complete]),
        floor=_sum_work(complete) / floor_work_s if floor_work_s else 1,
    )


def _sum_work(samples: list[_run.Sample]) -> float:
    return math.fsum(
        _fleets.SPEEDS.count_work(one.arrival.flow.kind) for one in samples
    )


def compute_quantile(figures: list[float], share: float = 0.95) -> float:
    """Returns the figure below which a share of the figures lies.

    :param figures: the figures.
    :param share: the share.

    >>> compute_quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not figures:
        return 0
    ordered = sorted(figures)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
