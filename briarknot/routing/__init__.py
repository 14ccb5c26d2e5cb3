"""Choice of endpoints, from load, prefix caches, and failures."""

from briarknot.routing._cost import (
    BLOCK_TOKENS,
    Estimator,
    WorkEstimate,
    hash_blocks,
    make_estimator,
)
from briarknot.routing._engine import Attempt, EngineView, Part
from briarknot.routing._router import (
    ROUTERS,
    Choice,
    NoEndpoint,
    Router,
    make_router,
)
from briarknot.routing._view import Capacity, View, make_view

__all__ = (
    'BLOCK_TOKENS',
    'ROUTERS',
    'Attempt',
    'Capacity',
    'Choice',
    'EngineView',
    'Estimator',
    'NoEndpoint',
    'Part',
    'Router',
    'View',
    'WorkEstimate',
    'hash_blocks',
    'make_estimator',
    'make_router',
    'make_view',
)
