"""Orders paid workers as the scaling policy plans.

Only the first of the store readers plans. It stores its orders and then sends them,
while a grant of the store is valid. The design is in docs/design/paid-workers.md.
"""

import asyncio
import math
import time

import attrs

from briarknot import authority, platform, scaling, schema, telemetry
from briarknot.gateway import (
    _clock,
    _context,
    _scaling_rows,
    _scaling_snapshot,
    _store_readers,
    _worker_order_sending,
)

_DUTY = 'autoscale'
_POLICY = 'spot_first'
_GRANT = 'scaling'
#: Period of planning. Replacements of reclaimed workers are wanted at once.
_PERIOD_S = 0.25
#: Period of checking whether this process is the first reader; each wake-up costs.
_IDLE_PERIOD_S = 1.0
#: Delay of a wake-up from which on this process was suspended, so that its view of
#: the load is outdated.
_MAX_DELAY_S = 0.75
#: Duration of a step from which on this process was suspended: a step makes at most
#: five calls to the store of 1 s each. A slow store alone must not restart planning.
_MAX_STEP_S = 5.5
#: Time for which a process is the first reader before it plans. A process that has
#: just started doesn't know the others, and reads the rows in vain.
_SETTLE_S = 1.0
#: Time from a grant to one of another process. Calls end 5 s after a grant at the
#: latest: its 3 s and the time limit of a call.
_OTHER_HOLDER_S = 6.5
#: Time for which a planned order waits for its grant. A policy proposes it again
#: after this time if it is still wanted.
_HOLD_S = 1.0
#: Pause after an attempt that the store did not allow.
_RETRY_S = 1.0


@attrs.frozen
class _Due:
    """An order that is to be sent.

    :param order: the order.
    :param reason: figures behind it.
    """

    order: platform.WorkerOrder
    reason: str

    @property
    def group(self) -> _scaling_rows.Group:
        """The group that it is for."""
        return self.order.domain, self.order.is_spot


