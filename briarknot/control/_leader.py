"""Tasks of the process that holds the lease."""

import asyncio
import time

import attrs

from briarknot import authority, config, planning, schema, telemetry
from briarknot.control import _decisions, _engine_controller

_DOCUMENT_PERIOD_S = 0.25
_FALLBACK_PLANNER = 'static'


@attrs.define(eq=False)
class _EngineTasks:
    """Controller of an engine, and its two tasks."""

    controller: _engine_controller.EngineController
    polling: asyncio.Task[None]
    orders: asyncio.Task[None]

    def cancel(self) -> None:
        """Cancels both tasks; the row keeps the progress of the order."""
        self.polling.cancel()
        self.orders.cancel()


@attrs.define(eq=False)
class Leader:
    """Runs the engine controllers and the planner during one lease."""

    _context: _engine_controller.LeaderContext
    _follower: config.Follower
    _domain: str
    _engines: dict[str, _EngineTasks] = attrs.field(factory=dict, init=False)
    _rows: dict[str, authority.VersionedOrder] = attrs.field(
        factory=dict, init=False
    )
    _group_locks: dict[str, asyncio.Lock] = attrs.field(
        factory=dict, init=False
    )
    _demand: planning.DemandTracker = attrs.field(
        factory=planning.make_demand_tracker, init=False
    )

    async def run(self) -> None:
        """Controls the engines until the process stops.

        Rows are read once no order of an earlier holder can arrive any more.
        The controller of each engine then completes the order of its row.
        """
        await asyncio.sleep(max(0, self._context.lease.quiet_remaining_s))
        self._rows = await self._context.orders.scan()
        self._context.entries.start_lease(self._context.lease.epoch)
        telemetry.log_change('rows', 'read', count=len(self._rows))
        try:
            async with asyncio.TaskGroup() as group:
                planner = group.create_task(self._plan(), name='planner')
                await self._sync_engines(group)
                await self._wait_orders()
                planner.cancel()
                for tasks in self._engines.values():
                    tasks.cancel()
        finally:
            self._engines.clear()

    async def _sync_engines(self, group: asyncio.TaskGroup) -> None:
        """Starts and cancels tasks to match the document, until closing."""
        while not self._context.closing.is_set():
            wanted = self._get_engines()
            for name, tasks in tuple(self._engines.items()):
                if not _is_same_controller(
                    tasks.controller.engine, wanted.get(name)
                ):
                    self._engines.pop(name).cancel()
            models = self._get_models()
            # Engines with an active order are first to acquire the lock of
            # their group.
            for engine in sorted(wanted.values(), key=self._is_settled):
                model = models.get(engine.model, engine.model)
                if engine.name in self._engines:
                    controller = self._engines[engine.name].controller
                    controller.set_document(engine, model)
                else:
                    await self._add(group, engine, model)
            await asyncio.sleep(_DOCUMENT_PERIOD_S)

    async def _add(
        self,
        group: asyncio.TaskGroup,
        engine: schema.fleet.Engine,
        model: str,
    ) -> None:
        stored = self._rows.pop(engine.name, None)
        if stored is None:
            stored = await self._context.orders.read(engine.name)
        group_lock = self._group_locks.setdefault(engine.group, asyncio.Lock())
        controller = _engine_controller.make_engine_controller(
            engine, model, self._context, stored, group_lock
        )
        self._engines[engine.name] = _EngineTasks(
            controller,
            group.create_task(
                controller.load_poller.run(), name=f'load poller {engine.name}'
            ),
            group.create_task(controller.run(), name=f'orders {engine.name}'),
        )

    def _is_settled(self, engine: schema.fleet.Engine) -> bool:
        stored = self._rows.get(engine.name)
        return stored is None or stored.row.phase not in _decisions.ACTIVE

    async def _wait_orders(self) -> None:
        """Waits until no engine has an active order."""
        orders = [tasks.orders for tasks in self._engines.values()]
        await asyncio.gather(*orders, return_exceptions=True)

    async def _plan(self) -> None:
        """Runs the planner once per period."""
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
                tasks = self._engines.get(change.engine)
                if tasks:
                    tasks.controller.plan_role(change.role, change.reason)

    def _make_snapshot(self, now_s: float) -> planning.Snapshot:
        streams = {
            model.name: model.max_streams
            for model in self._follower.in_force.fleet.models
        }
        states = []
        for tasks in self._engines.values():
            engine, load_poller = (
                tasks.controller.engine,
                tasks.controller.load_poller,
            )
            if engine.leaving or load_poller.report is None:
                self._demand.remove_engine(engine.name)
                continue
            age_s = now_s - load_poller.as_of_s
            self._demand.apply_report(
                engine,
                streams.get(engine.model, 1),
                attrs.evolve(load_poller.report, as_of_age_s=age_s),
                now_s,
            )
            states.append(
                _make_state(tasks.controller, load_poller.report, age_s)
            )
        return planning.Snapshot(
            engines=tuple(states), demands=self._demand.compute_demands()
        )

    def _get_engines(self) -> dict[str, schema.fleet.Engine]:
        return {
            engine.name: engine
            for engine in self._follower.in_force.fleet.engines
            if engine.domain == self._domain
        }

    def _get_models(self) -> dict[str, str]:
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
    controller: _engine_controller.EngineController,
    report: schema.endpoints.LoadReport,
    age_s: float,
) -> planning.EngineState:
    return planning.EngineState(
        name=controller.engine.name,
        group=controller.engine.group,
        model=controller.engine.model,
        role=report.role,
        declared_role=controller.engine.role,
        phase=report.phase,
        report=report,
        report_age_s=age_s,
        is_pending=controller.is_pending,
    )


def _is_same_controller(
    engine: schema.fleet.Engine, wanted: schema.fleet.Engine | None
) -> bool:
    """Returns whether the controller can go on with the new document."""
    if wanted is None:
        return False
    return (engine.url, engine.group) == (wanted.url, wanted.group)


def make_leader(
    context: _engine_controller.LeaderContext,
    follower: config.Follower,
    domain: str,
) -> Leader:
    """Makes the leader for one lease.

    :param context: objects that the controllers of all engines share.
    :param follower: the document in force.
    :param domain: failure domain.
    """
    return Leader(context, follower, domain)
