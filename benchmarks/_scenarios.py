"""Load scenarios."""

import typing

import attrs

from benchmarks import _fleets, _work
from briarknot import registry
from briarknot_standins import fleet

CHECK = _work.Kind(
    name='check',
    rank='urgent',
    prompt_tokens=4000,
    shared_tokens=2000,
    documents=12,
    output_units=4,
)
LOOKUP = _work.Kind(
    name='lookup', rank='ordinary', prompt_tokens=200, output_units=15
)
SURVEY = _work.Kind(
    name='survey', rank='waiting', prompt_tokens=2500, output_units=15
)
#: Requests per second of each kind on 4 engines, together 60% of their
#: prefill and a fifth of their decode.
_BASE_RATES = ((CHECK, 16), (LOOKUP, 24), (SURVEY, 8))
_FLOOD_FACTOR = 10


@attrs.frozen(kw_only=True)
class Window:
    """A part of a scenario that is measured by itself.

    :param name: name of the part.
    :param start_s: start.
    :param end_s: end.
    """

    name: str
    start_s: float
    end_s: float

    @property
    def length_s(self) -> float:
        """Length."""
        return self.end_s - self.start_s


@attrs.frozen(kw_only=True)
class Event:
    """Something that happens to the fleet.

    :param at_s: time from the start of the scenario.
    :param kind: name in the registry of events.
    """

    at_s: float
    kind: str


@attrs.frozen(kw_only=True)
class Bound:
    """A stated target.

    :param check: name in the registry of checks.
    :param least: least figure that reaches the target.
    :param rank: rank that is measured; empty for all.
    :param window: window that is measured.
    """

    check: str
    least: float
    rank: str = ''
    window: str = 'all'


@attrs.frozen(kw_only=True)
class Scenario:
    """A scenario.

    :param plan: the fleet.
    :param flows: requests that arrive.
    :param windows: parts that are measured by themselves.
    :param events: what happens to the fleet.
    :param variants: variants that run side by side; the first is the product.
    :param bounds: targets of the first variant.
    """

    plan: fleet.FleetPlan
    flows: tuple[_work.Flow, ...]
    windows: tuple[Window, ...]
    events: tuple[Event, ...] = ()
    variants: tuple[str, ...] = ('product',)
    bounds: tuple[Bound, ...] = ()

    @property
    def duration_s(self) -> float:
        """Time of the last arrival."""
        return max(flow.end_s for flow in self.flows)

    @property
    def all_windows(self) -> tuple[Window, ...]:
        """The windows, and one for the whole scenario."""
        return (
            Window(name='all', start_s=0, end_s=self.duration_s),
            *self.windows,
        )


#: Factories of scenarios.
SCENARIOS: registry.Registry[typing.Callable[[], Scenario]] = registry.Registry(
    'scenario'
)


def _make_flood(
    plan: fleet.FleetPlan,
    kind: _work.Kind,
    bounds: tuple[Bound, ...],
    variants: tuple[str, ...] = ('product',),
) -> Scenario:
    """Makes a constant load with a tenfold flood of one kind."""
    start_s, end_s, duration_s = 4, 12, 15
    share = _fleets.count_engines(plan) / 4
    rates = {one: rate * share for one, rate in _BASE_RATES}
    flows = [
        _work.Flow(kind=one, rate=rate, start_s=0, end_s=duration_s)
        for one, rate in rates.items()
    ]
    flows.append(
        _work.Flow(
            kind=kind,
            rate=rates[kind] * (_FLOOD_FACTOR - 1),
            start_s=start_s,
            end_s=end_s,
            account='shop',
        )
    )
    return Scenario(
        plan=plan,
        flows=tuple(flows),
        windows=(Window(name='flood', start_s=start_s, end_s=end_s),),
        variants=variants,
        bounds=bounds,
    )


@SCENARIOS.register('flood_waiting')
def make_flood_waiting() -> Scenario:
    """Makes a tenfold flood of the least urgent work."""
    return _make_flood(
        _fleets.make_sprossenwerk(),
        SURVEY,
        (
            Bound(check='in_target', least=0.99, rank='urgent', window='flood'),
            Bound(check='floor', least=0.9, rank='ordinary', window='flood'),
        ),
        ('product', 'fifo', 'least_loaded', 'round_robin'),
    )


@SCENARIOS.register('flood_urgent')
def make_flood_urgent() -> Scenario:
    """Makes a tenfold flood of the most urgent work."""
    return _make_flood(
        _fleets.make_sprossenwerk(),
        CHECK,
        (
            Bound(check='floor', least=0.9, rank='ordinary', window='flood'),
            Bound(check='floor', least=0.9, rank='waiting', window='flood'),
        ),
        ('product', 'fifo'),
    )