@attrs.define(eq=False)
class WorkerOrders:
    """Plans, stores and sends orders while this process is the first reader."""

    _context: _context.Context
    _rows: _scaling_rows.ScalingRows
    _client: platform.Client
    _sending: _worker_order_sending.WorkerOrderSending
    _policies: dict[str, 'scaling.ScalingPolicy'] = attrs.field(factory=dict)
    _states: dict[str, _scaling_snapshot.OrderState] = attrs.field(factory=dict)
    _grant: authority.OrderGrant | None = None
    _era: int = 0
    _is_loaded: bool = False
    _first_since_s: float = math.inf
    _retry_at_s: float = -math.inf
    _refused: str = ''

    async def run(self) -> None:
        """Plans and orders until it is cancelled."""
        while True:
            if not is_enabled(self._context):
                self._forget()
                self._first_since_s = math.inf
                await self._context.configuration_changed.wait()
                continue
            is_idle = math.isinf(self._first_since_s)
            period_s = _IDLE_PERIOD_S if is_idle else _PERIOD_S
            started_s = _clock.read_clock()
            await asyncio.sleep(period_s)
            slept_s = _clock.read_clock() - started_s
            if self._is_first(is_current=slept_s < period_s + _MAX_DELAY_S):
                await self._step()
                if _clock.read_clock() - started_s - slept_s > _MAX_STEP_S:
                    self._forget()

    async def close(self) -> None:
        """Ends the calls, and closes the connections."""
        await self._sending.close()

    def _is_first(self, *, is_current: bool) -> bool:
        """Returns whether this process is to plan now.

        :param is_current: whether it was not suspended since it last checked.
        """
        now = _clock.read_clock()
        context = self._context
        is_first = _store_readers.get_reader_rank(context) == 0
        if not (is_current and is_first and context.is_ready):
            self._forget()
            self._first_since_s = now if is_first else math.inf
            return False
        self._first_since_s = min(self._first_since_s, now)
        return now - self._first_since_s >= _SETTLE_S

    def _forget(self) -> None:
        """Forgets what another process may change from now on."""
        self._policies.clear()
        self._states.clear()
        self._is_loaded = False

    async def _step(self) -> None:
        """Plans once, and sends what is due."""
        services = _scaling_snapshot.list_services(self._context)
        is_known = all(one.name in self._states for one in services)
        if self._rows.era != self._era or not is_known:
            # The stored orders are those of a copy, or of a service whose limits
            # have been unusable so far.
            self._is_loaded = False
        if not self._is_loaded and not await self._load():
            return
        due = self._list_due()[: self._sending.free_calls]
        if not due or _clock.read_clock() < self._retry_at_s:
            return
        grant = await self._get_grant()
        if grant is not None and await self._store(due, grant):
            for one in due:
                self._log_planned(one)
                state = self._states[one.order.service]
                state.ordered[one.group] = one.order.desired
                state.planned.pop(one.group, None)
                self._sending.start(one.order, state, grant)

    async def _load(self) -> bool:
        """Reads the stored orders; those that may not have been sent are due.

        :returns: whether they could be read.
        """
        if _clock.read_clock() < self._retry_at_s:
            return False
        loaded = await self._rows.load()
        if isinstance(loaded, _scaling_rows.NotStored):
            self._pause(loaded.reason)
            return False
        for service in _scaling_snapshot.list_services(self._context):
            numbers = loaded.get(service.name, {})
            serving = _scaling_snapshot.count_serving(
                self._context, service.name
            )
            known = self._states.get(service.name)
            known = known or _scaling_snapshot.OrderState()
            # Orders planned from other numbers may end workers that were ordered
            # since.
            planned = known.planned if known.ordered == numbers else {}
            self._states[service.name] = attrs.evolve(
                known,
                planned=planned,
                ordered={**numbers},
                stored=numbers,
                accepted={},
                unconfirmed={
                    group
                    for group, desired in numbers.items()
                    if serving[group] != desired
                },
            )
        self._era = self._rows.era
        self._is_loaded = True
        return True

    def _list_due(self) -> list[_Due]:
        """Plans all services, and lists the orders to send, the planned first."""
        due = []
        for service in _scaling_snapshot.list_services(self._context):
            name = service.name
            state = self._states[name]
            self._plan(service, state)
            now = time.monotonic()
            numbers = {
                group: (one.desired, one.reason)
                for group, one in state.planned.items()
            }
            numbers |= {
                group: (state.ordered[group], 'not known to be accepted')
                for group in sorted(state.unconfirmed - numbers.keys())
                if state.unavailable_until_s.get(group, now) <= now
            }
            due.extend(
                _Due(platform.WorkerOrder(name, *group, desired), reason)
                for group, (desired, reason) in numbers.items()
                if not self._sending.is_waiting(name, group, desired)
                and state.rejected_until_s.get(group, now) <= now
            )
        return due

    def _plan(
        self,
        service: schema.serving.Service,
        state: _scaling_snapshot.OrderState,
    ) -> None:
        """Adds what the policy plans to the planned orders of a service."""
        policy = self._policies.get(service.name)
        if policy is None:
            policy = scaling.SCALING_POLICIES.get(_POLICY)()
            self._policies[service.name] = policy
        now = time.monotonic()
        snapshot = _scaling_snapshot.make_snapshot(
            self._context, service, state
        )
        orders = policy.plan(snapshot, now)
        state.drop_outdated(snapshot, orders)
        for order in orders:
            group = (order.domain, order.is_spot)
            state.planned[group] = _scaling_snapshot.PlannedOrder(
                order.desired, order.reason, now
            )
        state.planned = {
            group: one
            for group, one in state.planned.items()
            if now - one.planned_s < _HOLD_S
            and state.ordered.get(group) != one.desired
        }

    async def _get_grant(self) -> authority.OrderGrant | None:
        """Returns a valid grant under which the known orders are the latest."""
        if self._grant is not None and self._grant.is_valid:
            return self._grant
        if not self._sending.may_change_fence:
            return None
        before = self._grant
        granted = await authority.acquire_grant(
            self._client, _GRANT, self._context.settings.host, _OTHER_HOLDER_S
        )
        if isinstance(granted, authority.NotGranted):
            self._pause(granted.reason)
            return None
        self._grant = granted
        self._refused = ''
        if before is None or granted.fence != before.fence + 1:
            # Another process may have ordered since the rows were read.
            self._is_loaded = False
            return None
        return granted

    async def _store(
        self, due: list[_Due], grant: authority.OrderGrant
    ) -> bool:
        """Stores orders before they are sent.

        :param due: the orders.
        :param grant: authority to order.
        :returns: whether the rows have them.
        """
        numbers: dict[str, _scaling_rows.Numbers] = {}
        for one in due:
            state = self._states[one.order.service]
            if state.stored.get(one.group) != one.order.desired:
                changed = numbers.setdefault(
                    one.order.service, {**state.ordered}
                )
                changed[one.group] = one.order.desired
        if numbers:
            result = await self._rows.store(numbers, grant)
            if isinstance(result, _scaling_rows.NotStored):
                # The rows may have been written; they are read again.
                self._is_loaded = False
                self._pause(result.reason)
                return False
        for service, stored in numbers.items():
            self._states[service].stored = stored
        return True

    def _pause(self, reason: str) -> None:
        """Records that the store does not allow orders, logged once a reason."""
        self._retry_at_s = _clock.read_clock() + _RETRY_S
        kind = reason.partition(' ')[0]
        if kind != self._refused:
            self._refused = kind
            telemetry.log_event('worker_orders_not_granted', reason=reason)

    def _log_planned(self, due: _Due) -> None:
        order = due.order
        state = self._states[order.service]
        if state.ordered.get(due.group) == order.desired:
            return
        serving = _scaling_snapshot.count_serving(self._context, order.service)
        telemetry.log_event(
            'scaling_planned',
            service=order.service,
            domain=order.domain,
            spot=order.is_spot,
            desired=order.desired,
            ordered=state.ordered.get(due.group),
            serving=serving[due.group],
            reason=due.reason,
        )


def is_enabled(context: _context.Context) -> bool:
    """Returns whether the settings name the duty and a service has limits.

    :param context: state of the process.
    """
    settings = context.settings
    return (
        _DUTY in settings.duties
        and bool(settings.duty_address)
        and bool(_scaling_snapshot.list_services(context))
    )


def make_worker_orders(
    context: _context.Context, client: platform.Client
) -> WorkerOrders:
    """Makes the task that orders workers; a running event loop is needed.

    :param context: state of the process.
    :param client: client of the store.
    """
    return WorkerOrders(
        context,
        _scaling_rows.make_scaling_rows(client),
        client,
        _worker_order_sending.make_worker_order_sending(context),
    )
