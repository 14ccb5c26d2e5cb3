"""Authority to give orders for a moment, granted by a row in the store.

Orders to engines are rare, so that no lease is held between them. Each grant
increases the fencing number. A process is granted the authority only if that of
another one has ended long enough ago that orders of both can't alternate.
"""

import time

import attrs

from briarknot import platform, schema, sentinels, telemetry

_TABLE = 'grants'
#: Time for which orders may be sent after a grant.
_VALID_S = 3.0
#: Time from a grant to one of another process. It exceeds the time in which
#: orders are sent by more than the platform's lease of three seconds.
_OTHER_HOLDER_S = 10.0
#: Era of a store that was never restored.
_FIRST_ERA = 1
#: Bits of a fencing number below the era of the store. A restore loses grants, but
#: the era rises, so that numbers are never given out again.
_FENCE_BITS = 32


@attrs.frozen
class NotGranted(sentinels.Sentinel):
    """Sentinel for an authority that was not granted.

    :param reason: why.
    """

    reason: str


@attrs.frozen
class OrderGrant:
    """Authority to give orders.

    :param holder: process that has it.
    :param fence: fencing number.
    """

    holder: str
    fence: int
    _valid_until_s: float

    @property
    def is_valid(self) -> bool:
        """Whether orders may still be sent.

        Time during which the host was suspended counts.
        """
        return _read_clock() < self._valid_until_s


async def acquire_grant(
    client: platform.Client,
    name: str,
    holder: str,
    other_holder_s: float | None = None,
) -> OrderGrant | NotGranted:
    """Acquires the authority to give orders.

    :param client: client of the store.
    :param name: what the orders concern.
    :param holder: this process.
    :param other_holder_s: time from a grant to one of another process, which must
        exceed the time in which orders are sent after a grant; None for that of
        orders to engines.
    """
    started_s = _read_clock()
    page = await client.read_row_page(_TABLE, name)
    if isinstance(page, platform.Unavailable):
        return NotGranted(page.reason)
    row = page.rows[0] if page.rows else None
    known = _decode_row(row)
    if isinstance(known, NotGranted):
        return known
    lost = _check_lost_grants(client, known)
    if lost is not None:
        return lost
    age_s = page.store_s - known.granted_s
    pause_s = _OTHER_HOLDER_S if other_holder_s is None else other_holder_s
    # Clocks of different eras can't be compared; a pause after a restore was checked.
    is_comparable = max(known.store_era, _FIRST_ERA) >= client.era
    is_other = known.holder not in {'', holder}
    if is_other and is_comparable and age_s < pause_s:
        return NotGranted(f'{known.holder} had it {age_s:.1f} s ago')
    granted = schema.records.GrantRow(
        holder=holder,
        fence=max(known.fence, _compute_first_fence(client.era)) + 1,
        granted_s=page.store_s,
        store_era=client.era,
    )
    result = await client.commit(
        platform.Operation(
            _TABLE,
            name,
            schema.to_plain(granted),
            row.version if row else None,
        )
    )
    # After a restore, the copy may lack a grant with the same number.
    is_restored = client.era != granted.store_era
    if is_restored or not isinstance(result, platform.Committed):
        return NotGranted(
            f'the write was not confirmed: {result!r}, era {client.era}'
        )
    telemetry.log_event('orders_granted', scope=name, fence=granted.fence)
    return OrderGrant(holder, granted.fence, started_s + _VALID_S)


def _check_lost_grants(
    client: platform.Client, known: schema.records.GrantRow
) -> NotGranted | None:
    """Returns why no grant is given after a restore of the store.

    Another process may have been granted the authority after the copy.

    :param client: client of the store.
    :param known: the latest grant that the store holds.
    """
    first_era = max(known.store_era, _FIRST_ERA)
    if client.era <= first_era or client.era_age_s >= _OTHER_HOLDER_S:
        return None
    return NotGranted(f'the store was restored, era {client.era}')


def _compute_first_fence(era: int) -> int:
    """Returns a fencing number above all of earlier eras."""
    return max(0, era - _FIRST_ERA) << _FENCE_BITS


def _decode_row(
    row: platform.Row | None,
) -> schema.records.GrantRow | NotGranted:
    if row is None:
        return schema.records.GrantRow()
    try:
        return schema.from_plain(schema.records.GrantRow, row.value)
    except (AttributeError, TypeError, ValueError) as error:
        return NotGranted(f'unreadable row: {error}')


def _read_clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
