"""Decisions on order rows, engine states, and orders, as pure functions."""

import collections.abc
import enum

import attrs

from briarknot import schema

_Phase = schema.records.OrderPhase
_EnginePhase = schema.endpoints.EnginePhase
_Kind = schema.endpoints.OrderKind

#: Phases of an engine's row in which entry processes must not dispatch.
ACTIVE = frozenset((_Phase.DRAINING, _Phase.OPEN))

#: A state or a load report; both have number, phase, role, and model.
State = schema.endpoints.EngineState | schema.endpoints.LoadReport


class OrderStatus(enum.StrEnum):
    """Status of an order, from its row and the engine's state."""

    #: No order is under way.
    SETTLED = 'settled'
    #: The order has not been sent.
    NOT_SENT = 'not sent'
    #: The engine is executing the order.
    RUNNING = 'running'
    #: The engine has executed the order.
    DONE = 'done'
    #: The engine does not know the order, which may still arrive.
    UNSEEN = 'unseen'


@attrs.frozen(order=True)
class Number:
    """Fencing number of an order.

    :param epoch: lease epoch of the sender.
    :param sequence: sequence number for the engine.
    """

    epoch: int = 0
    sequence: int = 0


@attrs.frozen
class Change:
    """A change that an engine needs.

    :param kind: what is changed.
    :param value: the role, or the model as NAME@VERSION.
    :param reason: why.
    """

    kind: schema.endpoints.OrderKind
    value: str
    reason: str

    def is_like(self, other: 'Change | None') -> bool:
        """Returns whether another change has the same effect."""
        if other is None:
            return False
        return (self.kind, self.value) == (other.kind, other.value)


@attrs.frozen(kw_only=True)
class Target:
    """Desired state of an engine.

    :param model: model and version, as NAME@VERSION.
    :param leaving: whether it is being withdrawn.
    :param role: role that the planner wants, or that was ordered last; None
        where there is neither.
    :param reason: why the role is wanted.
    """

    model: str
    leaving: bool = False
    role: schema.fleet.Role | None = None
    reason: str = 'ordered last'


@attrs.frozen(kw_only=True)
class Drain:
    """Progress of a drain.

    :param waiting: hosts that have not confirmed that nothing is in flight.
    :param drained_s: time since which all hosts have confirmed; None where
        some have not.
    :param phase: the engine's phase.
    :param report_as_of_s: time of the latest load report's figures.
    :param idle_since_s: time since which reports show no work; None where
        the latest shows some.
    """

    waiting: tuple[str, ...]
    drained_s: float | None
    phase: schema.endpoints.EnginePhase
    report_as_of_s: float
    idle_since_s: float | None


def get_number(state: State | schema.endpoints.Order) -> Number:
    """Returns the number of an order, or of the last accepted one."""
    return Number(state.epoch, state.sequence)


def get_order_status(
    row: schema.records.OrderRow, state: schema.endpoints.EngineState
) -> OrderStatus:
    """Determines the status of the order in a row.

    :param row: the engine's row.
    :param state: the engine's state.
    """
    if row.phase not in ACTIVE:
        return OrderStatus.SETTLED
    if row.phase is _Phase.DRAINING:
        return OrderStatus.NOT_SENT
    if get_number(state) == get_number(row.order):
        is_running = state.phase is _EnginePhase.CHANGING
        return OrderStatus.RUNNING if is_running else OrderStatus.DONE
    # The engine accepts a later order only after it has executed this one.
    return OrderStatus.DONE if row.order in state.log else OrderStatus.UNSEEN


def describe_unordered(row: schema.records.OrderRow, state: State) -> str:
    """Describes how an engine's state differs from what was ordered.

    :param row: the engine's row, in phase done or void.
    :param state: the engine's state.
    :returns: the difference; empty where there is none.
    """
    ordered = get_number(row.order)
    accepted = get_number(state)
    # A void order was not sent, so its number can't have been accepted.
    is_void = row.phase is _Phase.VOID and ordered > Number()
    if accepted > ordered or (is_void and accepted == ordered):
        return f'order {accepted.epoch}.{accepted.sequence} was not issued'
    # An engine that never had an order may have any state.
    if row.model and state.phase is not _EnginePhase.CHANGING:
        if state.role != row.role:
            return f'role {state.role}, ordered {row.role}'
        if state.model != row.model:
            return f'model {state.model}, ordered {row.model}'
    return ''


