"""Composition and settings of a stand-in fleet."""

import hashlib

import attrs

from briarknot import schema

MODEL = 'assist-lm'
_Role = schema.fleet.Role


def make_key(account: str) -> str:
    """Returns the API key of an account of a stand-in fleet."""
    return f'key-of-{account}'


@attrs.frozen(kw_only=True)
class EnginePlan:
    """Engines of one role in a failure domain.

    :param role: role at the start.
    :param count: number of engines.
    """

    role: schema.fleet.Role = _Role.MIXED
    count: int = 1


@attrs.frozen(kw_only=True)
class DomainPlan:
    """A failure domain.

    :param name: name.
    :param region: region.
    :param engines: engines by role.
    :param services: workers of the plain service.
    :param entries: entry processes.
    :param controls: control processes.
    """

    name: str
    region: str
    engines: tuple[EnginePlan, ...] = (EnginePlan(count=1),)
    services: int = 1
    entries: int = 1
    controls: int = 0


@attrs.frozen(kw_only=True)
class FleetPlan:
    """A fleet.

    :param name: name of the fleet.
    :param domains: failure domains.
    :param ranks: ranks of work, most urgent first.
    :param accounts: accounts of callers.
    :param service: name of the plain service.
    :param non_repeatable: calls of the plain service that run at most once.
    :param policies: decision policies.
    :param model: model that all engines serve.
    :param engine_arguments: additional arguments of the engine stand-in.
    :param checks_fencing: whether engines check the fencing number.
    :param timing: periods and timeouts of the entry processes.
    :param lease_s: duration of the controllers' lease.
    :param consoles: console processes.
    :param has_proxy: whether the entry processes reach the engines, the
        workers of the plain service and the platform through a fault proxy.
    :param service_timeout_s: timeout of a call to the plain service.
    :param platform_timeout_s: timeout of a call to the platform.
    :param limits: fleet-wide limits by account, in engine seconds per second.
    """

    name: str
    domains: tuple[DomainPlan, ...]
    ranks: tuple[schema.fleet.Rank, ...]
    accounts: tuple[str, ...] = ('site', 'shop')
    service: str = 'fieldapp'
    non_repeatable: tuple[schema.fleet.CallPattern, ...] = (
        schema.fleet.CallPattern(method='POST', path='/bookings'),
        schema.fleet.CallPattern(method='POST', path='/orders'),
    )
    policies: schema.fleet.Policies = schema.fleet.Policies()
    model: schema.fleet.Model = schema.fleet.Model(name=MODEL)
    engine_arguments: tuple[str, ...] = ()
    checks_fencing: bool = True
    timing: schema.settings.Timing = schema.settings.Timing(
        document_poll_s=0.5, load_poll_s=0.25, journal_flush_s=1
    )
    lease_s: float = 3
    consoles: int = 0
    has_proxy: bool = False
    service_timeout_s: float = 5
    platform_timeout_s: float = 2
    limits: dict[str, float] = attrs.field(factory=dict)

    def make_accounts(self) -> tuple[schema.fleet.Account, ...]:
        """Makes the accounts of the fleet document."""
        return tuple(
            schema.fleet.Account(
                name=name,
                key_hashes=(
                    hashlib.sha256(make_key(name).encode()).hexdigest(),
                ),
                max_streams=4096,
                limit_work_per_s=self.limits.get(name, 0),
            )
            for name in self.accounts
        )


def make_sprossenwerk_plan() -> FleetPlan:
    """Makes a fleet in the shape of Sprossenwerk: 3 domains, 10 engines."""
    return FleetPlan(
        name='sprossenwerk',
        domains=(
            DomainPlan(
                name='obb-a',
                region='obb',
                engines=(EnginePlan(count=4),),
                entries=3,
                controls=1,
            ),
            DomainPlan(
                name='frk-a',
                region='frk',
                engines=(EnginePlan(count=3),),
                entries=2,
                controls=1,
            ),
            DomainPlan(
                name='swb-a',
                region='swb',
                engines=(EnginePlan(count=3),),
                entries=2,
                controls=1,
            ),
        ),
        ranks=(
            schema.fleet.Rank(
                name='urgent',
                worth=10,
                first_token_s=1.7,
                token_interval_s=0.05,
                floor_share=0.3,
                max_queue_s=5,
            ),
            schema.fleet.Rank(
                name='ordinary',
                worth=3,
                first_token_s=5,
                token_interval_s=0.1,
                floor_share=0.2,
                max_queue_s=15,
            ),
            schema.fleet.Rank(
                name='waiting',
                worth=1,
                first_token_s=30,
                token_interval_s=0.2,
                floor_share=0.1,
                max_queue_s=60,
            ),
        ),
    )


def make_inac_plan() -> FleetPlan:
    """Makes a fleet in the shape of INAC: 3 domains, 6 engines."""
    plan = make_sprossenwerk_plan()
    locations = (
        ('tacuarembo-a', 'norte'),
        ('salto-a', 'litoral'),
        ('rocha-a', 'este'),
    )
    return attrs.evolve(
        plan,
        name='inac',
        domains=tuple(
            DomainPlan(
                name=name,
                region=region,
                engines=(EnginePlan(count=2),),
                entries=2,
                controls=1,
            )
            for name, region in locations
        ),
        service='tienda-inac',
        non_repeatable=(
            schema.fleet.CallPattern(method='POST', path='/purchases'),
        ),
        model=schema.fleet.Model(name='asesor-cuentas'),
    )
