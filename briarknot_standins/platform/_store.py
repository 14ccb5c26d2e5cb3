"""Tables and hosts, with the past values that stale reads return."""

import bisect
import enum
import time
import typing

import attrs

# Tests read nothing that is older; older values are dropped.
_HISTORY_S = 120


@attrs.frozen
class _TimedValue:
    since_s: float
    content: typing.Any


@attrs.define(eq=False)
class History:
    """Values of one item over time."""

    _values: list[_TimedValue] = attrs.field(factory=list, init=False)

    def set(self, content: typing.Any) -> None:
        """Sets the current value."""
        now_s = time.monotonic()
        self._values.append(_TimedValue(now_s, content))
        first = self._find_index(now_s - _HISTORY_S)
        if first > 0:
            self._values = self._values[first:]

    def read(self, age_s: float) -> typing.Any:
        """Returns the value of ``age_s`` ago, or None before the first one."""
        found = self._find_index(time.monotonic() - age_s)
        return self._values[found].content if found >= 0 else None

    def _find_index(self, moment_s: float) -> int:
        return (
            bisect.bisect_right(
                self._values, moment_s, key=lambda timed: timed.since_s
            )
            - 1
        )


@attrs.frozen
class Row:
    """A row of a table.

    :param value: the value, a tree of plain values.
    :param version: version of the transaction that wrote the row.
    """

    value: typing.Any
    version: int


@attrs.frozen(kw_only=True)
class Expected:
    """Precondition of a transaction: the version that a row must have.

    :param table: table.
    :param key: key in the table.
    :param version: version that the row must have; 0 where it must not exist.
    """

    table: str
    key: str
    version: int

    @property
    def row_key(self) -> tuple[str, str]:
        """Table and key."""
        return self.table, self.key


@attrs.frozen(kw_only=True)
class Put:
    """One write of a transaction.

    :param table: table.
    :param key: key in the table.
    :param value: new value; None removes the row.
    """

    table: str
    key: str
    value: typing.Any

    @property
    def row_key(self) -> tuple[str, str]:
        """Table and key."""
        return self.table, self.key


@attrs.frozen
class Change:
    """A change of a row, as the change feed returns it.

    :param table: table.
    :param key: key in the table.
    :param row: the row after the change; its value is None if it was removed.
    """

    table: str
    key: str
    row: Row


@attrs.define(eq=False)
class Tables:
    """Tables whose versions come from one counter for all rows."""

    _rows: dict[tuple[str, str], History] = attrs.field(
        factory=dict, init=False
    )
    _version: int = attrs.field(default=0, init=False)
    _changes: list[Change] = attrs.field(factory=list, init=False)
    _dropped_version: int = attrs.field(default=0, init=False)
    _copy: dict[tuple[str, str], Row] = attrs.field(factory=dict, init=False)
    _copied_version: int = attrs.field(default=0, init=False)
    _era: int = attrs.field(default=1, init=False)

    @property
    def era(self) -> int:
        """Number that rises when the tables are restored from a copy."""
        return self._era

    @property
    def version(self) -> int:
        """Version of the newest transaction."""
        return self._version

    def read(self, table: str, key: str, age_s: float = 0) -> Row | None:
        """Returns a row as it was ``age_s`` ago, or None."""
        history = self._rows.get((table, key))
        row = history and history.read(age_s)
        if row is None or row.value is None:
            return None
        return row

    def list_rows(
        self, table: str, start: str, end: str, age_s: float = 0
    ) -> dict[str, Row]:
        """Returns the rows of a table by key.

        :param table: table.
        :param start: first key.
        :param end: end key, exclusive; empty for no end.
        :param age_s: age of the rows.
        """
        rows = {
            key: self.read(table, key, age_s)
            for row_table, key in sorted(self._rows)
            if row_table == table and key >= start and not (end and key >= end)
        }
        return {key: row for key, row in rows.items() if row is not None}

    def list_changes(self, table: str, after: int) -> list[Change] | None:
        """Returns the changes of a table, or None where they are not known.

        :param table: table.
        :param after: version after which changes are returned.
        """
        if not self._dropped_version <= after <= self._version:
            return None
        return [
            change
            for change in self._changes
            if change.table == table and change.row.version > after
        ]

    def drop_changes(self) -> None:
        """Drops the history of changes."""
        self._changes.clear()
        self._dropped_version = self._version

    def save_copy(self) -> None:
        """Copies all rows."""
        self._copied_version = self._version
        rows = {key: self.read(*key) for key in self._rows}
        self._copy = {key: row for key, row in rows.items() if row is not None}

    def restore_copy(self) -> None:
        """Returns to the copy; versions after it are given out again."""
        self._era += 1
        self._version = self._copied_version
        self._changes = [
            one for one in self._changes if one.row.version <= self._version
        ]
        missing = Row(None, self._version)
        for key, history in self._rows.items():
            history.set(self._copy.get(key, missing))

    def find_conflicts(self, expected: list[Expected]) -> list[int]:
        """Returns the indices of rows without their expected version.

        A second precondition for the same row is a conflict too.
        """
        seen = set()
        conflicts = []
        for index, one in enumerate(expected):
            row = self.read(one.table, one.key)
            version = row.version if row else 0
            if version != one.version or one.row_key in seen:
                conflicts.append(index)
            seen.add(one.row_key)
        return conflicts

    def apply(self, puts: list[Put]) -> int:
        """Writes rows and returns their new version."""
        self._version += 1
        for put in puts:
            row = Row(put.value, self._version)
            self._rows.setdefault(put.row_key, History()).set(row)
            self._changes.append(Change(put.table, put.key, row))
        return self._version


class HostState(enum.StrEnum):
    """States of a host."""

    #: The host is in service.
    LIVE = 'live'
    #: The host is about to be stopped or replaced.
    LEAVING = 'leaving'


@attrs.frozen(kw_only=True)
class Host:
    """An entry of the host list.

    :param host: name.
    :param domain: failure domain.
    :param peer_url: peer URL of its entry process.
    :param state: state of the host.
    """

    host: str = ''
    domain: str = ''
    peer_url: str = ''
    state: HostState = HostState.LIVE


@attrs.define(eq=False)
class Hosts:
    """The host list and its past values."""

    _hosts: dict[str, History] = attrs.field(factory=dict, init=False)

    def set(self, name: str, host: Host | None) -> None:
        """Sets a host's entry; None removes it."""
        self._hosts.setdefault(name, History()).set(host)

    def read(self, age_s: float) -> list[Host]:
        """Returns the list as it was ``age_s`` ago."""
        found = (self._hosts[name].read(age_s) for name in sorted(self._hosts))
        return [host for host in found if host is not None]
