"""Authority over engines: lease, process deadline, and orders."""

from briarknot.authority._lease import Lease, make_lease
from briarknot.authority._order_grants import (
    NotGranted,
    OrderGrant,
    acquire_grant,
)
from briarknot.authority._orders import (
    Orders,
    RowConflict,
    VersionedOrder,
    make_orders,
)
from briarknot.authority._timer import ProcessTimer
from briarknot.authority._transports import (
    TRANSPORTS,
    Accepted,
    NoAnswer,
    Refused,
    Transport,
    fetch_engine_state,
    make_transport,
)

__all__ = (
    'TRANSPORTS',
    'Accepted',
    'Lease',
    'NoAnswer',
    'NotGranted',
    'OrderGrant',
    'Orders',
    'ProcessTimer',
    'Refused',
    'RowConflict',
    'Transport',
    'acquire_grant',
    'VersionedOrder',
    'fetch_engine_state',
    'make_lease',
    'make_orders',
    'make_transport',
)
