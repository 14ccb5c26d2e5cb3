"""Sends worker orders to the platform, several at the same time."""

import asyncio
import math
import time

import attrs
import prometheus_client

from briarknot import authority, platform, scaling, telemetry
from briarknot.gateway import _context, _scaling_rows, _scaling_snapshot

_ORDERS = prometheus_client.Counter(
    'briarknot_gateway_worker_orders',
    'Calls that order workers by result.',
    ('result',),
)
#: Calls at the same time. All processes together may make 50 per second.
_MAX_CALLS = 8
#: Pause before an order without an answer is repeated. Eight calls in this time are
#: a third of those that all processes together may make.
_RESEND_S = 0.5
#: Time in which a group gets no orders after one that would be rejected again.
_REJECTED_S = 30.0
#: Time for which the bytes of a call without an answer may still arrive after its
#: end: unacknowledged bytes are dropped after 1.5 s.
_LATE_ARRIVAL_S = 1.5
_Result = platform.WorkerOrderResult


@attrs.frozen
class _Unanswered:
    """The latest call for a group, if it is not known whether it was accepted.

    :param desired: its number.
    :param ended_s: monotonic time of its end.
    :param has_status: whether there was a response.
    """

    desired: int
    ended_s: float
    has_status: bool

    def get_pause_s(self, desired: int) -> float:
        """Returns the time from its end to the next call for the group.

        A call without a response may arrive late, and would undo another number.

        :param desired: number of the next call.
        """
        if self.has_status or desired == self.desired:
            return _RESEND_S
        return _LATE_ARRIVAL_S


@attrs.define(eq=False)
class WorkerOrderSending:
    """Orders whose calls run."""

    _context: _context.Context
    _duties: platform.Duties
    _tasks: dict[tuple[str, _scaling_rows.Group], asyncio.Task[None]] = (
        attrs.field(factory=dict)
    )
    _unanswered: dict[tuple[str, _scaling_rows.Group], _Unanswered] = (
        attrs.field(factory=dict)
    )
    _latest_unanswered_s: float = -math.inf

    @property
    def free_calls(self) -> int:
        """Number of calls that may be started."""
        return _MAX_CALLS - len(self._tasks)

    @property
    def may_change_fence(self) -> bool:
        """Whether no call with the present fencing number can arrive any more."""
        quiet_s = time.monotonic() - self._latest_unanswered_s
        return not self._tasks and quiet_s >= _LATE_ARRIVAL_S

    def is_waiting(
        self, service: str, group: _scaling_rows.Group, desired: int
    ) -> bool:
        """Returns whether an order may not be sent yet.

        :param service: name of the service.
        :param group: the group.
        :param desired: number of the order.
        """
        key = (service, group)
        if key in self._tasks:
            return True
        last = self._unanswered.get(key)
        if last is None:
            return False
        return time.monotonic() < last.ended_s + last.get_pause_s(desired)

    def start(
        self,
        order: platform.WorkerOrder,
        state: _scaling_snapshot.OrderState,
        grant: authority.OrderGrant,
    ) -> None:
        """Starts the call of a stored order.

        :param order: the order.
        :param state: what is known of the orders for its service; it is updated.
        :param grant: authority to order.
        """
        group = (order.domain, order.is_spot)
        state.unconfirmed.add(group)
        # The grant may end while earlier calls are started.
        if not grant.is_valid:
            telemetry.log_event('order_grant_expired', service=order.service)
            return
        key = (order.service, group)
        task = asyncio.get_running_loop().create_task(
            self._call(order, state, grant)
        )
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key, None))

    async def close(self) -> None:
        """Ends all calls, and closes the connections."""
        for task in tuple(self._tasks.values()):
            task.cancel()
        await self._duties.close()

    async def _call(
        self,
        order: platform.WorkerOrder,
        state: _scaling_snapshot.OrderState,
        grant: authority.OrderGrant,
    ) -> None:
        if not grant.is_valid:
            return
        outcome = await self._duties.order_workers(
            self._context.settings.duty_address, order, grant.fence
        )
        group = (order.domain, order.is_spot)
        now = time.monotonic()
        _ORDERS.labels(outcome.result.value).inc()
        self._unanswered.pop((order.service, group), None)
        if outcome.result == _Result.ACCEPTED:
            state.accepted[group] = order.desired
            state.unconfirmed.discard(group)
        elif outcome.result == _Result.UNKNOWN:
            self._unanswered[order.service, group] = _Unanswered(
                order.desired, now, has_status=outcome.has_status
            )
            self._latest_unanswered_s = now
        else:
            state.revert(group)
            state.unavailable_until_s[group] = now + scaling.UNAVAILABLE_S
        if outcome.result == _Result.REJECTED:
            state.rejected_until_s[group] = now + _REJECTED_S
        _log_outcome(order, outcome, grant.fence)


def _log_outcome(
    order: platform.WorkerOrder,
    outcome: platform.WorkerOrderOutcome,
    fence: int,
) -> None:
    inputs = {}
    event = 'worker_order_sent'
    if outcome.result != _Result.ACCEPTED:
        event = 'worker_order_failed'
        inputs = {'result': outcome.result.value, 'reason': outcome.reason}
    telemetry.log_event(
        event,
        service=order.service,
        domain=order.domain,
        spot=order.is_spot,
        desired=order.desired,
        fence=fence,
        **inputs,
    )


def make_worker_order_sending(
    context: _context.Context,
) -> WorkerOrderSending:
    """Makes what sends orders; a running event loop is needed.

    :param context: state of the process.
    """
    return WorkerOrderSending(
        context, platform.make_duties(context.settings.host)
    )
