"""Deltas between successive revisions of the fleet document.

A document of 16,000 accounts has 4 MB and takes seconds to parse. At 1,400
changes a day nodes cannot afford this for each change, so each commit also
writes a delta from the previous document.
"""

import typing

import attrs
import orjson

from briarknot import schema

_MembersByName = dict[str, typing.Any]


def _get_lists(fleet: schema.fleet.Fleet) -> dict[str, tuple]:
    """Returns the lists of a document by the names of their fields."""
    plain = attrs.asdict(fleet, recurse=False)
    return {
        name: members
        for name, members in plain.items()
        if isinstance(members, tuple)
    }


def _index_by_name(members: tuple) -> _MembersByName:
    return {member.name: member for member in members}


def make_delta(
    before: schema.fleet.Fleet,
    after: schema.fleet.Fleet,
    base_attempt_id: str,
) -> schema.records.DocumentDelta:
    """Makes the delta between two documents.

    :param before: document that the delta applies to.
    :param after: document that results from applying it.
    :param base_attempt_id: random id of the commit of ``before``.

    >>> old = schema.fleet.Fleet(models=(schema.fleet.Model(name='m'),))
    >>> make_delta(old, schema.fleet.Fleet(), 'a').removed[0].names
    ('m',)
    """
    old_lists = _get_lists(before)
    changed: dict[str, tuple] = {}
    removed: list[schema.records.RemovedNames] = []
    whole: list[str] = []
    for list_name, members in _get_lists(after).items():
        old = _index_by_name(old_lists[list_name])
        new = _index_by_name(members)
        removed_names = tuple(name for name in old if name not in new)
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
        if removed_names:
            removed.append(
                schema.records.RemovedNames(list=list_name, names=removed_names)
            )
    return schema.records.DocumentDelta(
        base_attempt_id=base_attempt_id,
        changed=attrs.evolve(after, **changed),
        removed=tuple(removed),
        whole=tuple(whole),
    )


def decode_delta(body: bytes) -> schema.records.DocumentDelta | None:
    """Decodes a delta; returns None where it is damaged.

    :param body: JSON, as :func:`encode_delta` returns it.
    """
    try:
        return schema.from_plain(
            schema.records.DocumentDelta, orjson.loads(body)
        )
    except (TypeError, ValueError):
        return None


def encode_delta(delta: schema.records.DocumentDelta) -> bytes:
    """Encodes a delta as JSON.

    :param delta: the delta.
    """
    return orjson.dumps(schema.to_plain(delta))


def apply_delta(
    fleet: schema.fleet.Fleet, delta: schema.records.DocumentDelta
) -> schema.fleet.Fleet:
    """Applies a delta to the document that it was made from.

    :param fleet: document of the commit ``delta.base_attempt_id``.
    :param delta: the delta.
    """
    removed = {names.list: set(names.names) for names in delta.removed}
    lists = {}
    for list_name, changed in _get_lists(delta.changed).items():
        if list_name in delta.whole:
            continue
        old = getattr(fleet, list_name)
        # Unchanged members keep their identity, so that listeners compare
        # them cheaply.
        if not changed and list_name not in removed:
            lists[list_name] = old
            continue
        members = _index_by_name(old)
        for name in removed.get(list_name, ()):
            members.pop(name, None)
        members.update(_index_by_name(changed))
        lists[list_name] = tuple(members.values())
    return attrs.evolve(delta.changed, **lists)
