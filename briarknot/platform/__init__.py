"""Adapter of the platform: the only package that knows its wire format.

The store client, the front end for the platform's clients, the calls to
workers, and the decoding of the operators' manifest and workers' entries.
"""

from briarknot import lazy
from briarknot.platform._cache_lists import (
    CacheContents,
    CacheLists,
    make_cache_lists,
)
from briarknot.platform._client import Client, make_client
from briarknot.platform._client_limits import ClientLimits, make_client_limits
from briarknot.platform._client_states import Limit, Phase
from briarknot.platform._decoding import (
    MANIFEST_KEY,
    MANIFEST_TABLE,
    WORKERS_TABLE,
    Malformed,
    decode_manifest,
    decode_worker,
    read_manifest_version,
)
from briarknot.platform._duties import (
    Duties,
    NotTaken,
    Taken,
    UsageReport,
    WorkerOrder,
    WorkerOrderOutcome,
    WorkerOrderResult,
    make_duties,
)
from briarknot.platform._engine_orders import (
    EngineOrders,
    OrderOutcome,
    StageOrder,
    Unreported,
    make_engine_orders,
    make_order_session,
)
from briarknot.platform._ingress import Ingress, make_ingress
from briarknot.platform._responder import Responder
from briarknot.platform._sessions import make_store_session
from briarknot.platform._values import (
    Committed,
    Conflict,
    HistoryLost,
    Host,
    Missing,
    Operation,
    Page,
    Row,
    Unavailable,
    make_operation,
)
from briarknot.platform._worker_calls import (
    Exchange,
    WorkerCalls,
    make_worker_calls,
)

#: A gateway needs none of these names, and starts without their modules.
_MODULES = {
    '_app_connections': ('make_limited_runner',),
    '_config_changes': ('compare_configs',),
    '_config_reading': ('check_config',),
    '_config_registry': ('CONFIG_CHECKS', 'ConfigFinding', 'Severity'),
}
__all__ = (
    *lazy.list_names(_MODULES),
    'MANIFEST_KEY',
    'MANIFEST_TABLE',
    'WORKERS_TABLE',
    'CacheContents',
    'CacheLists',
    'Client',
    'ClientLimits',
    'Committed',
    'Conflict',
    'Duties',
    'EngineOrders',
    'Exchange',
    'HistoryLost',
    'Host',
    'Ingress',
    'Limit',
    'Malformed',
    'Missing',
    'NotTaken',
    'Operation',
    'OrderOutcome',
    'Page',
    'Phase',
    'Responder',
    'Row',
    'StageOrder',
    'Taken',
    'Unavailable',
    'Unreported',
    'UsageReport',
    'WorkerCalls',
    'WorkerOrder',
    'WorkerOrderOutcome',
    'WorkerOrderResult',
    'decode_manifest',
    'decode_worker',
    'make_cache_lists',
    'make_client',
    'make_client_limits',
    'make_duties',
    'make_engine_orders',
    'make_ingress',
    'make_operation',
    'make_order_session',
    'make_store_session',
    'make_worker_calls',
    'read_manifest_version',
)
__getattr__ = lazy.make_getattr(__name__, _MODULES)
