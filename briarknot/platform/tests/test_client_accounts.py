"""Tests that the manifest's client accounts are read, and their keys hidden."""

import pytest

from briarknot import platform
from briarknot.platform import _client_accounts

_MANIFEST = {
    'version': 1,
    'routes': [],
    'services': [],
    'limits': {
        'maxHeaderBytes': 1,
        'maxBodyBytes': 1,
        'headerTimeoutMs': 1,
        'idleTimeoutMs': 1,
    },
}
_KEY = 'secret-key'


def decode(*entries):
    """Decodes a manifest with accounts."""
    return platform.decode_manifest({**_MANIFEST, 'tenants': list(entries)})


def make_entry(**changes):
    """Makes the entry of an account."""
    return {'name': 'a', 'apiKeys': [_KEY], **changes}


@pytest.mark.parametrize(
    ('entry', 'finding'),
    [
        (_KEY, 'no object'),
        (make_entry(name=''), 'no name'),
        (make_entry(name=[_KEY]), 'no name'),
        (make_entry(name=f'{_KEY}\n'), 'a header can not hold its name'),
        (make_entry(name=' a'), 'a header can not hold its name'),
        (make_entry(apiKeys=_KEY), 'no list of keys'),
        (make_entry(apiKeys=['']), 'key 0 is empty'),
        (make_entry(apiKeys=[{_KEY: 1}]), 'key 0 is no text'),
        (make_entry(apiKeys=[f'{_KEY}\0']), 'a header can not hold key 0'),
        (
            make_entry(apiKeys=[f'{_KEY}\r\nX: y']),
            'a header can not hold key 0',
        ),
        (make_entry(priority=_KEY), 'its priority is no number from 0'),
        (make_entry(priority=-1), 'its priority is no number from 0'),
    ],
)
def test_invalid_entry_leaves_the_others_usable(entry, finding):
    """One wrong entry would stop the manifest, or its key would be logged."""
    manifest = decode(entry, make_entry(name='b', apiKeys=['other']))
    assert manifest.accounts[-1].name == 'b'
    assert len(manifest.accounts[-1].key_hashes) == 1
    assert manifest.has_accounts
    assert len(manifest.invalid_accounts) == 1
    found = manifest.invalid_accounts[0]
    assert found.startswith('account 0') and found.endswith(finding)
    assert _KEY not in repr(manifest)


@pytest.mark.parametrize('accounts', [_KEY, {'a': _KEY}, 7, False])
def test_accounts_that_are_no_list_are_not_put_in_force(accounts):
    """All requests would be refused, or admitted without a key."""
    manifest = platform.decode_manifest({**_MANIFEST, 'tenants': accounts})
    assert isinstance(manifest, platform.Malformed)
    assert _KEY not in manifest.reason


@pytest.mark.parametrize(
    ('value', 'is_known'),
    [
        (f'Bearer {_KEY}', True),
        (f'bearer  {_KEY} ', True),
        (f'Basic {_KEY}', False),
        (f'Bearer{_KEY}', False),
        (_KEY, False),
        ('Bearer', False),
        ('Bearer ', False),
        ('Bearer another', False),
        ('', False),
    ],
)
def test_key_of_a_request_is_read(value, is_known):
    """A request would be served, or refused, for the form of its header."""
    known = decode(make_entry()).accounts[0].key_hashes
    assert (_client_accounts.decode_key([value]) in known) is is_known


def test_request_with_two_keys_has_none():
    """Another program before the gateway may have checked the other key."""
    value = f'Bearer {_KEY}'
    assert not _client_accounts.decode_key([value, value])
    assert _client_accounts.decode_key([]) is None


def test_manifest_without_accounts_needs_no_keys():
    """Deployments without accounts would refuse all requests."""
    manifest = platform.decode_manifest(_MANIFEST)
    assert (manifest.has_accounts, manifest.accounts) == (False, ())
    assert decode().has_accounts


def test_repeated_key_and_large_priority_are_accepted():
    """An account would lose its key, or its rank would not fit messages."""
    entry = make_entry(apiKeys=[_KEY, _KEY], priority=9000)
    account = decode(entry).accounts[0]
    assert len(account.key_hashes) == 1
    assert (account.has_rank, account.rank) == (True, 200)


def test_null_is_no_absent_list():
    """All routes would be open."""
    manifest = platform.decode_manifest({**_MANIFEST, 'tenants': None})
    assert isinstance(manifest, platform.Malformed)


def test_row_is_shown_without_its_value():
    """Keys would be in each log line that shows a row."""
    page = platform.Page((platform.Row('config', {'apiKeys': [_KEY]}, 1),), 1)
    assert _KEY not in repr(page)
