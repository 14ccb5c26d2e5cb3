"""Controller of one engine, which makes one change at a time."""

import asyncio
import time

import aiohttp
import attrs

from briarknot import authority, schema, telemetry
from briarknot.control import (
    _decisions,
    _entries,
    _load_poller,
    _metrics,
    _order_record,
)

_Phase = schema.records.OrderPhase
_MARK_PERIOD_S = 0.2
_STATE_PERIOD_S = 0.25
#: Time after which a drain raises an alarm. A drain takes as long as the
#: longest stream in flight.
_DELAYED_DRAIN_S = 60


@attrs.frozen(kw_only=True)
class LeaderContext:
    """Objects that the controllers of all engines share during one lease.

    :param session: client session for engines.
    :param lease: lease of the failure domain.
    :param orders: order rows.
    :param entries: entry processes and their drain marks.
    :param settings: settings of the process.
    :param closing: set once no new change may start.
    """

    session: aiohttp.ClientSession
    lease: authority.Lease
    orders: authority.Orders
    entries: _entries.Entries
    settings: schema.settings.ControlSettings
    closing: asyncio.Event


@attrs.define(eq=False)
class EngineController:
    """Reconciles one engine with the document and the planner."""

    _engine: schema.fleet.Engine
    _model: str
    _context: LeaderContext
    _load_poller: _load_poller.LoadPoller
    _order_record: _order_record.OrderRecord
    _group_lock: asyncio.Lock
    _plan: _decisions.Target | None = attrs.field(default=None, init=False)
    _reported_difference: str = attrs.field(default='', init=False)

    @property
    def engine(self) -> schema.fleet.Engine:
        """The engine as the document declares it."""
        return self._engine

    @property
    def load_poller(self) -> _load_poller.LoadPoller:
        """Poller of its load reports."""
        return self._load_poller

    @property
    def is_pending(self) -> bool:
        """Whether a change is planned or under way."""
        return self._order_record.is_active or self._plan is not None

    def set_document(self, engine: schema.fleet.Engine, model: str) -> None:
        """Applies a new document.

        :param engine: the engine as the document declares it.
        :param model: its model and version, as NAME@VERSION.
        """
        self._engine = engine
        self._model = model

    def plan_role(self, role: schema.fleet.Role, reason: str) -> None:
        """Sets the role that the planner has chosen.

        :param role: role that the engine should take.
        :param reason: why.
        """
        self._plan = _decisions.Target(
            model=self._model, role=role, reason=reason
        )

    async def run(self) -> None:
        """Makes changes until the process stops.

        An order that may have reached the engine is completed first.
        """
        self._order_record.send_mark()
        while not self._order_record.is_superseded:
            if self._order_record.is_active:
                async with self._group_lock:
                    await self._resume()
            elif not self._context.closing.is_set():
                await self._start()
            is_open = self._order_record.row.phase is _Phase.OPEN
            if self._context.closing.is_set() and not is_open:
                return
            await asyncio.sleep(self._load_poller.period_s)

    async def _start(self) -> None:
        """Starts a change where one is needed."""
        report = self._load_poller.report
        if report is None:
            return
        if self._plan is None and not self._needs_action(report):
            return
        # Load reports lag, so the decision uses the engine's current state.
        state = await self._fetch_state()
        if state is None or not self._needs_action(state):
            self._plan = None
            return
        self._check_unordered(state)
        change = self._choose_change(state)
        if change is None:
            return
        if change.kind is schema.endpoints.OrderKind.WITHDRAW:
            # A withdrawal needs no group lock: the document has already
            # stopped new work.
            await self._issue_order(change, state, _Phase.DRAINING)
            return
        async with self._group_lock:
            # The state may have changed while another engine of the group
            # had the lock.
            state = await self._fetch_state()
            if state and self._is_wanted(change, state):
                await self._issue_order(change, state, _Phase.DRAINING)

    async def _resume(self) -> None:
        """Completes an order of an earlier holder, or one without an answer."""
        state = await self._wait_state()
        if state is None:
            return
        row = self._order_record.row
        status = _decisions.get_order_status(row, state)
        if status is _decisions.OrderStatus.NOT_SENT:
            await self._end_order(_Phase.VOID)
        elif status is _decisions.OrderStatus.UNSEEN:
            _metrics.REISSUED.inc()
            fence = _decisions.make_fencing_change(row.order, state)
            change = self._choose_change(state) or fence
            await self._issue_order(change, state, _Phase.OPEN)
        else:
            await self._complete_order()

    async def _issue_order(
        self,
        change: _decisions.Change,
        state: schema.endpoints.EngineState,
        phase: schema.records.OrderPhase,
    ) -> None:
        """Drains the engine, sends an order, and waits for its completion.

        :param change: what is ordered.
        :param state: the engine's state.
        :param phase: ``draining``; ``open`` where an earlier order may still
            arrive, so that this one can't be cancelled.
        """
        epoch = self._context.lease.epoch
        number = _decisions.choose_number(self._order_record.row, state, epoch)
        order = schema.endpoints.Order(
            epoch=number.epoch,
            sequence=number.sequence,
            kind=change.kind,
            value=change.value,
        )
        row = attrs.evolve(
            self._order_record.row,
            order=order,
            phase=phase,
            reason=change.reason,
        )
        if not await self._order_record.write(row):
            return
        if not await self._wait_drained(change, state):
            await self._end_order(_Phase.VOID)
            return
        if phase is _Phase.DRAINING:
            row = attrs.evolve(row, phase=_Phase.OPEN)
            if not await self._order_record.write(row):
                return
        answer = await self._send(order)
        telemetry.log_change(
            'order',
            type(answer).__name__.lower(),
            engine=self._engine.name,
            number=f'{order.epoch}.{order.sequence}',
            kind=order.kind,
            value=order.value,
        )
        if isinstance(answer, authority.NoAnswer) and answer.may_arrive:
            settings = self._context.settings
            await asyncio.sleep(settings.order_timeout_s + settings.margin_s)
        await self._complete_order()

    async def _wait_drained(
        self, change: _decisions.Change, state: schema.endpoints.EngineState
    ) -> bool:
        """Waits until the engine has no work.

        :param change: what will be ordered.
        :param state: state for which the change was chosen.
        :returns: false where the change is no longer wanted; never where an
            order may have been sent.
        """
        began_s = time.monotonic()
        drained_s: float | None = None
        name = self._engine.name
        while True:
            is_sent = self._order_record.row.phase is _Phase.OPEN
            if not (is_sent or self._is_wanted(change, state)):
                _metrics.DELAYED.labels(name).set(0)
                return False
            waiting = self._context.entries.repeat_mark(name)
            now_s = time.monotonic()
            drained_s = None if waiting else drained_s or now_s
            _metrics.DELAYED.labels(name).set(
                now_s - began_s > _DELAYED_DRAIN_S
            )
            drain = _make_drain(self._load_poller, waiting, drained_s)
            lag_s = self._context.settings.report_lag_s
            if not _decisions.check_drain(drain, now_s, lag_s):
                _metrics.DELAYED.labels(name).set(0)
                _metrics.DRAIN_SECONDS.observe(now_s - began_s)
                return True
            await asyncio.sleep(_MARK_PERIOD_S)

    async def _send(
        self, order: schema.endpoints.Order
    ) -> authority.Accepted | authority.Refused | authority.NoAnswer:
        transport = authority.make_transport(
            self._engine.checks_fencing, self._context.settings.order_timeout_s
        )
        lease = self._context.lease

        def may_send() -> bool:
            return not _decisions.check_authority(
                order, lease.epoch, lease.remaining_s, lease.quiet_remaining_s
            )

        with telemetry.make_span(
            'order',
            engine=self._engine.name,
            kind=order.kind.value,
            epoch=order.epoch,
            sequence=order.sequence,
        ):
            return await transport.send_order(self._engine.url, order, may_send)

    async def _complete_order(self) -> None:
        """Waits until the engine has executed the order, and ends its row."""
        while True:
            state = await self._wait_state()
            if state is None:
                return
            status = _decisions.get_order_status(self._order_record.row, state)
            if status is _decisions.OrderStatus.DONE:
                await self._end_order(_Phase.DONE, state)
            if status is not _decisions.OrderStatus.RUNNING:
                return
            await asyncio.sleep(_STATE_PERIOD_S)

    async def _end_order(
        self,
        phase: schema.records.OrderPhase,
        state: schema.endpoints.EngineState | None = None,
    ) -> None:
        if await self._order_record.end(phase, state):
            self._plan = None

    async def _wait_state(self) -> schema.endpoints.EngineState | None:
        """Waits for the engine's state; None where the process stops."""
        while True:
            state = await self._fetch_state()
            _metrics.SILENT.labels(self._engine.name).set(state is None)
            if state or self._context.closing.is_set():
                return state
            await asyncio.sleep(_STATE_PERIOD_S)

    async def _fetch_state(self) -> schema.endpoints.EngineState | None:
        state = await authority.fetch_engine_state(
            self._context.session,
            self._engine.url,
            self._context.settings.order_timeout_s,
        )
        return state or None

    def _make_target(self) -> _decisions.Target:
        role = None
        reason = 'ordered last'
        if self._order_record.row.model:
            role = self._order_record.row.role
        if self._plan:
            role, reason = self._plan.role, self._plan.reason
        return _decisions.Target(
            model=self._model,
            leaving=self._engine.leaving,
            role=role,
            reason=reason,
        )

    def _choose_change(
        self, state: _decisions.State
    ) -> _decisions.Change | None:
        return _decisions.choose_change(self._make_target(), state)

    def _is_wanted(
        self, change: _decisions.Change, state: schema.endpoints.EngineState
    ) -> bool:
        """Returns whether a change that was not sent is still wanted."""
        if self._context.closing.is_set():
            return False
        return change.is_like(self._choose_change(state))

    def _needs_action(self, state: _decisions.State) -> bool:
        is_unordered = _decisions.describe_unordered(
            self._order_record.row, state
        )
        return bool(is_unordered or self._choose_change(state))

    def _check_unordered(self, state: schema.endpoints.EngineState) -> None:
        """Raises an alarm once for each state that was not ordered."""
        difference = _decisions.describe_unordered(
            self._order_record.row, state
        )
        if difference and difference != self._reported_difference:
            _metrics.UNORDERED.labels(self._engine.name).inc()
            telemetry.log_change(
                'engine',
                'unordered state',
                engine=self._engine.name,
                difference=difference,
            )
        self._reported_difference = difference


