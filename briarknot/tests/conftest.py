"""Fleets of processes for the integration tests."""

import attrs
import pytest_asyncio

from briarknot_standins import fleet

_SPROSSENWERK = fleet.make_sprossenwerk_plan()
#: One failure domain with two entry hosts and two engines.
SMALL_PLAN = attrs.evolve(
    _SPROSSENWERK,
    domains=(
        fleet.DomainPlan(
            name='obb-a',
            region='obb',
            engines=(fleet.EnginePlan(count=2),),
            services=2,
            entries=2,
        ),
    ),
)
#: Two failure domains with one entry host and one engine each.
TWO_DOMAIN_PLAN = attrs.evolve(
    _SPROSSENWERK,
    domains=(
        fleet.DomainPlan(name='obb-a', region='obb'),
        fleet.DomainPlan(name='frk-a', region='frk'),
    ),
)
#: One failure domain with a low fleet-wide limit for account ``shop``.
LIMITED_PLAN = attrs.evolve(SMALL_PLAN, limits={'shop': 0.001})


@pytest_asyncio.fixture
async def limited_fleet():
    """A running fleet with a fleet-wide limit for one account."""
    async with fleet.run_fleet(LIMITED_PLAN) as running:
        yield running


@pytest_asyncio.fixture
async def small_fleet():
    """A running fleet of one failure domain."""
    async with fleet.run_fleet(SMALL_PLAN) as running:
        yield running


@pytest_asyncio.fixture
async def two_domain_fleet():
    """A running fleet of two failure domains."""
    async with fleet.run_fleet(TWO_DOMAIN_PLAN) as running:
        yield running
