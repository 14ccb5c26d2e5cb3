"""Guards against needless hops between regions, and against missing ones."""

import attrs

from briarknot import schema
from briarknot.entry import _hops


@attrs.frozen
class _Link:
    host: str
    domain: str
    program: str = 'entry'
    peer: schema.messages.Hello = schema.messages.Hello()


@attrs.frozen
class _Hub:
    links: tuple[_Link, ...]


async def _choose(delays):
    links = tuple(_Link(f'host of {name}', name) for name in delays)
    selector = _hops.make_hop_selector(_Hub(links), 'local')
    selector.apply_document(
        schema.fleet.Fleet(
            domains=(
                schema.fleet.Domain(name='local', region='r'),
                schema.fleet.Domain(name='near', region='r'),
                schema.fleet.Domain(name='far', region='s'),
            )
        )
    )
    for name, delay_s in delays.items():
        capacity = schema.messages.ModelCapacity(
            model='m', engines=1, queue_delay_s=delay_s
        )
        await selector.handle_summary(
            links[0],
            schema.messages.DomainSummary(domain=name, models=(capacity,)),
        )
    return selector.choose_hop('m', ()).domain


async def test_local_region_is_preferred():
    """A hop between regions takes longer than the wait that it saves."""
    assert await _choose({'near': 0.05, 'far': 0}) == 'near'


async def test_long_wait_leads_to_another_region():
    """Targets would be missed although another region is idle."""
    assert await _choose({'near': 1.0, 'far': 0}) == 'far'
