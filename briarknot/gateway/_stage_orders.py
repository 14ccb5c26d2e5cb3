"""Changes the stages of engines as the planner proposes.

Only the leader among the store readers gives orders, and only while a grant of
the store is valid, so that two processes never alternate.
"""

import asyncio
import time

import attrs

from briarknot import authority, planning, platform, schema, telemetry
from briarknot.gateway import _clock, _context, _peers, _store_readers

_Stage = schema.serving.Stage
_POLICY = 'queue_pressure'
_PERIOD_S = 0.25
#: Period of checking whether this process is the leader; each wake-up costs.
_IDLE_PERIOD_S = 1.0
#: A pause of this process after which its view of the load is outdated.
_MAX_PERIOD_S = 1.0
#: Time from the word that engines change to their orders, so that the other
#: processes send them no more requests. It exceeds the latency between regions.
_NOTICE_S = 0.15
#: Period of repeating which engines change.
_REPEAT_S = 0.5
#: Longest time of a change after the time that the manifest states for it:
#: running work ends first.
_MAX_DRAIN_S = 8.0


@attrs.define(eq=False)
class StageOrders:
    """Plans stages and gives the orders while this process is the leader."""

    _context: _context.Context
    _client: platform.Client
    _orders: platform.EngineOrders
    _peers: _peers.Peers
    _planners: dict[str, planning.StagePlanner] = attrs.field(factory=dict)
    _changing: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Plans and changes stages until it is cancelled."""
        planned_s = float('-inf')
        is_leader = False
        while True:
            await asyncio.sleep(_PERIOD_S if is_leader else _IDLE_PERIOD_S)
            now = _clock.read_clock()
            is_current = now - planned_s < _MAX_PERIOD_S
            planned_s = now
            is_leader = _store_readers.get_reader_rank(self._context) == 0
            if not is_current or not is_leader:
                self._planners.clear()
                continue
            for service in self._list_services():
                await self._plan(service)
                planned_s = _clock.read_clock()

    def _list_services(self) -> tuple[schema.serving.Service, ...]:
        manifest = self._context.fleet.manifest
        services = manifest.services if manifest else ()
        return tuple(one for one in services if one.has_engines)

    async def _plan(self, service: schema.serving.Service) -> None:
        planner = self._planners.get(service.name)
        if planner is None:
            planner = planning.STAGE_PLANNERS.get(_POLICY)()
            self._planners[service.name] = planner
        change = planner.plan(self._make_snapshot(service), time.monotonic())
        if isinstance(change, planning.NoStageChange):
            return
        telemetry.log_event(
            'stage_change_planned',
            service=service.name,
            workers=change.engines,
            stage=change.stage.value,
            reason=change.reason,
        )
        try:
            await self._change(service, change)
        finally:
            self._changing.clear()
            planner.record_change(time.monotonic())

    def _make_snapshot(
        self, service: schema.serving.Service
    ) -> planning.StageSnapshot:
        now = time.monotonic()
        load = self._context.prompt_load
        engines = []
        for stage in (_Stage.PREFILL, _Stage.DECODE):
            for worker in self._context.fleet.list_usable(
                service.name, stage, now
            ):
                work = load.work.get_total(worker.id, now)
                engines.append(
                    planning.StagedEngine(
                        id=worker.id,
                        domain=worker.domain,
                        stage=stage,
                        version=worker.version,
                        queued_s=load.get_queued_s(worker, now),
                        streams=work.streams,
                        stream_tokens=work.stream_tokens,
                    )
                )
        return planning.StageSnapshot(
            engines=tuple(engines),
            slots=service.engine.slots,
            kv_tokens=service.engine.kv_tokens,
            is_scaled=service.has_scaling,
        )

    async def _change(
        self, service: schema.serving.Service, change: planning.StageChange
    ) -> None:
        engines = [
            one
            for one in self._context.fleet.workers
            if one.id in change.engines
        ]
        grant = await authority.acquire_grant(
            self._client, service.name, self._context.settings.host
        )
        if isinstance(grant, authority.NotGranted):
            telemetry.log_event('orders_not_granted', reason=grant.reason)
            return
        self._changing.update(change.engines)
        self._announce()
        await asyncio.sleep(_NOTICE_S)
        outcomes = await asyncio.gather(
            *(self._order(engine, change.stage, grant) for engine in engines)
        )
        for engine, outcome in zip(engines, outcomes, strict=True):
            if outcome == platform.OrderOutcome.REFUSED:
                self._changing.discard(engine.id)
        await self._wait_for_stage(change.stage, service.engine.switch_s)

    async def _order(
        self,
        engine: schema.serving.Worker,
        stage: _Stage,
        grant: authority.OrderGrant,
    ) -> platform.OrderOutcome:
        count = await self._orders.count_orders(engine)
        if isinstance(count, platform.Unreported):
            telemetry.log_event(
                'engine_unreported', worker=engine.id, reason=count.reason
            )
            return platform.OrderOutcome.REFUSED
        if not grant.is_valid:
            telemetry.log_event('order_grant_expired', worker=engine.id)
            return platform.OrderOutcome.REFUSED
        order = platform.StageOrder(
            engine=engine,
            stage=stage,
            holder=grant.holder,
            fence=grant.fence,
            expected=count,
        )
        outcome = await self._orders.send(order)
        telemetry.log_event(
            'stage_ordered',
            worker=engine.id,
            stage=stage.value,
            fence=grant.fence,
            expected=count,
            outcome=outcome.value,
        )
        return outcome

    async def _wait_for_stage(self, stage: _Stage, switch_s: float) -> None:
        """Waits until the engines are listed with their next stage."""
        end_s = time.monotonic() + switch_s + _MAX_DRAIN_S
        changing = self._changing
        while changing and time.monotonic() < end_s:
            await asyncio.sleep(_REPEAT_S)
            stages = {one.id: one.stage for one in self._context.fleet.workers}
            for worker_id in tuple(changing):
                if stages.get(worker_id, stage) == stage:
                    changing.discard(worker_id)
            self._announce()

    def _announce(self) -> None:
        """Sends all processes the engines that accept no requests."""
        self._context.fleet.set_changing(self._changing, time.monotonic())
        self._peers.broadcast(
            schema.messages.StageChanges(
                host=self._context.settings.host,
                engines=tuple(self._changing),
            )
        )


def make_stage_orders(
    context: _context.Context,
    client: platform.Client,
    orders: platform.EngineOrders,
    peers: _peers.Peers,
) -> StageOrders:
    """Makes the task that changes stages.

    :param context: state of the process.
    :param client: client of the store.
    :param orders: sends the orders.
    :param peers: tells the other processes which engines change.
    """
    return StageOrders(context, client, orders, peers)
