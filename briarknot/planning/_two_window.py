"""Planner that changes roles if the forecast gain exceeds the lost work."""

import itertools

import attrs

from briarknot import schema
from briarknot.planning import _planners, _pool, _snapshot

_Role = schema.fleet.Role

#: Weight of the short window in the forecast. The remaining weight of the long
#: window reflects that demand may return to its mean of the last minutes.
_SHORT_WEIGHT = 0.9
#: A change is considered only if the pool can't serve demand times this factor,
#: as a full engine reports little more demand than it serves.
_FULL_FACTOR = 1.03
#: Demand is multiplied by this factor to compute gains, for the same reason.
_HEADROOM = 1.1
#: The gain must exceed the lost work by this factor.
_GAIN_FACTOR = 1.5
#: Work that a change loses at any load, as a share of its duration: the engine
#: loses its prefix cache and the model warms up.
_FIXED_LOSS_SHARE = 0.5
#: Within this time, the gain of a change back to the former role of an engine
#: must be larger by the factor below, which avoids oscillation.
_RETURN_S = 180.0
_RETURN_FACTOR = 2.0
#: Share of a pool's reports that must be recent.
_MIN_FRESH_SHARE = 0.8


@attrs.frozen(kw_only=True)
class _Option:
    """Role change with its gain and lost work in engine seconds."""

    engine: _snapshot.EngineState
    target: schema.fleet.Role
    gain_s: float
    lost_s: float

    @property
    def margin_s(self) -> float:
        return self.gain_s - self.lost_s * _GAIN_FACTOR

    @property
    def relieved(self) -> schema.fleet.Role:
        """Kind of work that gains capacity: prefill or decode."""
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
class _PendingOption:
    """Kind of work that an option relieves, and since when it pays."""

    relieved: schema.fleet.Role
    since_s: float


@attrs.frozen
class _FormerRole:
    role: schema.fleet.Role
    until_s: float


@attrs.define(eq=False)
class TwoWindow:
    """Proposes the change with the largest gain once the gain persists."""

    _options: _planners.PlannerOptions
    _pending: dict[tuple[str, str], _PendingOption] = attrs.field(factory=dict)
    _settled_s: dict[str, float] = attrs.field(factory=dict)
    _former: dict[str, _FormerRole] = attrs.field(factory=dict)

    def choose_change(
        self, snapshot: _snapshot.Snapshot, now: float
    ) -> _snapshot.RoleChange | _snapshot.NoChange:
        """Returns a proposed change, or the reason why there is none.

        :param snapshot: engines and demand as reported.
        :param now: monotonic time in seconds.
        """
        reasons = []
        for demand in snapshot.demands:
            answer = self._evaluate_pool(snapshot, demand, now)
            if answer:
                return answer
            reasons.append(f'{demand.group}/{demand.model}: {answer.reason}')
        return _snapshot.NoChange(reason='; '.join(reasons) or 'no demand')

    def _evaluate_pool(
        self,
        snapshot: _snapshot.Snapshot,
        demand: _snapshot.PoolDemand,
        now: float,
    ) -> _snapshot.RoleChange | _snapshot.NoChange:
        pool = (demand.group, demand.model)
        obstacle = self._get_obstacle(snapshot, demand, now)
        option = None
        if not obstacle:
            option = self._choose_option(snapshot, demand, now)
        if option is None:
            # A gain must persist without interruption.
            self._pending.pop(pool, None)
            return _snapshot.NoChange(reason=obstacle or 'no change pays')
        pending = self._pending.get(pool)
        if pending is None or pending.relieved != option.relieved:
            pending = _PendingOption(option.relieved, now)
            self._pending[pool] = pending
        paid_s = now - pending.since_s
        if paid_s < self._options.persist_s:
            return _snapshot.NoChange(
                reason=f'{option.explain()}; it has paid for {paid_s:.1f} s'
            )
        return self._propose(option, demand, now)

    def _propose(
        self, option: _Option, demand: _snapshot.PoolDemand, now: float
    ) -> _snapshot.RoleChange:
        self._pending.pop((demand.group, demand.model))
        self._settled_s[demand.group] = now + self._options.settle_s
        self._former[option.engine.name] = _FormerRole(
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

    def _get_obstacle(
        self,
        snapshot: _snapshot.Snapshot,
        demand: _snapshot.PoolDemand,
        now: float,
    ) -> str:
        """Returns why the group must not change now; empty if it may."""
        group = [one for one in snapshot.engines if one.group == demand.group]
        changing = [one.name for one in group if not one.is_settled]
        if changing:
            return f'{changing[0]} is changing'
        settled_s = self._settled_s.get(demand.group, now)
        if now < settled_s:
            return f'the last proposal settles for {settled_s - now:.0f} s'
        members = _list_members(snapshot, demand)
        fresh = sum(self._is_fresh(one) for one in members)
        if fresh < len(members) * _MIN_FRESH_SHARE:
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
            self._estimate_option(engine, target, pool, forecast)
            for engine, target in itertools.product(fresh, _Role)
            if engine.role != target
        ]
        paying = [one for one in options if self._pays(one, now)]
        # Ties go to the first option: the least loaded engine, and the mixed
        # role before others.
        return max(paying, key=lambda one: one.margin_s, default=None)

    def _estimate_option(
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
            lost_s=(during - unmet + _FIXED_LOSS_SHARE)
            * self._options.change_s,
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
    """Makes the planner that forecasts demand from two windows."""
    return TwoWindow(options)
