"""Carries out the changes of one engine, one after the other."""

import asyncio
import time

import aiohttp
import attrs

from briarknot import authority, schema, telemetry
from briarknot.control import _decisions, _entries, _feed, _ledger, _metrics

_Phase = schema.records.OrderPhase
_MARK_PERIOD_S = 0.2
_STATE_PERIOD_S = 0.25
#: A drain takes as long as the longest stream; a longer one needs a look.
_DELAYED_S = 60


@attrs.frozen(kw_only=True)
class Tools:
    """What the tasks of all engines share.

    :param session: client session for engines.
    :param lease: lease of the failure domain.
    :param orders: order rows.
    :param entries: entry processes.
    :param settings: settings of the process.
    :param closing: set when no new change may start.
    """

    session: aiohttp.ClientSession
    lease: authority.Lease
    orders: authority.Orders
    entries: _entries.Entries
    settings: schema.settings.ControlSettings
    closing: asyncio.Event


@attrs.define(eq=False)
class EngineTask:
    """Brings one engine to what the document and the planner want."""

    _engine: schema.fleet.Engine
    _model: str
    _tools: Tools
    _feed: _feed.Feed
    _ledger: _ledger.Ledger
    _turn: asyncio.Lock
    _plan: _decisions.Target | None = attrs.field(default=None, init=False)
    _alarmed: str = attrs.field(default='', init=False)

    @property
    def engine(self) -> schema.fleet.Engine:
        """The engine as the document declares it."""
        return self._engine

    @property
    def feed(self) -> _feed.Feed:
        """Its load reports."""
        return self._feed

    @property
    def is_pending(self) -> bool:
        """Whether a change is planned or under way."""
        return self._ledger.is_active or self._plan is not None

    def set_document(self, engine: schema.fleet.Engine, model: str) -> None:
        """Takes a new document.

        :param engine: the engine as the document declares it.
        :param model: its model and version, as NAME@VERSION.
        """
        self._engine = engine
        self._model = model

    def plan_role(self, role: schema.fleet.Role, reason: str) -> None:
        """Takes a proposal of the planner.

        :param role: role that the engine should take.
        :param reason: why.
        """
        self._plan = _decisions.Target(
            model=self._model, role=role, reason=reason
        )

    async def run(self) -> None:
        """Carries out changes until the process stops.

        An order that may have reached the engine is brought to its end first.
        """
        self._ledger.send_mark()
        while not self._ledger.is_overtaken:
            if self._ledger.is_active:
                async with self._turn:
                    await self._resume()
            elif not self._tools.closing.is_set():
                await self._start()
            is_open = self._ledger.row.phase is _Phase.OPEN
            if self._tools.closing.is_set() and not is_open:
                return
            await asyncio.sleep(self._feed.period_s)

    async def _start(self) -> None:
        """Starts a change where one is needed."""
        report = self._feed.report
        if report is None:
            return
        if self._plan is None and not self._is_news(report):
            return
        # The report lags; the engine's own state decides.
        state = await self._read_state()
        if state is None or not self._is_news(state):
            self._plan = None
            return
        self._check_unordered(state)
        change = self._choose(state)
        if change is None:
            return
        if change.kind is schema.endpoints.OrderKind.WITHDRAW:
            # The document has already stopped new work.
            await self._give(change, state, _Phase.DRAINING)
            return
        async with self._turn:
            # It may have changed while others of its group had their turn.
            state = await self._read_state()
            if state and self._is_wanted(change, state):
                await self._give(change, state, _Phase.DRAINING)

    async def _resume(self) -> None:
        """Ends what an earlier holder, or an unanswered order, has left."""
        state = await self._wait_state()
        if state is None:
            return
        row = self._ledger.row
        meaning = _decisions.read_row(row, state)
        if meaning is _decisions.Meaning.NOT_SENT:
            await self._end(_Phase.VOID)
        elif meaning is _decisions.Meaning.UNSEEN:
            _metrics.REISSUED.inc()
            fence = _decisions.make_fence(row.order, state)
            change = self._choose(state) or fence
            await self._give(change, state, _Phase.OPEN)
        else:
            await self._settle()

    async def _give(
        self,
        change: _decisions.Change,
        state: schema.endpoints.EngineState,
        phase: schema.records.OrderPhase,
    ) -> None:
        """Drains the engine, sends an order, and brings it to its end.

        :param change: what is ordered.
        :param state: the engine's state.
        :param phase: ``draining``; ``open`` where an earlier order may still
            arrive, so that this one can't be given up.
        """
        epoch = self._tools.lease.epoch
        number = _decisions.choose_number(self._ledger.row, state, epoch)
        order = schema.endpoints.Order(
            epoch=number.epoch,
            sequence=number.sequence,
            kind=change.kind,
            value=change.value,
        )
        row = attrs.evolve(
            self._ledger.row, order=order, phase=phase, reason=change.reason
        )
        if not await self._ledger.write(row):
            return
        if not await self._wait_drained(change, state):
            await self._end(_Phase.VOID)
            return
        if phase is _Phase.DRAINING:
            row = attrs.evolve(row, phase=_Phase.OPEN)
            if not await self._ledger.write(row):
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
            settings = self._tools.settings
            await asyncio.sleep(settings.order_timeout_s + settings.margin_s)
        await self._settle()

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
            is_sent = self._ledger.row.phase is _Phase.OPEN
            if not (is_sent or self._is_wanted(change, state)):
                _metrics.DELAYED.labels(name).set(0)
                return False
            waiting = self._tools.entries.repeat_mark(name)
            now_s = time.monotonic()
            drained_s = None if waiting else drained_s or now_s
            _metrics.DELAYED.labels(name).set(now_s - began_s > _DELAYED_S)
            drain = _read_drain(self._feed, waiting, drained_s)
            lag_s = self._tools.settings.report_lag_s
            if not _decisions.check_drain(drain, now_s, lag_s):
                _metrics.DELAYED.labels(name).set(0)
                _metrics.DRAIN_SECONDS.observe(now_s - began_s)
                return True
            await asyncio.sleep(_MARK_PERIOD_S)

    async def _send(
        self, order: schema.endpoints.Order
    ) -> authority.Accepted | authority.Refused | authority.NoAnswer:
        transport = authority.make_transport(
            self._engine.checks_fencing, self._tools.settings.order_timeout_s
        )
        lease = self._tools.lease

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

    async def _settle(self) -> None:
        """Waits while the engine changes, and ends the row when it is done."""
        while True:
            state = await self._wait_state()
            if state is None:
                return
            meaning = _decisions.read_row(self._ledger.row, state)
            if meaning is _decisions.Meaning.DONE:
                await self._end(_Phase.DONE, state)
            if meaning is not _decisions.Meaning.RUNNING:
                return
            await asyncio.sleep(_STATE_PERIOD_S)

    async def _end(
        self,
        phase: schema.records.OrderPhase,
        state: schema.endpoints.EngineState | None = None,
    ) -> None:
        if await self._ledger.end(phase, state):
            self._plan = None

    async def _wait_state(self) -> schema.endpoints.EngineState | None:
        """Waits for the engine's state; none where the process stops."""
        while True:
            state = await self._read_state()
            _metrics.SILENT.labels(self._engine.name).set(state is None)
            if state or self._tools.closing.is_set():
                return state
            await asyncio.sleep(_STATE_PERIOD_S)

    async def _read_state(self) -> schema.endpoints.EngineState | None:
        state = await authority.fetch_engine_state(
            self._tools.session,
            self._engine.url,
            self._tools.settings.order_timeout_s,
        )
        return state or None

    def _make_target(self) -> _decisions.Target:
        role = None
        reason = 'ordered last'
        if self._ledger.row.model:
            role = self._ledger.row.role
        if self._plan:
            role, reason = self._plan.role, self._plan.reason
        return _decisions.Target(
            model=self._model,
            leaving=self._engine.leaving,
            role=role,
            reason=reason,
        )

    def _choose(self, state: _decisions.State) -> _decisions.Change | None:
        return _decisions.choose_change(self._make_target(), state)

    def _is_wanted(
        self, change: _decisions.Change, state: schema.endpoints.EngineState
    ) -> bool:
        """Tells whether a change that has not been sent is still wanted."""
        if self._tools.closing.is_set():
            return False
        return change.is_like(self._choose(state))

    def _is_news(self, state: _decisions.State) -> bool:
        is_unordered = _decisions.find_unordered(self._ledger.row, state)
        return bool(is_unordered or self._choose(state))

    def _check_unordered(self, state: schema.endpoints.EngineState) -> None:
        """Raises an alarm, once for each state that was not ordered."""
        difference = _decisions.find_unordered(self._ledger.row, state)
        if difference and difference != self._alarmed:
            _metrics.UNORDERED.labels(self._engine.name).inc()
            telemetry.log_change(
                'engine',
                'unordered state',
                engine=self._engine.name,
                difference=difference,
            )
        self._alarmed = difference


def _read_drain(
    feed: _feed.Feed, waiting: tuple[str, ...], drained_s: float | None
) -> _decisions.Drain:
    phase = schema.endpoints.EnginePhase.IDLE
    if feed.report:
        phase = feed.report.phase
    return _decisions.Drain(
        waiting=waiting,
        drained_s=drained_s,
        phase=phase,
        # Without any report there is none after the drain either.
        report_as_of_s=feed.as_of_s,
        idle_since_s=feed.idle_since_s,
    )


def make_engine_task(
    engine: schema.fleet.Engine,
    model: str,
    tools: Tools,
    held: authority.VersionedOrder,
    turn: asyncio.Lock,
) -> EngineTask:
    """Makes the task of one engine.

    :param engine: the engine as the document declares it.
    :param model: its model and version, as NAME@VERSION.
    :param tools: what the tasks of all engines share.
    :param held: its row.
    :param turn: lock that the engines of a group share.
    """
    feed = _feed.Feed(tools.session, engine.url, tools.settings.report_lag_s)
    ledger = _ledger.Ledger(
        engine.name, held, tools.orders, tools.entries, tools.lease
    )
    return EngineTask(engine, model, tools, feed, ledger, turn)
