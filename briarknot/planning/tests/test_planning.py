"""Tests of role planning, mainly against changes that lose more than gain."""

import math
import random

import attrs
import pytest

from briarknot import planning, schema

_Role = schema.fleet.Role
_REPORT = schema.endpoints.LoadReport()
_STEP_S = 1
_CHANGE_S = 8


class _Fleet:
    """Simulates engines that execute each proposal, and noisy demand."""

    def __init__(self, policy, **counts):
        self.planner = planning.make_planner(policy)
        self.now = 0
        self.changes = []
        self.engines = [
            planning.EngineState(
                name=f'{role}-{index}',
                role=_Role(role),
                declared_role=_Role(role),
                report=_REPORT,
            )
            for role, count in counts.items()
            for index in range(count)
        ]
        self._means = None
        self._changing = None
        self._noise = random.Random(5)

    def run(self, duration_s, prefill, decode, noise=0):
        """Runs the planner each second and returns its last decision."""
        answer = None
        for _ in range(round(duration_s / _STEP_S)):
            self.now += _STEP_S
            self._finish_change()
            demand = self._measure(prefill, decode, noise)
            snapshot = planning.Snapshot(
                engines=tuple(self.engines), demands=(demand,)
            )
            answer = self.planner.choose_change(snapshot, self.now)
            if answer:
                self.changes.append(answer)
                self._set(answer.engine, is_pending=True)
                self._changing = (answer, self.now + _CHANGE_S)
        return answer

    def age_reports(self, age_s):
        """Sets the age of all reports."""
        for engine in list(self.engines):
            self._set(engine.name, report_age_s=age_s)

    def count(self, role):
        """Returns the number of engines with a role."""
        return sum(engine.role == role for engine in self.engines)

    def _finish_change(self):
        if self._changing and self.now >= self._changing[1]:
            change = self._changing[0]
            self._set(change.engine, role=change.role, is_pending=False)
            self._changing = None

    def _set(self, name, **changes):
        self.engines = [
            attrs.evolve(one, **changes) if one.name == name else one
            for one in self.engines
        ]

    def _measure(self, prefill, decode, noise):
        current = [
            kind * (1 + self._noise.uniform(-noise, noise))
            for kind in (prefill, decode)
        ]
        if self._means is None:
            self._means = [list(current), list(current)]
        for means, window_s in zip(self._means, (8, 120), strict=True):
            kept = math.exp(-_STEP_S / window_s)
            for index, sample in enumerate(current):
                means[index] = means[index] * kept + sample * (1 - kept)
        return planning.PoolDemand(
            short=planning.Demand(*self._means[0]),
            long=planning.Demand(*self._means[1]),
        )


def test_shift_changes_one_engine_within_half_a_minute():
    """A late or repeated reaction to a shift of demand loses goodput."""
    fleet = _Fleet('two_window', prefill=4, decode=4, mixed=2)
    fleet.run(300, 4, 3.5, noise=0.1)
    assert not fleet.changes
    fleet.run(38, 2, 6.2, noise=0.1)
    assert fleet.count(_Role.DECODE) + fleet.count(_Role.MIXED) == 7
    assert 'forecast gain' in fleet.changes[0].reason
    fleet.run(600, 2, 6.2, noise=0.1)
    assert len(fleet.changes) == 1


@pytest.mark.parametrize('noise', [0.3, 0.6])
def test_noise_changes_nothing(noise):
    """A change because of noise makes an engine unavailable without a gain."""
    fleet = _Fleet('two_window', prefill=4, decode=4, mixed=2)
    fleet.run(3600, 4.2, 4.2, noise=noise)
    assert not fleet.changes


def test_short_peaks_do_not_move_roles_back_and_forth():
    """A peak of seconds ends before a change takes effect."""
    fleet = _Fleet('two_window', prefill=4, decode=4, mixed=2)
    for _ in range(30):
        fleet.run(8, 6.5, 2)
        fleet.run(8, 2, 6.5)
    assert len(fleet.changes) <= 1


def test_stale_reports_change_nothing():
    """Stale reports show constant demand, which must not cause a change."""
    fleet = _Fleet('two_window', prefill=4, decode=4)
    fleet.age_reports(30)
    answer = fleet.run(60, 1, 6)
    assert not answer and 'reports are recent' in answer.reason


def test_group_changes_one_engine_at_a_time():
    """Two simultaneous changes reduce the capacity of a group too much."""
    fleet = _Fleet('two_window', prefill=6, decode=2)
    fleet.engines[0] = attrs.evolve(
        fleet.engines[0], phase=schema.endpoints.EnginePhase.CHANGING
    )
    answer = fleet.run(60, 1, 6)
    assert not answer and 'is changing' in answer.reason


def test_last_engine_of_a_kind_stays():
    """Without prefill capacity the pool serves no requests."""
    fleet = _Fleet('two_window', prefill=1, decode=3)
    fleet.run(900, 0.1, 9)
    assert fleet.count(_Role.PREFILL) + fleet.count(_Role.MIXED) >= 1
    assert len(fleet.changes) <= 1


def test_static_restores_declared_roles_and_nothing_else():
    """The baseline must not react to demand."""
    fleet = _Fleet('static', prefill=2, decode=2)
    fleet.run(60, 9, 0)
    assert not fleet.changes
    fleet.engines[0] = attrs.evolve(fleet.engines[0], role=_Role.MIXED)
    fleet.run(60, 9, 0)
    assert [change.role for change in fleet.changes] == [_Role.PREFILL]


def test_demand_comes_from_new_reports_only():
    """A report that is read twice must count once."""
    tracker = planning.make_demand_tracker()
    engine = schema.fleet.Engine(name='e1', model='m')
    busy = schema.endpoints.LoadReport(
        running=4, active_decode_streams=3, model='m@2', as_of_age_s=1
    )
    tracker.apply_report(engine, 4, busy, 1)
    idle = attrs.evolve(busy, running=0, active_decode_streams=0)
    tracker.apply_report(engine, 4, attrs.evolve(idle, as_of_age_s=9), 9)
    assert tracker.compute_demands()[0].short == planning.Demand(1, 0.75)
    tracker.apply_report(engine, 4, attrs.evolve(idle, as_of_age_s=0), 9)
    demand = tracker.compute_demands()[0]
    assert demand.model == 'm'
    faded = [demand.short.decode, demand.long.decode, 0.75]
    assert faded == sorted(set(faded))
