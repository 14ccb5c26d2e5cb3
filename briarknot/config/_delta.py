"""Differences by which nodes follow the document.

A document of 16,000 accounts has 4 MB and takes seconds to read. At 1,400
changes a day no node may spend that on each change, so that each commit also
writes its difference to the document before.
"""

import typing

import attrs
import orjson

from briarknot import schema

_Named = dict[str, typing.Any]


def _read_lists(fleet: schema.fleet.Fleet) -> dict[str, tuple]:
    """Returns the lists of a document by the names of their fields."""
    plain = attrs.asdict(fleet, recurse=False)
    return {
        name: members
        for name, members in plain.items()
        if isinstance(members, tuple)
    }


def _by_name(members: tuple) -> _Named:
    return {member.name: member for member in members}


def make_delta(
    before: schema.fleet.Fleet,
    after: schema.fleet.Fleet,
    base_attempt_id: str,
) -> schema.records.DocumentDelta:
    """Makes the difference between two documents.

    :param before: document that it applies to.
    :param after: document that it results in.
    :param base_attempt_id: id of the commit of the document before.

    >>> old = schema.fleet.Fleet(models=(schema.fleet.Model(name='m'),))
    >>> make_delta(old, schema.fleet.Fleet(), 'a').removed[0].names
    ('m',)
    """
    old_lists = _read_lists(before)
    changed: dict[str, tuple] = {}
    removed: list[schema.records.RemovedNames] = []
    whole: list[str] = []
    for list_name, members in _read_lists(after).items():
        old = _by_name(old_lists[list_name])
        new = _by_name(members)
        gone = tuple(name for name in old if name not in new)
        kept = [name for name in old if name in new]
        added = [name for name in new if name not in old]
        if [*kept, *added] == list(new):
            changed[list_name] = tuple(
                member
                for name, member in new.items()
                if old.get(name) != member
            )
        else:
            changed[list_name] = members
            whole.append(list_name)
        if gone:
            removed.append(
                schema.records.RemovedNames(list=list_name, names=gone)
            )
    return schema.records.DocumentDelta(
        base_attempt_id=base_attempt_id,
        changed=attrs.evolve(after, **changed),
        removed=tuple(removed),
        whole=tuple(whole),
    )


def decode_delta(body: bytes) -> schema.records.DocumentDelta | None:
    """Reads a difference; returns None where it is damaged.

    :param body: JSON, as :func:`encode_delta` writes it.
    """
    try:
        return schema.from_plain(
            schema.records.DocumentDelta, orjson.loads(body)
        )
    except (TypeError, ValueError):
        return None


def encode_delta(delta: schema.records.DocumentDelta) -> bytes:
    """Writes a difference as JSON.

    :param delta: the difference.
    """
    return orjson.dumps(schema.to_plain(delta))


def apply_delta(
    fleet: schema.fleet.Fleet, delta: schema.records.DocumentDelta
) -> schema.fleet.Fleet:
    """Applies a difference to the document that it was made from.

    :param fleet: document of the commit ``delta.base_attempt_id``.
    :param delta: the difference.
    """
    gone = {names.list: set(names.names) for names in delta.removed}
    lists = {}
    for list_name, changed in _read_lists(delta.changed).items():
        if list_name in delta.whole:
            continue
        old = getattr(fleet, list_name)
        # Members that did not change keep their identity, which makes the
        # comparison by those who follow the document cheap.
        if not changed and list_name not in gone:
            lists[list_name] = old
            continue
        members = _by_name(old)
        for name in gone.get(list_name, ()):
            members.pop(name, None)
        members.update(_by_name(changed))
        lists[list_name] = tuple(members.values())
    return attrs.evolve(delta.changed, **lists)