def _make_drain(
    load_poller: _load_poller.LoadPoller,
    waiting: tuple[str, ...],
    drained_s: float | None,
) -> _decisions.Drain:
    phase = schema.endpoints.EnginePhase.IDLE
    if load_poller.report:
        phase = load_poller.report.phase
    return _decisions.Drain(
        waiting=waiting,
        drained_s=drained_s,
        phase=phase,
        # -inf where there is no report, which is never after the drain.
        report_as_of_s=load_poller.as_of_s,
        idle_since_s=load_poller.idle_since_s,
    )


def make_engine_controller(
    engine: schema.fleet.Engine,
    model: str,
    context: LeaderContext,
    stored: authority.VersionedOrder,
    group_lock: asyncio.Lock,
) -> EngineController:
    """Makes the controller of one engine.

    :param engine: the engine as the document declares it.
    :param model: its model and version, as NAME@VERSION.
    :param context: objects that the controllers of all engines share.
    :param stored: the engine's row.
    :param group_lock: lock that the engines of a group share.
    """
    load_poller = _load_poller.LoadPoller(
        context.session, engine.url, context.settings.report_lag_s
    )
    order_record = _order_record.OrderRecord(
        engine.name, stored, context.orders, context.entries, context.lease
    )
    return EngineController(
        engine, model, context, load_poller, order_record, group_lock
    )
