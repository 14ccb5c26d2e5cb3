"""Choice of an endpoint of a plain service."""

import random

import attrs

from briarknot import schema
from briarknot.routing import _health, _router

_NO_NAMES: frozenset[str] = frozenset()
#: Random endpoints that are compared for each call; two avoid herding at low
#: cost.
_SAMPLE_SIZE = 2


@attrs.define(eq=False)
class ServiceAttempt:
    """One call to an endpoint of a plain service.

    :param endpoint_name: endpoint that runs it.
    """

    endpoint_name: str


@attrs.define(eq=False)
class _EndpointState:
    in_flight: int = 0
    health: _health.Health = attrs.field(factory=_health.Health)

    def compute_load(self, now: float) -> float:
        return (self.in_flight + 1) * self.health.penalty(now)


@attrs.define(eq=False)
class ServiceView:
    """Calls in flight and failures of one domain's service endpoints."""

    _domain: str
    _services: dict[str, schema.fleet.Service] = attrs.field(factory=dict)
    _states: dict[str, _EndpointState] = attrs.field(factory=dict)

    @property
    def domain(self) -> str:
        """Failure domain of the endpoints."""
        return self._domain

    def list_endpoints(
        self, service_name: str
    ) -> tuple[schema.fleet.ServiceEndpoint, ...]:
        """Returns a service's endpoints in the domain that are not leaving."""
        service = self._services.get(service_name, schema.fleet.Service())
        return tuple(
            endpoint
            for endpoint in service.endpoints
            if endpoint.domain == self._domain and not endpoint.leaving
        )

    def apply_document(self, document: schema.fleet.Fleet) -> None:
        """Applies a new document; the state of known endpoints is kept."""
        self._services = {one.name: one for one in document.services}
        names = {
            endpoint.name
            for service in document.services
            for endpoint in service.endpoints
        }
        self._states = {
            name: state
            for name, state in self._states.items()
            if name in names or state.in_flight
        }

    def start_attempt(self, endpoint_name: str) -> ServiceAttempt:
        """Counts a call as in flight at an endpoint."""
        self._get_state(endpoint_name).in_flight += 1
        return ServiceAttempt(endpoint_name)

    def end_attempt(
        self, attempt: ServiceAttempt, now: float, ok: bool
    ) -> None:
        """Ends a call; must be called once for each attempt.

        :param attempt: result of :meth:`start_attempt`.
        :param now: monotonic time in seconds.
        :param ok: whether the call succeeded.
        """
        state = self._get_state(attempt.endpoint_name)
        state.in_flight -= 1
        if not ok:
            state.health.apply_error(now)

    def in_flight(self, endpoint_name: str) -> int:
        """Returns the calls that have not ended."""
        state = self._states.get(endpoint_name)
        return state.in_flight if state else 0

    def mark_failed(self, endpoint_name: str, now: float) -> None:
        """Excludes an endpoint for a time, longer after each failure."""
        self._get_state(endpoint_name).health.apply_failure(now)

    def compute_load(self, endpoint_name: str, now: float) -> float:
        """Returns the calls in flight and one more, times the penalty."""
        return self._get_state(endpoint_name).compute_load(now)

    def is_excluded(self, endpoint_name: str, now: float) -> bool:
        """Returns whether an endpoint is excluded after a recent failure."""
        return self._get_state(endpoint_name).health.is_excluded(now)

    def _get_state(self, endpoint_name: str) -> _EndpointState:
        return self._states.setdefault(endpoint_name, _EndpointState())


@attrs.frozen(kw_only=True)
class ServiceChoice:
    """An endpoint for a call.

    :param endpoint: the endpoint.
    :param reason: sentence with the figures, for the journal.
    """

    endpoint: schema.fleet.ServiceEndpoint
    reason: str


def make_service_view(document: schema.fleet.Fleet, domain: str) -> ServiceView:
    """Makes the view of the services of one failure domain.

    :param document: document in force.
    :param domain: name of the failure domain.

    >>> make_service_view(schema.fleet.Fleet(), 'd').in_flight('worker-1')
    0
    """
    view = ServiceView(domain)
    view.apply_document(document)
    return view


def choose_service_endpoint(
    view: ServiceView,
    service_name: str,
    now: float,
    generator: random.Random,
    exclude: frozenset[str] = _NO_NAMES,
) -> ServiceChoice | _router.NoEndpoint:
    """Chooses the less busy of two random endpoints of a service.

    Endpoints that are excluded after a failure are used only if there are no
    others: services send no load reports, so that only a call can show that an
    endpoint has recovered.

    :param view: view of the failure domain's services.
    :param service_name: name of the service.
    :param now: monotonic time in seconds.
    :param generator: seeded source of the random choice.
    :param exclude: names of endpoints that must not be chosen.
    """
    listed = view.list_endpoints(service_name)
    allowed = [one for one in listed if one.name not in exclude]
    healthy = [one for one in allowed if not view.is_excluded(one.name, now)]
    fit = healthy or allowed
    if not fit:
        return _router.NoEndpoint(
            reason=(
                f'service {service_name} has no endpoint left in '
                f'{view.domain}: {len(listed)} declared, '
                f'{len(listed) - len(allowed)} excluded'
            )
        )
    sample = generator.sample(fit, min(_SAMPLE_SIZE, len(fit)))
    chosen = min(sample, key=lambda one: view.compute_load(one.name, now))
    return ServiceChoice(
        endpoint=chosen,
        reason=(
            f'{chosen.name} of {len(fit)} endpoints has '
            f'{view.in_flight(chosen.name)} calls in flight; '
            f'{len(allowed) - len(healthy)} failed a short time ago'
        ),
    )
