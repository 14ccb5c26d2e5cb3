"""Order rows in a table of the platform."""

import asyncio

import attrs

from briarknot import platform, schema, sentinels

_TABLE = 'orders'
_RETRY_DELAY_S = 0.25


@attrs.frozen
class VersionedOrder:
    """An engine's row and its version for a compare-and-set.

    :param row: the row; empty and in phase ``void`` where none is stored.
    :param version: its version; None where none is stored.
    """

    row: schema.records.OrderRow
    version: int | None


@attrs.frozen
class RowConflict(sentinels.Sentinel):
    """Sentinel for a write that found another row than expected.

    :param current: the stored row.
    """

    current: VersionedOrder


@attrs.define(eq=False)
class Orders:
    """The order rows of a failure domain; one row for each engine.

    Reads and writes are retried until the platform answers; the caller
    cancels them when it loses its lease.
    """

    _client: platform.Client
    _domain: str

    async def scan(self) -> dict[str, VersionedOrder]:
        """Reads the rows of all engines by engine."""
        prefix = f'{self._domain}.'
        while True:
            rows = await self._client.scan_rows(_TABLE, prefix)
            if isinstance(rows, tuple):
                return {
                    row.key.removeprefix(prefix): _make_versioned(row)
                    for row in rows
                }
            await asyncio.sleep(_RETRY_DELAY_S)

    async def read(self, engine: str) -> VersionedOrder:
        """Reads the row of an engine.

        :param engine: name of the engine.
        """
        while True:
            found = await self._client.read_row(_TABLE, self._make_key(engine))
            if not isinstance(found, platform.Unavailable):
                return _make_versioned(found)
            await asyncio.sleep(_RETRY_DELAY_S)

    async def write(
        self,
        engine: str,
        row: schema.records.OrderRow,
        expected: VersionedOrder,
    ) -> VersionedOrder | RowConflict:
        """Writes a row by compare-and-set and reads it back.

        :param engine: name of the engine.
        :param row: the new row, different from the expected one.
        :param expected: the row that must be stored before the write.
        :returns: the row with its new version once it is stored.
        """
        operation = platform.make_operation(
            _TABLE, self._make_key(engine), row, expected.version
        )
        while True:
            await self._client.commit(operation)
            # The read returns the new version, and shows whether a write
            # without an answer took effect.
            found = await self.read(engine)
            if found.row == row:
                return found
            if not _is_unchanged(found, expected):
                return RowConflict(found)
            # Retrying is safe: once a write has taken effect, one that is
            # still in flight fails its comparison.
            await asyncio.sleep(_RETRY_DELAY_S)

    def _make_key(self, engine: str) -> str:
        return f'{self._domain}.{engine}'


def _make_versioned(found: platform.Row | platform.Missing) -> VersionedOrder:
    if isinstance(found, platform.Missing):
        phase = schema.records.OrderPhase.VOID
        return VersionedOrder(schema.records.OrderRow(phase=phase), None)
    row = schema.from_plain(schema.records.OrderRow, found.value)
    return VersionedOrder(row, found.version)


def _is_unchanged(found: VersionedOrder, expected: VersionedOrder) -> bool:
    # A stale read may return a version older than the expected one.
    return (found.version or 0) <= (expected.version or 0)


def make_orders(client: platform.Client, domain: str) -> Orders:
    """Makes the order rows of a failure domain.

    :param client: platform client.
    :param domain: failure domain.
    """
    return Orders(client, domain)
