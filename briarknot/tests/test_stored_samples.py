"""Guards against renamed fields, values and names that leave the process.

``stored_samples.json`` was written by the build of commit 381257e. A process of
that build may run beside this one, and its stored data and settings must still
be read. ``stored_definitions`` holds the definitions of its messages; only the
ids of their files differ, as both are loaded in one process.
"""

import base64
import functools
import gc
import importlib
import json
import pathlib
import pkgutil

import attrs
import capnp
import prometheus_client
import pytest

import briarknot
from briarknot import journal, outcomes, program, registry, schema
from briarknot.journal import _batches
from briarknot.schema._generated import messages

_SAMPLES = json.loads(
    (pathlib.Path(__file__).parent / 'stored_samples.json').read_text()
)
_SCHEMA_MODULES = (schema.records, schema.endpoints, schema.fleet)


@functools.cache
def _load_earlier_messages():
    """Loads the definitions by which the earlier build reads messages."""
    path = pathlib.Path(__file__).parent / 'stored_definitions/messages.capnp'
    return capnp.SchemaParser().load(str(path))


def _drop_added_fields(value, sample):
    """Returns the plain value without fields that the earlier build lacks.

    Those must have their default, since the sample can't hold them.
    """
    plain = schema.to_plain(value)
    if isinstance(value, (tuple, schema.DeferredList)):
        return [
            _drop_added_fields(*pair)
            for pair in zip(value, sample, strict=True)
        ]
    if not attrs.has(type(value)):
        return plain
    for field in attrs.fields(type(value)):
        inner = getattr(value, field.name)
        if field.name in sample:
            plain[field.name] = _drop_added_fields(inner, sample[field.name])
        else:
            assert inner == _read_default(field)
            del plain[field.name]
    return plain


def _read_default(field):
    """Returns the default of a field; that of a nested struct is a factory."""
    if isinstance(field.default, attrs.Factory):
        return field.default.factory()
    return field.default


def _find_kind(name):
    return next(
        getattr(module, name)
        for module in _SCHEMA_MODULES
        if hasattr(module, name)
    )


@pytest.fixture(scope='module')
def _all_modules():
    """Imports all modules, which fills the registries and the metrics."""
    for info in pkgutil.walk_packages(briarknot.__path__, 'briarknot.'):
        is_program = info.name.endswith(('.__main__', '.gateway.service'))
        if not is_program and '.tests' not in info.name:
            importlib.import_module(info.name)


@pytest.mark.parametrize('member', sorted(_SAMPLES['messages']))
def test_message_is_decoded_and_encoded_as_before(member):
    """Processes of two builds would drop each other's messages."""
    sample = _SAMPLES['messages'][member]
    packed = base64.b64decode(sample['packed'])
    value = schema.decode(packed)
    assert messages.PEER_MESSAGE_MEMBERS[type(value)] == member
    assert _drop_added_fields(value, sample['fields']) == sample['fields']
    earlier = _load_earlier_messages()
    sent, sent_before = (
        earlier.PeerMessage.from_bytes_packed(one).to_dict()
        for one in (schema.encode(value), packed)
    )
    assert sent == sent_before


@pytest.mark.parametrize('name', sorted(_SAMPLES['records']))
def test_stored_value_is_read_and_written_as_before(name):
    """Rows, reports and documents of another build would lose fields."""
    plain = _SAMPLES['records'][name]
    assert schema.to_plain(schema.from_plain(_find_kind(name), plain)) == plain


def test_journal_batch_is_read():
    """Requests that another build recorded could not be explained."""
    sample = _SAMPLES['journal']
    batch = _batches.decode_batch(base64.b64decode(sample['packed']))
    assert schema.to_plain(batch) == sample['fields']
    assert all(journal.explain(record) for record in batch.records)


@pytest.mark.parametrize('name', sorted(_SAMPLES['settings']))
def test_settings_are_read(name, tmp_path):
    """A program would not start with the settings of another build."""
    path = tmp_path / 'settings'
    sample = _SAMPLES['settings'][name]
    path.write_text(json.dumps(sample))
    settings = program.read_settings(getattr(schema.settings, name), path)
    assert _drop_added_fields(settings, sample) == sample


@pytest.mark.usefixtures('_all_modules')
def test_registered_names_are_kept():
    """A document that names a removed policy would be rejected."""
    known = {
        one.name: set(one.names)
        for one in gc.get_objects()
        if isinstance(one, registry.Registry)
    }
    for name, members in _SAMPLES['registries'].items():
        assert set(members) <= known[name]


@pytest.mark.usefixtures('_all_modules')
def test_metrics_are_kept():
    """Dashboards and alerts would lose a renamed metric or label."""
    known = {
        collector._name: {
            'type': collector._type,
            'labels': list(collector._labelnames),
        }
        for collector in prometheus_client.REGISTRY._collector_to_names
        if hasattr(collector, '_labelnames')
    }
    for name, sample in _SAMPLES['metrics'].items():
        assert known[name] == sample


def test_causes_are_kept():
    """Callers and operators match on the names of causes."""
    assert set(_SAMPLES['causes']) <= {one.value for one in outcomes.Cause}