def choose_change(target: Target, state: State) -> Change | None:
    """Chooses the next change that brings an engine to its target.

    :param target: desired state of the engine.
    :param state: its current state.
    """
    is_withdrawn = state.phase is _EnginePhase.WITHDRAWN
    if target.leaving:
        change = Change(_Kind.WITHDRAW, '', 'leaving in the document')
        return None if is_withdrawn else change
    if state.model != target.model:
        reason = f'the document asks for {target.model}'
        return Change(_Kind.MODEL, target.model, reason)
    role = target.role or state.role
    if is_withdrawn:
        return Change(_Kind.ROLE, role.value, 'no longer leaving')
    if role != state.role:
        return Change(_Kind.ROLE, role.value, target.reason)
    return None


def make_fencing_change(
    order: schema.endpoints.Order, state: schema.endpoints.EngineState
) -> Change:
    """Makes a change whose fencing number blocks an earlier order.

    :param order: the order that may still arrive; a role order is repeated.
    :param state: the engine's state, which the change otherwise keeps.
    """
    reason = f'order {order.epoch}.{order.sequence} may still arrive'
    if state.phase is _EnginePhase.WITHDRAWN:
        return Change(_Kind.WITHDRAW, '', reason)
    is_role = order.kind is _Kind.ROLE
    return Change(
        _Kind.ROLE, order.value if is_role else state.role.value, reason
    )


def choose_number(
    row: schema.records.OrderRow, state: State, epoch: int
) -> Number:
    """Chooses a number above all that the engine may have received.

    :param row: the engine's row.
    :param state: the engine's state.
    :param epoch: lease epoch of this process.
    """
    return Number(epoch, max(row.order.sequence, state.sequence) + 1)


def check_drain(drain: Drain, now_s: float, report_lag_s: float) -> str:
    """Returns why an engine is not known to be free of work.

    :param drain: progress of the drain.
    :param now_s: monotonic time in seconds.
    :param report_lag_s: largest lag of load reports, in seconds.
    :returns: the reason; empty where an order may be sent.
    """
    if drain.waiting or drain.drained_s is None:
        return f'waits for {", ".join(drain.waiting)}'
    if drain.phase is _EnginePhase.CHANGING:
        return 'the engine is changing'
    if drain.idle_since_s is None:
        return 'the engine reports work'
    if drain.report_as_of_s <= drain.drained_s:
        return 'no report since the last request ended'
    if now_s - max(drain.idle_since_s, drain.drained_s) <= report_lag_s:
        return 'not idle for longer than the report lag'
    return ''


def check_authority(
    order: schema.endpoints.Order,
    epoch: int,
    remaining_s: float,
    quiet_remaining_s: float,
) -> str:
    """Returns why an order must not be sent at this moment.

    :param order: the order.
    :param epoch: lease epoch of this process.
    :param remaining_s: seconds until the process deadline of the lease.
    :param quiet_remaining_s: seconds until no order of an earlier holder can
        arrive any more.
    :returns: the reason; empty where it may be sent.
    """
    if remaining_s <= 0:
        return 'the lease is not held'
    if order.epoch != epoch:
        return f'the order is of epoch {order.epoch}, the lease of {epoch}'
    if quiet_remaining_s > 0:
        return 'an order of an earlier holder may still arrive'
    return ''


def find_unconfirmed_hosts(
    required: collections.abc.Iterable[str],
    acks: collections.abc.Mapping[str, schema.messages.DrainAck],
    drain_number: int,
) -> tuple[str, ...]:
    """Finds hosts that have not confirmed that nothing is in flight.

    :param required: hosts that must confirm.
    :param acks: latest answer of each host.
    :param drain_number: number of the drain.

    >>> ack = schema.messages.DrainAck(drain_number=4, in_flight=0)
    >>> find_unconfirmed_hosts(['h1', 'h2'], {'h1': ack}, 4)
    ('h2',)
    """
    return tuple(
        host
        for host in sorted(required)
        if host not in acks
        or acks[host].drain_number != drain_number
        or acks[host].in_flight
    )
