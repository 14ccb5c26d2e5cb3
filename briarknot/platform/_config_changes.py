"""Differences between two manifests, without the keys of accounts."""

import attrs

from briarknot import document, schema


def compare_configs(
    before: schema.serving.Manifest, after: schema.serving.Manifest
) -> tuple[document.Change, ...]:
    """Returns the differences; of keys only how many there are.

    :param before: the manifest in force.
    :param after: the manifest that is to replace it.
    """
    return (
        *document.compare(_remove_keys(before), _remove_keys(after)),
        *_compare_keys(before, after),
    )


def _remove_keys(manifest: schema.serving.Manifest) -> schema.serving.Manifest:
    accounts = tuple(
        attrs.evolve(one, key_hashes=()) for one in manifest.accounts
    )
    # Findings of the decoder have their own report.
    findings = {
        one.name: ()
        for one in attrs.fields(schema.serving.Manifest)
        if one.name.startswith('invalid_')
    }
    return attrs.evolve(manifest, accounts=accounts, **findings)


def _compare_keys(
    before: schema.serving.Manifest, after: schema.serving.Manifest
) -> tuple[document.Change, ...]:
    old, new = _collect_keys(before), _collect_keys(after)
    changes = []
    for name in dict.fromkeys((*old, *new)):
        old_keys = old.get(name, frozenset())
        new_keys = new.get(name, frozenset())
        if old_keys != new_keys:
            added = len(new_keys - old_keys)
            changes.append(
                document.Change(
                    f'accounts[{name}].keys',
                    str(len(old_keys)),
                    f'{len(new_keys)}, {added} of them new',
                )
            )
    return tuple(changes)


def _collect_keys(
    manifest: schema.serving.Manifest,
) -> dict[str, frozenset[bytes]]:
    keys: dict[str, frozenset[bytes]] = {}
    for account in manifest.accounts:
        known = keys.get(account.name, frozenset())
        keys[account.name] = known.union(account.key_hashes)
    return keys
