"""Duties of the process that holds the lease."""

import asyncio
import time

import attrs

from briarknot import authority, config, planning, schema, telemetry
from briarknot.control import _decisions, _engine

_DOCUMENT_PERIOD_S = 0.25
_FALLBACK_PLANNER = 'static'


@attrs.define(eq=False)
class _Member:
    """An engine and its two tasks."""

    work: _engine.EngineTask
    feed: asyncio.Task[None]
    orders: asyncio.Task[None]

    def cancel(self) -> None:
        """Ends both tasks; the row says how far the engine is."""
        self.feed.cancel()
        self.orders.cancel()


@attrs.define(eq=False)
class Leader:
    """Runs the engines' tasks and the planner during one lease."""

    _tools: _engine.Tools
    _follower: config.Follower
    _domain: str
    _members: dict[str, _Member] = attrs.field(factory=dict, init=False)
    _rows: dict[str, authority.VersionedOrder] = attrs.field(
        factory=dict, init=False
    )
    _turns: dict[str, asyncio.Lock] = attrs.field(factory=dict, init=False)
    _demand: planning.DemandTracker = attrs.field(
        factory=planning.make_demand_tracker, init=False
    )

    async def run(self) -> None:
        """Controls the engines until the process stops.

        Rows are read once an order of an earlier holder can't arrive any
        more; each engine's task then ends what it finds.
        """
        await asyncio.sleep(max(0, self._tools.lease.quiet_s))
        self._rows = await self._tools.orders.scan()
        self._tools.entries.start_lease(self._tools.lease.epoch)
        telemetry.log_change('rows', 'read', count=len(self._rows))
        try:
            async with asyncio.TaskGroup() as group:
                planner = group.create_task(self._plan(), name='planner')
                await self._follow_document(group)
                await self._wait_orders()
                planner.cancel()
                for member in self._members.values():
                    member.cancel()
        finally:
            self._members.clear()

    async def _follow_document(self, group: asyncio.TaskGroup) -> None:
        """Starts and ends tasks as the document says, until it closes."""
        while not self._tools.closing.is_set():
            wanted = self._read_engines()
            for name, member in tuple(self._members.items()):
                if not _is_same_task(member.work.engine, wanted.get(name)):
                    self._members.pop(name).cancel()
            models = self._read_models()
            # What is under way has the first turn in its group.
            for engine in sorted(wanted.values(), key=self._is_settled):
                model = models.get(engine.model, engine.model)
                if engine.name in self._members:
                    work = self._members[engine.name].work
                    work.set_document(engine, model)
                else:
                    await self._add(group, engine, model)
            await asyncio.sleep(_DOCUMENT_PERIOD_S)

    async def _add(
        self,
        group: asyncio.TaskGroup,
        engine: schema.fleet.Engine,
        model: str,
    ) -> None:
        held = self._rows.pop(engine.name, None)
        if held is None:
            held = await self._tools.orders.read(engine.name)
        turn = self._turns.setdefault(engine.group, asyncio.Lock())
        work = _engine.make_engine_task(engine, model, self._tools, held, turn)
        self._members[engine.name] = _Member(
            work,
            group.create_task(work.feed.run(), name=f'feed {engine.name}'),
            group.create_task(work.run(), name=f'orders {engine.name}'),
        )

    def _is_settled(self, engine: schema.fleet.Engine) -> bool:
        held = self._rows.get(engine.name)
        return held is None or held.row.phase not in _decisions.ACTIVE

    async def _wait_orders(self) -> None:
        """Waits until no engine has an order that is under way."""
        orders = [member.orders for member in self._members.values()]
        await asyncio.gather(*orders, return_exceptions=True)

    async def _plan(self) -> None:
        """Asks the planner once a period."""
        chosen: schema.fleet.Policies | None = None
        while True:
            policies = self._follower.in_force.fleet.policies
            await asyncio.sleep(policies.planner_interval_s)
            if policies != chosen:
                chosen = policies
                planner = _make_planner(policies)
                self._demand = planning.make_demand_tracker(
                    policies.planner_times.short_window_s,
                    policies.planner_times.long_window_s,
                )
            snapshot = self._make_snapshot(time.monotonic())
            change = planner.choose_change(snapshot, time.monotonic())
            if isinstance(change, planning.RoleChange):
                member = self._members.get(change.engine)
                if member:
                    member.work.plan_role(change.role, change.reason)

    def _make_snapshot(self, now_s: float) -> planning.Snapshot:
        streams = {
            model.name: model.max_streams
            for model in self._follower.in_force.fleet.models
        }
        states = []
        for member in self._members.values():
            engine, feed = member.work.engine, member.work.feed
            if engine.leaving or feed.report is None:
                self._demand.remove_engine(engine.name)
                continue
            age_s = now_s - feed.as_of_s
            self._demand.apply_report(
                engine,
                streams.get(engine.model, 1),
                attrs.evolve(feed.report, as_of_age_s=age_s),
                now_s,
            )
            states.append(_make_state(member.work, feed.report, age_s))
        return planning.Snapshot(
            engines=tuple(states), demands=self._demand.compute_demands()
        )

    def _read_engines(self) -> dict[str, schema.fleet.Engine]:
        return {
            engine.name: engine
            for engine in self._follower.in_force.fleet.engines
            if engine.domain == self._domain
        }

    def _read_models(self) -> dict[str, str]:
        return {
            model.name: f'{model.name}@{model.version}'
            for model in self._follower.in_force.fleet.models
        }


def _make_planner(policies: schema.fleet.Policies) -> planning.Planner:
    times = policies.planner_times
    options = planning.PlannerOptions(
        horizon_s=times.horizon_s,
        change_s=times.change_s,
        persist_s=times.persist_s,
        settle_s=times.settle_s,
    )
    planner = planning.make_planner(policies.planner, options)
    if not planner:
        telemetry.log_change('planner', 'unknown', name=policies.planner)
        planner = planning.make_planner(_FALLBACK_PLANNER, options)
    return planner


def _make_state(
    work: _engine.EngineTask,
    report: schema.endpoints.LoadReport,
    age_s: float,
) -> planning.EngineState:
    return planning.EngineState(
        name=work.engine.name,
        group=work.engine.group,
        model=work.engine.model,
        role=report.role,
        declared_role=work.engine.role,
        phase=report.phase,
        report=report,
        report_age_s=age_s,
        is_pending=work.is_pending,
    )


def _is_same_task(
    engine: schema.fleet.Engine, wanted: schema.fleet.Engine | None
) -> bool:
    """Tells whether the tasks of an engine can go on with a new document."""
    if wanted is None:
        return False
    return (engine.url, engine.group) == (wanted.url, wanted.group)


def make_leader(
    tools: _engine.Tools, follower: config.Follower, domain: str
) -> Leader:
    """Makes the duties of one lease.

    :param tools: what the tasks of all engines share.
    :param follower: the document in force.
    :param domain: failure domain.
    """
    return Leader(tools, follower, domain)
