"""Choice of the owner of a name by rendezvous hashing."""

import typing

import xxhash


def choose_owner(name: str, members: typing.Iterable[str]) -> str:
    """Returns the member that owns a name.

    Members with the same list agree without messages. A change of the list
    moves only the names of the members that were removed or added.

    :param name: what is owned, such as a limit or the polling of an engine.
    :param members: names of the hosts that may own it.
    :returns: a member's name; empty where there is no member.

    >>> choose_owner('account-a', ['h1', 'h2']) in {'h1', 'h2'}
    True
    """

    def weigh(member: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f'{member}\0{name}'.encode()), member

    return max(members, key=weigh, default='')
