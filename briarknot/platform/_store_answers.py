"""Answers of the platform's metadata store."""

import base64
import collections.abc
import typing

import attrs
import orjson

from briarknot.platform import _values

Decoded = typing.TypeVar('Decoded')

_MS_PER_S = 1000
_DECODE_ERRORS = (AttributeError, LookupError, TypeError, ValueError)
_OK = 200
NOT_FOUND = 404
GONE = 410
CONFLICT = 412
#: Statuses of requests that were refused before they had any effect.
_REFUSED = frozenset((403, 429, 503, 507))


@attrs.frozen
class Answer:
    """Status and body of an answer, and the era that it states."""

    status: int
    body: bytes
    era: int = 0


def make_row_key(operation: _values.Operation) -> dict[str, str]:
    """Makes the address of a row.

    :param operation: operation on the row.
    """
    return {'table': operation.table, 'part': '', 'key': operation.key}


def encode_value(value: object) -> str:
    """Encodes the value of a row.

    :param value: a plain value.
    """
    return base64.b64encode(orjson.dumps(value)).decode()


def decode(
    read: collections.abc.Callable[[Answer], Decoded], answer: Answer
) -> Decoded | _values.Unavailable:
    """Decodes an answer, which may end early where it has no length.

    :param read: decodes its body.
    :param answer: the answer.
    """
    try:
        return read(answer)
    except _DECODE_ERRORS as error:
        return _values.Unavailable(f'{type(error).__name__}: {error}')


def decode_names(answer: Answer) -> tuple[list[str], bool]:
    """Decodes a list of objects.

    :param answer: the answer.
    :returns: their names, and whether there are more.
    """
    tree = orjson.loads(answer.body)
    return tree['names'], tree['morePages']


def decode_page(answer: Answer) -> _values.Page:
    """Decodes rows of a table.

    :param answer: the answer.
    """
    tree = orjson.loads(answer.body)
    return _values.Page(
        tuple(_decode_row(row) for row in tree['rows']),
        tree['ver'],
        more=tree.get('morePages', False),
        store_s=tree.get('nowMs', 0) / _MS_PER_S,
        era=answer.era,
    )


def _decode_row(row: dict[str, object]) -> _values.Row:
    if row.get('deleted'):
        return _values.Row(row['key'], None, row['ver'], deleted=True)
    text = base64.b64decode(row['value'])
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        # Other writers may store values that are not JSON; these must not hide
        # the other rows of the page.
        return _values.Row(row['key'], text, row['ver'])
    return _values.Row(row['key'], value, row['ver'])


def find_conflicts(
    operations: tuple[_values.Operation, ...], answer: Answer
) -> _values.Conflict:
    """Returns the indexes of operations whose expected version did not match.

    :param operations: operations of the refused transaction.
    :param answer: answer with the current rows.
    """
    found = {
        (row['table'], row['key']): row['ver']
        for row in orjson.loads(answer.body)['rows']
        if not row.get('deleted')
    }
    return _values.Conflict(
        tuple(
            index
            for index, one in enumerate(operations)
            if not one.is_removal
            and found.get((one.table, one.key), 0)
            != (one.expected_version or 0)
        )
    )


def decode_host(row: _values.Row) -> _values.Host:
    """Decodes a host from its row.

    :param row: the row.
    """
    return _values.Host(
        host=row.value['host'],
        domain=row.value['domain'],
        peer_url=row.value['peer_url'],
        leaving=row.value['state'] == 'leaving',
    )


def check_answer(
    status: int, body: bytes, era: int
) -> Answer | _values.Unavailable:
    """Returns an answer, unless its status means that the call had no result.

    :param status: its status.
    :param body: its body.
    :param era: era of the store that it states; 0 if it states none.
    """
    if status in {_OK, NOT_FOUND, GONE, CONFLICT}:
        return Answer(status, body, era)
    return _values.Unavailable(
        f'the platform answered {status}',
        may_have_applied=status not in _REFUSED,
    )
