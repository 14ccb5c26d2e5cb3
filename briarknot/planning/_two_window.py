"""Role changes when the forecast gain exceeds the work lost."""

import itertools

import attrs

from briarknot import schema
from briarknot.planning import _planners, _pool, _snapshot

_Role = schema.fleet.Role

#: Weight of the short window in the forecast; the rest expects that demand
#: returns to where it was for minutes.
_SHORT_WEIGHT = 0.9
#: A change is considered only where demand times this factor can't be met. A
#: full engine shows little more demand than it serves.
_FULL_FACTOR = 1.03
#: Gains are computed with this factor on demand, for the same reason.
_HEADROOM = 1.1
#: The gain must exceed the work lost by this factor.
_GAIN_FACTOR = 1.5
#: Work lost by a change whatever the load, as a share of its duration: the
#: engine's prefix cache and its model's warm-up. A prior.
_FIXED_SHARE = 0.5
#: A change back to an engine's former role within this time must gain more
#: by the factor below.
_RETURN_S = 180.0
_RETURN_FACTOR = 2.0
#: Share of a pool's reports that must be recent.
_FRESH_SHARE = 0.8


@attrs.frozen(kw_only=True)
class _Option:
    """A change and its figures over the horizon, in engine seconds."""

    engine: _snapshot.EngineState
    target: schema.fleet.Role
    gain_s: float
    lost_s: float

    @property
    def margin_s(self) -> float:
        return self.gain_s - self.lost_s * _GAIN_FACTOR

    @property
    def relieved(self) -> schema.fleet.Role:
        """The kind of work that gets more engines."""
        if _Role.PREFILL in {self.engine.role, self.target}:
            gains = self.target == _Role.PREFILL
        else:
            gains = self.engine.role == _Role.DECODE
        return _Role.PREFILL if gains else _Role.DECODE

    def explain(self) -> str:
        return (
            f'{self.engine.name} from {self.engine.role.value} to '
            f'{self.target.value}: forecast gain {self.gain_s:.1f} engine s, '
            f'work lost {self.lost_s:.1f} engine s'
        )


@attrs.define(eq=False)
class _Waiting:
    """The kind of work that a change would relieve, and since when."""

    relieved: schema.fleet.Role
    since_s: float


@attrs.frozen
class _Former:
    role: schema.fleet.Role
    until_s: float


