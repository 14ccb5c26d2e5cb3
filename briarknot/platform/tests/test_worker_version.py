"""Tests that the version of a worker's software is read from its entry."""

import pytest

from briarknot import platform

_ENTRY = {
    'service': 's',
    'address': '127.0.0.1:1',
    'zone': 'a',
    'slots': 4,
    'state': 'ready',
    'coldRemainingMs': 0,
}


def test_version_of_an_entry_is_read():
    """Streams went on at workers of any version."""
    worker = platform.decode_worker('w', {**_ENTRY, 'version': 'v1.1'})
    assert worker.version == 'v1.1'


def test_entry_without_a_version_has_an_empty_one():
    """Workers that state no version would not be used at all."""
    assert not platform.decode_worker('w', _ENTRY).version


@pytest.mark.parametrize('version', [None, 7, '', ['v1'], 'v' * 300])
def test_entry_with_a_version_of_another_type_is_malformed(version):
    """An entry of another writer would name a worker to use."""
    worker = platform.decode_worker('w', {**_ENTRY, 'version': version})
    assert isinstance(worker, platform.Malformed)
