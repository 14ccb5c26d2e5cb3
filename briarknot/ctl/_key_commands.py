"""Commands for API keys and operators' tokens."""

import getpass
import hashlib
import secrets
import sys

import attrs
import cappa

from briarknot.ctl import _commands, _report

_KEY_BYTES = 32


def hash_key(key: str) -> str:
    """Returns the hash under which documents and settings store a key.

    :param key: API key or token.

    >>> hash_key('k')[:8]
    '8254c329'
    """
    return hashlib.sha256(key.encode()).hexdigest()


@cappa.command(name='new', help='Makes a key and its hash.')
@attrs.frozen
class New:
    """Makes a random key; only its hash belongs in a document."""

    def run(self) -> _report.Report:
        """Makes the key."""
        key = f'bk-{secrets.token_urlsafe(_KEY_BYTES)}'
        return _report.make_report(
            {'key': key, 'hash': hash_key(key)},
            f'key:  {key}',
            f'hash: {hash_key(key)}',
        )


@cappa.command(name='hash', help='Reads a key and prints its hash.')
@attrs.frozen
class Hash:
    """Hashes a key from standard input.

    A key in the arguments would be visible in the process list.
    """

    def run(self) -> _report.Report:
        """Reads and hashes the key."""
        if sys.stdin.isatty():
            key = getpass.getpass('Key: ')
        else:
            key = sys.stdin.readline().rstrip('\r\n')
        return _report.make_report({'hash': hash_key(key)}, hash_key(key))


@_commands.COMMANDS.register('keys')
@cappa.command(name='keys', help='Makes and hashes keys; needs no settings.')
@attrs.frozen
class Keys:
    """Makes and hashes API keys and operators' tokens."""

    action: cappa.Subcommands[New | Hash]

    def run_local(self) -> _report.Report:
        """Runs the command."""
        return self.action.run()
