"""Guards against orders that collide with requests or another order."""

import attrs
import pytest

from briarknot import schema
from briarknot.control import _decisions

_EnginePhase = schema.endpoints.EnginePhase
_OrderStatus = _decisions.OrderStatus
_Phase = schema.records.OrderPhase
_Role = schema.fleet.Role
_ORDER = schema.endpoints.Order(epoch=3, sequence=7, value='decode')
_ROW = schema.records.OrderRow(order=_ORDER, phase=_Phase.OPEN)
_STATE = schema.endpoints.EngineState(
    epoch=3, sequence=7, log=(_ORDER,), model='m@1', role=_Role.DECODE
)
_LATER = schema.endpoints.Order(epoch=4, sequence=8)
_OLD = schema.endpoints.EngineState(epoch=2, sequence=6, model='m@1')
_DRAIN = _decisions.Drain(
    waiting=(),
    drained_s=10,
    phase=_EnginePhase.IDLE,
    report_as_of_s=11,
    idle_since_s=9,
)


@pytest.mark.parametrize(
    ('phase', 'state', 'status'),
    [
        (_Phase.DONE, _OLD, _OrderStatus.SETTLED),
        (_Phase.DRAINING, _STATE, _OrderStatus.NOT_SENT),
        (_Phase.OPEN, _STATE, _OrderStatus.DONE),
        (_Phase.OPEN, _OLD, _OrderStatus.UNSEEN),
        # An engine that crashed during the change has lost its orders.
        (_Phase.OPEN, schema.endpoints.EngineState(), _OrderStatus.UNSEEN),
        (
            _Phase.OPEN,
            attrs.evolve(_STATE, phase=_EnginePhase.CHANGING),
            _OrderStatus.RUNNING,
        ),
        (
            _Phase.OPEN,
            attrs.evolve(_STATE, epoch=4, sequence=8, log=(_ORDER, _LATER)),
            _OrderStatus.DONE,
        ),
    ],
)
def test_order_status_of_row_and_state(phase, state, status):
    """An order must count as done only if the engine has confirmed it."""
    row = attrs.evolve(_ROW, phase=phase)
    assert _decisions.get_order_status(row, state) is status


@pytest.mark.parametrize(
    'progress',
    [
        {'waiting': ('h1',)},
        {'drained_s': None},
        {'phase': _EnginePhase.CHANGING},
        {'idle_since_s': None},
        {'report_as_of_s': 10},
        {'idle_since_s': 12.5},
    ],
)
def test_drain_needs_every_condition(progress):
    """An order must not interrupt a request that no load report shows yet."""
    assert not _decisions.check_drain(_DRAIN, 13, 2)
    assert _decisions.check_drain(attrs.evolve(_DRAIN, **progress), 13, 2)


def test_order_needs_the_lease_of_its_epoch():
    """An order must not be sent with another epoch, or too early or late."""
    assert not _decisions.check_authority(_ORDER, 3, 0.1, -1)
    assert _decisions.check_authority(_ORDER, 4, 0.1, -1)
    assert _decisions.check_authority(_ORDER, 3, 0, -1)
    assert _decisions.check_authority(_ORDER, 3, 0.1, 0.1)


@pytest.mark.parametrize(
    ('row', 'state'),
    [
        ({'phase': _Phase.VOID}, _STATE),
        ({}, attrs.evolve(_STATE, sequence=9)),
        ({}, attrs.evolve(_STATE, role=_Role.MIXED)),
        ({}, attrs.evolve(_STATE, model='m@2')),
        ({}, schema.endpoints.EngineState()),
    ],
)
def test_unordered_state_is_found(row, state):
    """A state that nobody ordered must raise an alarm."""
    done = attrs.evolve(_ROW, phase=_Phase.DONE, role=_Role.DECODE, model='m@1')
    assert not _decisions.describe_unordered(done, _STATE)
    assert _decisions.describe_unordered(attrs.evolve(done, **row), state)


@pytest.mark.parametrize(
    ('target', 'state', 'kind'),
    [
        ({}, {}, None),
        ({'leaving': True, 'model': 'm@2'}, {}, 'withdraw'),
        ({'leaving': True}, {'phase': _EnginePhase.WITHDRAWN}, None),
        ({'model': 'm@2', 'role': _Role.MIXED}, {}, 'model'),
        ({'role': _Role.MIXED}, {}, 'role'),
        ({}, {'phase': _EnginePhase.WITHDRAWN}, 'role'),
    ],
)
def test_document_comes_before_plan(target, state, kind):
    """A leaving engine must not first load a model or change its role."""
    wanted = _decisions.Target(**{'model': 'm@1', **target})
    change = _decisions.choose_change(wanted, attrs.evolve(_STATE, **state))
    assert (change and change.kind) == kind


def test_fencing_change_keeps_the_state():
    """An order that only blocks another order must change nothing else."""
    model = attrs.evolve(_ORDER, kind=schema.endpoints.OrderKind.MODEL)
    assert _decisions.make_fencing_change(model, _OLD).value == 'mixed'
    assert _decisions.make_fencing_change(_ORDER, _OLD).value == 'decode'
    withdrawn = attrs.evolve(_STATE, phase=_EnginePhase.WITHDRAWN)
    assert _decisions.make_fencing_change(_ORDER, withdrawn).kind == 'withdraw'
    number = _decisions.choose_number(_ROW, attrs.evolve(_STATE, sequence=9), 5)
    assert number == _decisions.Number(5, 10)
