"""Routing: chooses endpoints by load, prefix caches, and failures."""

from briarknot.routing._cost import (
    BLOCK_TOKENS,
    Estimator,
    WorkEstimate,
    hash_blocks,
    make_estimator,
)
from briarknot.routing._domains import (
    DomainChoice,
    StayLocal,
    choose_domain,
    make_summary,
)
from briarknot.routing._engine import Attempt, EngineView, Part
from briarknot.routing._quarantine import (
    Clear,
    InFlightRequest,
    Quarantine,
    Quarantined,
    Suspect,
    make_quarantine,
)
from briarknot.routing._retries import (
    RetryBudget,
    RetryGranted,
    RetryRefused,
    make_retry_budget,
)
from briarknot.routing._router import (
    ROUTERS,
    Choice,
    NoEndpoint,
    Router,
    make_router,
)
from briarknot.routing._services import (
    ServiceAttempt,
    ServiceChoice,
    ServiceView,
    choose_service_endpoint,
    make_service_view,
)
from briarknot.routing._view import Capacity, View, make_view

__all__ = (
    'BLOCK_TOKENS',
    'ROUTERS',
    'Attempt',
    'Capacity',
    'Choice',
    'Clear',
    'DomainChoice',
    'EngineView',
    'Estimator',
    'InFlightRequest',
    'NoEndpoint',
    'Part',
    'Quarantine',
    'Quarantined',
    'RetryBudget',
    'RetryGranted',
    'RetryRefused',
    'Router',
    'ServiceAttempt',
    'ServiceChoice',
    'ServiceView',
    'StayLocal',
    'Suspect',
    'View',
    'WorkEstimate',
    'choose_domain',
    'choose_service_endpoint',
    'hash_blocks',
    'make_estimator',
    'make_quarantine',
    'make_retry_budget',
    'make_router',
    'make_service_view',
    'make_summary',
    'make_view',
)
