"""Values of the platform client; the falsy ones are sentinels."""

import typing

import attrs

from briarknot import schema, sentinels


@attrs.frozen
class Row:
    """A row as it was read.

    :param key: key of the row.
    :param value: plain tree of the row.
    :param version: version for a compare-and-set.
    :param deleted: whether a feed reports its removal.
    """

    key: str
    #: May hold the keys of client accounts.
    value: typing.Any = attrs.field(repr=False)
    version: int
    deleted: bool = False


@attrs.frozen
class Page:
    """Rows of a table.

    :param rows: rows as they were read, or as they changed.
    :param version: version of the store after which a feed continues.
    :param more: whether there are further rows.
    :param store_s: time of the store's steady clock, in seconds.
    :param era: era of the store; 0 if it states none. Versions of different eras
        can't be compared.
    """

    rows: tuple[Row, ...]
    version: int
    more: bool = False
    store_s: float = 0
    era: int = 0


@attrs.frozen
class Operation:
    """One write of a transaction.

    :param table: table.
    :param key: key.
    :param value: plain tree of the new row.
    :param expected_version: required version of the row; None inserts only.
    :param is_removal: whether the row is removed, at any version.
    """

    table: str
    key: str
    value: typing.Any
    expected_version: int | None = None
    is_removal: bool = False


@attrs.frozen
class Host:
    """A host in the platform's host list, which lags behind.

    :param host: name.
    :param domain: failure domain.
    :param peer_url: base URL of its peer port.
    :param leaving: whether it is leaving.
    """

    host: str
    domain: str
    peer_url: str
    leaving: bool


@attrs.frozen
class Committed:
    """A transaction that took effect."""


@attrs.frozen
class Missing(sentinels.Sentinel):
    """Sentinel for a row or an object that does not exist."""


@attrs.frozen
class Conflict(sentinels.Sentinel):
    """Sentinel for a transaction that was refused as a whole.

    :param indexes: operations whose expected version did not match.
    """

    indexes: tuple[int, ...]


@attrs.frozen
class HistoryLost(sentinels.Sentinel):
    """Sentinel for changes that the store no longer keeps."""


@attrs.frozen
class Unavailable(sentinels.Sentinel):
    """Sentinel for a call without an answer.

    :param reason: what went wrong.
    :param may_have_applied: whether a write may have taken effect.
    """

    reason: str
    may_have_applied: bool = True


def make_operation(
    table: str,
    key: str,
    value: typing.Any,
    expected_version: int | None = None,
) -> Operation:
    """Makes an operation from a generated record class.

    :param table: table.
    :param key: key.
    :param value: instance of a class of ``schema.records``.
    :param expected_version: required version of the row; None inserts only.
    """
    return Operation(table, key, schema.to_plain(value), expected_version)
