"""Rows of the store with the latest worker orders of each service."""

import attrs

from briarknot import authority, platform, schema, sentinels, telemetry

_TABLE = 'scaling'
_Row = schema.records.ScalingRow
#: Failure domain of workers, and whether they are spot workers.
Group = tuple[str, bool]
#: Desired number of workers by group.
Numbers = dict[Group, int]


@attrs.frozen
class NotStored(sentinels.Sentinel):
    """Sentinel for orders that can't be read or written, and must not be sent.

    :param reason: why.
    """

    reason: str


@attrs.define(eq=False)
class ScalingRows:
    """Orders by service, as they are stored."""

    _client: platform.Client

    @property
    def era(self) -> int:
        """Era of the store, as far as it is known."""
        return self._client.era

    async def load(self) -> dict[str, Numbers] | NotStored:
        """Reads all rows.

        Orders of an earlier era are left out: later ones may have been lost when
        the store was restored.

        :returns: the orders by service.
        """
        page = await self._client.read_table(_TABLE)
        if isinstance(page, platform.Unavailable):
            return NotStored(page.reason)
        rows = {row.key: _decode_row(row) for row in page.rows}
        return {
            service: {
                (one.domain, one.is_spot): one.desired for one in row.orders
            }
            for service, row in rows.items()
            if row is not None and row.era == page.era
        }

    async def store(
        self, numbers: dict[str, Numbers], grant: authority.OrderGrant
    ) -> platform.Committed | NotStored:
        """Writes the orders of services in one write.

        :param numbers: all orders of these services.
        :param grant: authority to order.
        """
        page = await self._client.read_table(_TABLE)
        if isinstance(page, platform.Unavailable):
            return NotStored(page.reason)
        versions = {}
        for row in page.rows:
            versions[row.key] = row.version
            known = _decode_row(row)
            if row.key in numbers and known and known.fence > grant.fence:
                return NotStored(f'{known.holder} has ordered since')
        result = await self._client.commit(
            *(
                platform.make_operation(
                    _TABLE,
                    service,
                    _Row(
                        era=page.era,
                        holder=grant.holder,
                        fence=grant.fence,
                        orders=_list_orders(ordered),
                    ),
                    versions.get(service),
                )
                for service, ordered in numbers.items()
            )
        )
        if isinstance(result, platform.Committed):
            return result
        return NotStored(f'the write was not confirmed: {result!r}')


def _list_orders(
    numbers: Numbers,
) -> tuple[schema.records.OrderedWorkers, ...]:
    return tuple(
        schema.records.OrderedWorkers(
            domain=domain, is_spot=is_spot, desired=desired
        )
        for (domain, is_spot), desired in sorted(numbers.items())
    )


def _decode_row(row: platform.Row) -> _Row | None:
    try:
        decoded = schema.from_plain(_Row, row.value)
        if any(one.desired < 0 for one in decoded.orders):
            raise ValueError('a desired number is negative')
        return decoded
    except (AttributeError, TypeError, ValueError) as error:
        telemetry.log_event(
            'scaling_row_malformed', service=row.key, reason=str(error)
        )
        return None


def make_scaling_rows(client: platform.Client) -> ScalingRows:
    """Makes the access to the rows.

    :param client: client of the store.
    """
    return ScalingRows(client)
