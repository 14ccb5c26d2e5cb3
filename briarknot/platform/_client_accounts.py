"""Decodes the operators' client accounts; keys are replaced by their hashes.

The text of a finding never holds a key, nor any other value of an entry except
the name of its account.
"""

import hashlib
import re
import secrets
import typing

import attrs

from briarknot import schema

_BEARER = 'bearer'
#: Its key is random in each process, so that the time of a look-up says nothing
#: about a key and a hash can't be searched for outside of the process.
_HASHER = hashlib.blake2b(digest_size=16, key=secrets.token_bytes(32))
#: Largest number of bytes of a name, which workers get as a header.
_MAX_NAME_BYTES = 1000
#: Least urgent rank; larger priorities count as this one, since messages hold
#: ranks in one byte together with small offsets.
_MAX_RANK = 200
#: What a header can hold without a change: no control characters except tabs,
#: and no blanks at the ends.
_HEADER_TEXT = re.compile(r'(?![ \t])(?:[^\x00-\x08\x0a-\x1f\x7f])+(?<![ \t])')
_BLANKS = ' \t'


@attrs.frozen
class DecodedAccounts:
    """Accounts of a manifest.

    :param accounts: accounts that can be used, with the hashes of their keys.
    :param findings: what is wrong with entries.
    """

    accounts: tuple[schema.serving.Account, ...] = ()
    findings: tuple[str, ...] = ()


def decode_accounts(tree: typing.Any) -> DecodedAccounts:
    """Decodes the list of client accounts.

    :param tree: plain value of the list.
    :raises TypeError: where it is no list.
    """
    if not isinstance(tree, list):
        raise TypeError('expected a list of accounts')
    findings: list[str] = []
    accounts = []
    for number, entry in enumerate(tree):
        wrong: list[str] = []
        account = _decode_account(entry, wrong)
        if account is not None:
            accounts.append(account)
        if wrong:
            name = f' ({account.name:.100})' if account else ''
            findings.extend(f'account {number}{name}: {one}' for one in wrong)
    return DecodedAccounts(tuple(accounts), tuple(findings))


def decode_key(values: typing.Sequence[str]) -> bytes | None:
    """Decodes the key of a request.

    :param values: values of the headers that may hold it.
    :returns: hash of the key; None where there is no header, empty where there
        is no readable key.
    """
    if not values:
        return None
    scheme, _, key = values[0].partition(' ')
    key = key.strip(_BLANKS)
    if len(values) > 1 or scheme.lower() != _BEARER or not key:
        return b''
    # The HTTP library decodes bytes that are not UTF-8 in the same way.
    return _hash_key(key.encode('utf-8', 'surrogateescape'))


def _hash_key(key: bytes) -> bytes:
    hasher = _HASHER.copy()
    hasher.update(key)
    return hasher.digest()


def _decode_account(
    entry: typing.Any, wrong: list[str]
) -> schema.serving.Account | None:
    """Decodes an entry, and adds what is wrong with it to a list."""
    if not isinstance(entry, dict):
        wrong.append('no object')
        return None
    name = entry.get('name')
    if not isinstance(name, str) or not name:
        wrong.append('no name')
        return None
    if not _HEADER_TEXT.fullmatch(name) or len(name.encode()) > _MAX_NAME_BYTES:
        wrong.append('a header can not hold its name')
        return None
    rank = _decode_rank(entry.get('priority'), wrong)
    return schema.serving.Account(
        name=name,
        key_hashes=_decode_keys(entry.get('apiKeys'), wrong),
        has_rank=rank is not None,
        rank=rank or 0,
    )


def _decode_keys(tree: typing.Any, wrong: list[str]) -> tuple[bytes, ...]:
    if not isinstance(tree, list):
        wrong.append('no list of keys')
        return ()
    hashes = {}
    for number, key in enumerate(tree):
        if not isinstance(key, str):
            wrong.append(f'key {number} is no text')
        elif not key:
            wrong.append(f'key {number} is empty')
        elif _HEADER_TEXT.fullmatch(key):
            hashes[_hash_key(key.encode())] = None
        else:
            wrong.append(f'a header can not hold key {number}')
    return tuple(hashes)


def _decode_rank(tree: typing.Any, wrong: list[str]) -> int | None:
    if tree is None:
        return None
    if isinstance(tree, bool) or not isinstance(tree, int) or tree < 0:
        wrong.append('its priority is no number from 0')
        return None
    return min(tree, _MAX_RANK)
