"""Directory of client accounts: finds the account that holds a key."""

import typing

import attrs

from briarknot import schema


@attrs.frozen(kw_only=True)
class AccountChanges:
    """What a new manifest changes.

    :param added_accounts: names of added accounts.
    :param withdrawn_accounts: names of withdrawn accounts.
    :param changed_accounts: names of other accounts whose keys changed.
    :param added_keys: number of keys that became valid.
    :param withdrawn_keys: number of keys that are not valid any more.
    :param shared: names of the accounts that hold a key together with others,
        which belongs to none of them; one element for each key.
    """

    added_accounts: tuple[str, ...]
    withdrawn_accounts: tuple[str, ...]
    changed_accounts: tuple[str, ...]
    added_keys: int
    withdrawn_keys: int
    shared: tuple[tuple[str, ...], ...]

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all accounts that changed."""
        return (
            self.added_accounts
            + self.withdrawn_accounts
            + self.changed_accounts
        )


@attrs.define(eq=False)
class AccountDirectory:
    """Client accounts of the manifest in force, by the hashes of their keys.

    >>> AccountDirectory().requires_key
    False
    """

    _by_hash: dict[bytes, schema.serving.Account] = attrs.field(
        factory=dict, repr=False
    )
    _names: set[str] = attrs.field(factory=set, repr=False)
    _requires_key: bool = False
    _has_required_key: bool = False

    @property
    def requires_key(self) -> bool:
        """Whether requests need a key by the manifest in force."""
        return self._requires_key

    @property
    def has_required_key(self) -> bool:
        """Whether they did by any manifest of this process."""
        return self._has_required_key

    @property
    def accounts_count(self) -> int:
        """Number of accounts."""
        return len(self._names)

    @property
    def keys_count(self) -> int:
        """Number of valid keys."""
        return len(self._by_hash)

    def find(self, key_hash: bytes | None) -> schema.serving.Account | None:
        """Finds the account that holds a key.

        :param key_hash: hash of the key; None or empty for no valid key.
        """
        return self._by_hash.get(key_hash) if key_hash else None

    def apply_manifest(
        self, manifest: schema.serving.Manifest
    ) -> AccountChanges:
        """Puts the accounts of a manifest in force.

        :param manifest: the manifest.
        :returns: what it changes.
        """
        before = self._by_hash
        names_before = self._names
        index, shared = _index_keys(manifest.accounts)
        self._by_hash = index
        self._names = {account.name for account in manifest.accounts}
        self._requires_key = manifest.has_accounts
        self._has_required_key |= manifest.has_accounts
        added = self._names - names_before
        withdrawn = names_before - self._names
        changed = _list_changed(before, self._by_hash) - added - withdrawn
        return AccountChanges(
            added_accounts=tuple(sorted(added)),
            withdrawn_accounts=tuple(sorted(withdrawn)),
            changed_accounts=tuple(sorted(changed)),
            added_keys=len(self._by_hash.keys() - before.keys()),
            withdrawn_keys=len(before.keys() - self._by_hash.keys()),
            shared=shared,
        )


_Index = dict[bytes, schema.serving.Account]


def _index_keys(
    accounts: typing.Iterable[schema.serving.Account],
) -> tuple[_Index, tuple[tuple[str, ...], ...]]:
    """Returns the accounts by key, and the names of those that share a key."""
    index: _Index = {}
    shared: dict[bytes, set[str]] = {}
    for account in accounts:
        for key_hash in account.key_hashes:
            other = index.setdefault(key_hash, account)
            if other.name != account.name:
                names = shared.setdefault(key_hash, {other.name})
                names.add(account.name)
    for key_hash in shared:
        del index[key_hash]
    return index, tuple(tuple(sorted(names)) for names in shared.values())


def _list_changed(before: _Index, after: _Index) -> set[str]:
    """Returns the names of the accounts whose keys are not the same."""
    names = {before[one].name for one in before.keys() - after.keys()}
    for key_hash, account in after.items():
        old = before.get(key_hash)
        if old is None or old.name != account.name:
            names.add(account.name)
            names.add(old.name if old else account.name)
    return names
