"""Messages of all kinds, and of earlier versions."""

import typing

import attrs
import capnp
import hypothesis
import pytest
from hypothesis import strategies as st

from briarknot import schema

_KINDS = tuple(schema.messages.PEER_MESSAGE_MEMBERS)
_SCALARS = {
    str: st.text(max_size=20),
    bool: st.booleans(),
    float: st.floats(allow_nan=False),
}
#: Definition of an earlier version, with placeholders for unused members.
_EARLIER_DEFINITION = """
@0xf00dfeedf00dfeed;
struct PeerMessage {
  union {
MEMBERS
    engineWork @14 :EngineWork;
  }
}
struct EngineWork {
  host @0 :Text;
  sequence @1 :UInt64;
  bornMs @2 :UInt64;
  workers @3 :List(WorkerWork);
}
struct WorkerWork {
  worker @0 :Text;
  tokens @1 :UInt32;
}
"""


def make_values(kind, info=None):
    """Returns a strategy for values of a field's type."""
    if typing.get_origin(kind) is tuple:
        elements = make_values(typing.get_args(kind)[0])
        return st.lists(elements, max_size=3).map(tuple)
    if attrs.has(kind):
        return st.builds(
            kind,
            **{
                attribute.name: make_values(
                    schema.get_field_types(kind)[attribute.name],
                    schema.get_field_info(attribute),
                )
                for attribute in attrs.fields(kind)
            },
        )
    if kind is int:
        return st.integers(int(info.minimum), int(info.maximum))
    if kind in _SCALARS:
        return _SCALARS[kind]
    return st.sampled_from(kind)


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(st.sampled_from(_KINDS).flatmap(make_values))
def test_messages_of_all_kinds_arrive_as_sent(message):
    """A field that is left out would arrive with its default."""
    assert schema.decode(schema.encode(message)) == message


def test_number_out_of_range_is_not_truncated():
    """A negative number would arrive as a huge one."""
    work = schema.messages.WorkerWork(worker='w', tokens=-1)
    with pytest.raises(Exception, match='out-of-range'):
        schema.encode(schema.messages.EngineWork(workers=(work,)))


def test_shorter_structs_of_an_earlier_version_are_read(tmp_path):
    """A message without a later field would be dropped."""
    path = tmp_path / 'earlier.capnp'
    unused = '\n'.join(f'm{number} @{number} :Void;' for number in range(14))
    path.write_text(_EARLIER_DEFINITION.replace('MEMBERS', unused))
    member = {'host': 'g', 'workers': [{'worker': 'w', 'tokens': 7}]}
    earlier = capnp.load(str(path)).PeerMessage.new_message(engineWork=member)
    assert schema.decode(earlier.to_bytes_packed()) == (
        schema.messages.EngineWork(
            host='g',
            workers=(schema.messages.WorkerWork(worker='w', tokens=7),),
        )
    )


def test_malformed_text_is_a_sentinel():
    """Text that is not UTF-8 must not raise in the receiving task."""
    data = schema.encode(schema.messages.StageChanges(host='hhh'))
    assert data.count(b'hhh') == 1
    decoded = schema.decode(data.replace(b'hhh', b'\xff\xff\xff'))
    assert isinstance(decoded, schema.DecodeError)