@attrs.define(eq=False)
class TwoWindow:
    """Proposes the change that gains most, if it pays for long enough."""

    _options: _planners.PlannerOptions
    _waiting: dict[tuple[str, str], _Waiting] = attrs.field(factory=dict)
    _settled_s: dict[str, float] = attrs.field(factory=dict)
    _former: dict[str, _Former] = attrs.field(factory=dict)

    def choose_change(
        self, snapshot: _snapshot.Snapshot, now: float
    ) -> _snapshot.RoleChange | _snapshot.NoChange:
        """Proposes a change, or says why there is none.

        :param snapshot: engines and demand as reported.
        :param now: monotonic time in seconds.
        """
        reasons = []
        for demand in snapshot.demands:
            answer = self._consider(snapshot, demand, now)
            if answer:
                return answer
            reasons.append(f'{demand.group}/{demand.model}: {answer.reason}')
        return _snapshot.NoChange(reason='; '.join(reasons) or 'no demand')

    def _consider(
        self,
        snapshot: _snapshot.Snapshot,
        demand: _snapshot.PoolDemand,
        now: float,
    ) -> _snapshot.RoleChange | _snapshot.NoChange:
        pool = (demand.group, demand.model)
        obstacle = self._find_obstacle(snapshot, demand, now)
        option = None
        if not obstacle:
            option = self._choose_option(snapshot, demand, now)
        if option is None:
            # The time for which a gain lasts counts without interruption.
            self._waiting.pop(pool, None)
            return _snapshot.NoChange(reason=obstacle or 'no change pays')
        waiting = self._waiting.get(pool)
        if waiting is None or waiting.relieved != option.relieved:
            waiting = _Waiting(option.relieved, now)
            self._waiting[pool] = waiting
        lasted_s = now - waiting.since_s
        if lasted_s < self._options.persist_s:
            return _snapshot.NoChange(
                reason=f'{option.explain()}; it has paid for {lasted_s:.1f} s'
            )
        return self._propose(option, demand, now)

    def _propose(
        self, option: _Option, demand: _snapshot.PoolDemand, now: float
    ) -> _snapshot.RoleChange:
        self._waiting.pop((demand.group, demand.model))
        self._settled_s[demand.group] = now + self._options.settle_s
        self._former[option.engine.name] = _Former(
            option.engine.role, now + _RETURN_S
        )
        return _snapshot.RoleChange(
            engine=option.engine.name,
            role=option.target,
            reason=(
                f'{option.explain()} over {self._options.horizon_s:.0f} s; '
                f'demand for prefill {demand.short.prefill:.2f} (long window '
                f'{demand.long.prefill:.2f}) and decode '
                f'{demand.short.decode:.2f} ({demand.long.decode:.2f}) '
                'engine s/s'
            ),
        )

    def _find_obstacle(
        self,
        snapshot: _snapshot.Snapshot,
        demand: _snapshot.PoolDemand,
        now: float,
    ) -> str:
        """Says why the group must not change now; empty where it may."""
        group = [one for one in snapshot.engines if one.group == demand.group]
        changing = [one.name for one in group if not one.is_settled]
        if changing:
            return f'{changing[0]} is changing'
        settled_s = self._settled_s.get(demand.group, now)
        if now < settled_s:
            return f'the last proposal settles for {settled_s - now:.0f} s'
        members = _list_members(snapshot, demand)
        fresh = sum(self._is_fresh(one) for one in members)
        if fresh < len(members) * _FRESH_SHARE:
            return f'{fresh} of {len(members)} reports are recent'
        return ''

    def _is_fresh(self, engine: _snapshot.EngineState) -> bool:
        recent = engine.report_age_s <= self._options.stale_s
        return recent and engine.report is not None

    def _choose_option(
        self,
        snapshot: _snapshot.Snapshot,
        demand: _snapshot.PoolDemand,
        now: float,
    ) -> _Option | None:
        members = _list_members(snapshot, demand)
        pool = _pool.count_pool(members)
        if not pool.count_unmet(_forecast(demand, _FULL_FACTOR)):
            return None
        forecast = _forecast(demand, _HEADROOM)
        fresh = sorted(
            (one for one in members if self._is_fresh(one)),
            key=lambda one: one.load,
        )
        options = [
            self._measure(engine, target, pool, forecast)
            for engine, target in itertools.product(fresh, _Role)
            if engine.role != target
        ]
        paying = [one for one in options if self._pays(one, now)]
        # The first one wins among equals: the least loaded engine, and mixed
        # before the other roles.
        return max(paying, key=lambda one: one.margin_s, default=None)

    def _measure(
        self,
        engine: _snapshot.EngineState,
        target: schema.fleet.Role,
        pool: _pool.Pool,
        forecast: _snapshot.Demand,
    ) -> _Option:
        unmet = pool.count_unmet(forecast)
        during = pool.move(engine.role, None).count_unmet(forecast)
        after = pool.move(engine.role, target).count_unmet(forecast)
        remaining_s = self._options.horizon_s - self._options.change_s
        return _Option(
            engine=engine,
            target=target,
            gain_s=(unmet - after) * remaining_s,
            lost_s=(during - unmet + _FIXED_SHARE) * self._options.change_s,
        )

    def _pays(self, option: _Option, now: float) -> bool:
        former = self._former.get(option.engine.name)
        factor = 1
        if former and former.role == option.target and now < former.until_s:
            factor = _RETURN_FACTOR
        return option.gain_s > option.lost_s * _GAIN_FACTOR * factor


def _list_members(
    snapshot: _snapshot.Snapshot, demand: _snapshot.PoolDemand
) -> list[_snapshot.EngineState]:
    return [
        one
        for one in snapshot.engines
        if (one.group, one.model) == (demand.group, demand.model)
    ]


def _forecast(demand: _snapshot.PoolDemand, factor: float) -> _snapshot.Demand:
    def blend(short: float, long: float) -> float:
        blended = short * _SHORT_WEIGHT + long * (1 - _SHORT_WEIGHT)
        return blended * factor

    return _snapshot.Demand(
        prefill=blend(demand.short.prefill, demand.long.prefill),
        decode=blend(demand.short.decode, demand.long.decode),
    )


@_planners.PLANNERS.register('two_window')
def make_two_window(options: _planners.PlannerOptions) -> _planners.Planner:
    """Makes the planner that weighs two windows of demand."""
    return TwoWindow(options)
