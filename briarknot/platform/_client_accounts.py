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
#: Random in each process, so that the time of a look-up says nothing about a key
#: and a hash can't be searched for outside of the process.
_HASH_KEY = secrets.token_bytes(32)
_HASH_BYTES = 16
#: Largest number of bytes of a name, which workers get as a header.
_MAX_NAME_BYTES = 1000
#: Least urgent rank; larger priorities count as this one, since messages hold
#: ranks in one byte together with small offsets.
_MAX_RANK = 200
#: Characters that no header can hold.
_CONTROL_CHARACTERS = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')
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
        account = _decode_account(entry, f'account {number}', findings)
        if account is not None:
            accounts.append(account)
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
    return hashlib.blake2b(key, digest_size=_HASH_BYTES, key=_HASH_KEY).digest()


def _decode_account(
    entry: typing.Any, place: str, findings: list[str]
) -> schema.serving.Account | None:
    if not isinstance(entry, dict):
        findings.append(f'{place}: no object')
        return None
    name = entry.get('name')
    if not isinstance(name, str) or not name:
        findings.append(f'{place}: no name')
        return None
    if not _fits_header(name) or len(name.encode()) > _MAX_NAME_BYTES:
        findings.append(f'{place}: a header can not hold its name')
        return None
    place = f'{place} ({name:.100})'
    rank = _decode_rank(entry.get('priority'), place, findings)
    return schema.serving.Account(
        name=name,
        key_hashes=_decode_keys(entry.get('apiKeys'), place, findings),
        has_rank=rank is not None,
        rank=rank or 0,
    )


def _decode_keys(
    tree: typing.Any, place: str, findings: list[str]
) -> tuple[bytes, ...]:
    if not isinstance(tree, list):
        findings.append(f'{place}: no list of keys')
        return ()
    hashes = {}
    for number, key in enumerate(tree):
        if not isinstance(key, str):
            findings.append(f'{place}: key {number} is no text')
        elif not key:
            findings.append(f'{place}: key {number} is empty')
        elif not _fits_header(key):
            findings.append(f'{place}: a header can not hold key {number}')
        else:
            hashes[_hash_key(key.encode())] = None
    return tuple(hashes)


def _decode_rank(
    tree: typing.Any, place: str, findings: list[str]
) -> int | None:
    if tree is None:
        return None
    if isinstance(tree, bool) or not isinstance(tree, int) or tree < 0:
        findings.append(f'{place}: its priority is no number from 0')
        return None
    return min(tree, _MAX_RANK)


def _fits_header(text: str) -> bool:
    """Returns whether a header can hold a text without changing it.

    >>> [_fits_header(one) for one in ('a b', ' a', chr(10), 'é')]
    [True, False, False, True]
    """
    is_trimmed = text.strip(_BLANKS) == text
    return is_trimmed and not _CONTROL_CHARACTERS.search(text)
