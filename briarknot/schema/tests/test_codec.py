"""Guards against values that encoding and decoding change."""

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from briarknot import schema

_REPORT = schema.endpoints.LoadReport(
    role=schema.fleet.Role.DECODE, kv_blocks_free=7, as_of_age_s=0.25
)


@pytest.mark.parametrize('kind', schema.messages.PEER_MESSAGE_MEMBERS)
def test_each_message_survives_encoding(kind):
    """A member mapped to another one would be decoded as the wrong kind."""
    message = kind()
    assert schema.decode(schema.encode(message)) == message


def test_nested_report_survives_encoding():
    """A nested struct or enum could lose its values."""
    message = schema.messages.EngineLoad(engine='obb-1', report=_REPORT)
    assert schema.decode(schema.encode(message)) == message


@hypothesis.given(strategies.binary(max_size=200))
def test_bad_frame_is_a_sentinel(frame):
    """A peer that sends garbage must not raise in the link's task."""
    decoded = schema.decode(frame)
    assert isinstance(decoded, schema.DecodeError) or attrs.has(type(decoded))


def test_plain_tree_keeps_values():
    """A row that is read must equal the row that was written."""
    row = schema.records.OrderRow(
        order=schema.endpoints.Order(epoch=3, sequence=4, value='decode'),
        phase=schema.records.OrderPhase.DRAINING,
    )
    tree = schema.to_plain(row)
    assert schema.from_plain(schema.records.OrderRow, tree) == row


def test_plain_tree_with_wrong_type_is_refused():
    """A text in place of a number must not be accepted."""
    with pytest.raises(TypeError):
        schema.from_plain(schema.messages.Heartbeat, {'revision': '7'})
