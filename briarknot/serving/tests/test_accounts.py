"""Tests the directory of client accounts."""

import attrs

from briarknot import schema, serving


def make_account(name, *hashes, **rank):
    """Makes an account."""
    return schema.serving.Account(name=name, key_hashes=hashes, **rank)


def make_manifest(*accounts):
    """Makes a manifest with accounts."""
    return schema.serving.Manifest(accounts=accounts, has_accounts=True)


def test_key_that_accounts_share_belongs_to_none_of_them():
    """Requests of one account would be served as those of another."""
    directory = serving.AccountDirectory()
    accounts = (
        make_account('a', b'1', b'2'),
        make_account('b', b'2', b'3'),
        make_account('c', b'2'),
    )
    changes = directory.apply_manifest(make_manifest(*accounts))
    assert changes.shared == (('a', 'b', 'c'),)
    assert directory.find(b'2') is None
    assert directory.find(b'1') is accounts[0]
    assert directory.find(b'3') is accounts[1]


def test_missing_key_belongs_to_nobody():
    """A request without a key would be served as that of an account."""
    directory = serving.AccountDirectory()
    directory.apply_manifest(make_manifest(make_account('a', b'')))
    assert directory.find(None) is None
    assert directory.find(b'') is None


def test_changes_name_accounts_and_count_keys():
    """Operators couldn't see which keys a version adds or withdraws."""
    directory = serving.AccountDirectory()
    before = (
        make_account('same', b'0'),
        make_account('gone', b'1'),
        make_account('less', b'2', b'3'),
        make_account('from', b'4'),
    )
    after = (
        before[0],
        make_account('new', b'5', b'6'),
        make_account('less', b'2'),
        make_account('from'),
        make_account('to', b'4'),
    )
    directory.apply_manifest(make_manifest(*before))
    changes = directory.apply_manifest(make_manifest(*after))
    assert changes.added_accounts == ('new', 'to')
    assert changes.withdrawn_accounts == ('gone',)
    assert changes.changed_accounts == ('from', 'less')
    assert (changes.added_keys, changes.withdrawn_keys) == (2, 2)
    assert not directory.apply_manifest(make_manifest(*after)).names


def test_accounts_that_end_are_remembered():
    """Keys would be forwarded to workers after the accounts were removed."""
    directory = serving.AccountDirectory()
    manifest = make_manifest(make_account('a', b'1'))
    directory.apply_manifest(manifest)
    without = attrs.evolve(manifest, accounts=(), has_accounts=False)
    directory.apply_manifest(without)
    assert not directory.requires_key
    assert directory.has_required_key
    assert directory.find(b'1') is None
