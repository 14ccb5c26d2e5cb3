"""Tables, objects and hosts, with the past values that stale reads need."""

import bisect
import enum
import time
import typing

import attrs

# Reads older than this are not needed; older values are dropped.
_HISTORY_S = 120


@attrs.frozen
class _Past:
    since_s: float
    content: typing.Any


@attrs.define(eq=False)
class History:
    """Values of one item over time."""

    _past: list[_Past] = attrs.field(factory=list, init=False)

    def set(self, content: typing.Any) -> None:
        """Sets the value from now on."""
        now_s = time.monotonic()
        self._past.append(_Past(now_s, content))
        first = self._find(now_s - _HISTORY_S)
        if first > 0:
            self._past = self._past[first:]

    def read(self, age_s: float) -> typing.Any:
        """Returns the value of some time ago, or None before the first."""
        found = self._find(time.monotonic() - age_s)
        return self._past[found].content if found >= 0 else None

    def _find(self, moment_s: float) -> int:
        return (
            bisect.bisect_right(
                self._past, moment_s, key=lambda past: past.since_s
            )
            - 1
        )


@attrs.frozen
class Row:
    """A row of a table.

    :param value: the value, a tree of plain values.
    :param version: number that each write increases.
    """

    value: typing.Any
    version: int


@attrs.frozen(kw_only=True)
class Operation:
    """One write of a transaction.

    :param table: table.
    :param key: key in the table.
    :param value: new value.
    :param expected_version: version that the row must have; None where the
        row must not exist.
    """

    table: str
    key: str
    value: typing.Any
    expected_version: int | None

    @property
    def place(self) -> tuple[str, str]:
        """Table and key."""
        return self.table, self.key


@attrs.define(eq=False)
class Tables:
    """Tables with versions for each row."""

    _rows: dict[tuple[str, str], History] = attrs.field(
        factory=dict, init=False
    )

    def read(self, table: str, key: str, age_s: float = 0) -> Row | None:
        """Returns a row as it was some time ago, or None."""
        history = self._rows.get((table, key))
        return history and history.read(age_s)

    def list_rows(
        self, table: str, prefix: str, age_s: float = 0
    ) -> dict[str, Row]:
        """Returns the rows of a table by key, for keys with a prefix."""
        rows = {
            key: self.read(table, key, age_s)
            for own_table, key in sorted(self._rows)
            if own_table == table and key.startswith(prefix)
        }
        return {key: row for key, row in rows.items() if row is not None}

    def find_conflicts(self, operations: list[Operation]) -> list[int]:
        """Returns the indices of operations that must not be written.

        These are operations whose version does not fit, and any operation
        after the first on the same row.
        """
        written = set()
        conflicts = []
        for index, operation in enumerate(operations):
            fits = self._read_version(operation) == operation.expected_version
            if not fits or operation.place in written:
                conflicts.append(index)
            written.add(operation.place)
        return conflicts

    def apply(self, operations: list[Operation]) -> list[int]:
        """Writes operations without conflicts; returns the new versions."""
        return [self._write(operation) for operation in operations]

    def _write(self, operation: Operation) -> int:
        version = (self._read_version(operation) or 0) + 1
        self._rows.setdefault(operation.place, History()).set(
            Row(operation.value, version)
        )
        return version

    def _read_version(self, operation: Operation) -> int | None:
        row = self.read(operation.table, operation.key)
        return row.version if row else None


class HostState(enum.StrEnum):
    """States of a host."""

    #: It takes part.
    LIVE = 'live'
    #: It is about to be stopped or replaced.
    LEAVING = 'leaving'


@attrs.frozen(kw_only=True)
class Host:
    """An entry of the host list.

    :param host: name.
    :param domain: failure domain.
    :param peer_url: peer URL of its entry process.
    :param state: whether it is live or leaving.
    """

    host: str = ''
    domain: str = ''
    peer_url: str = ''
    state: HostState = HostState.LIVE


@attrs.define(eq=False)
class Hosts:
    """The host list and its past."""

    _hosts: dict[str, History] = attrs.field(factory=dict, init=False)

    def set(self, name: str, host: Host | None) -> None:
        """Sets a host's entry; None removes it."""
        self._hosts.setdefault(name, History()).set(host)

    def read(self, age_s: float) -> list[Host]:
        """Returns the list as it was some time ago."""
        found = (self._hosts[name].read(age_s) for name in sorted(self._hosts))
        return [host for host in found if host is not None]
