"""Authority over engines: lease, process deadline, and orders."""

from briarknot.authority._lease import Lease, make_lease
from briarknot.authority._orders import (
    Orders,
    Overtaken,
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
    make_transport,
    read_state,
)

__all__ = (
    'TRANSPORTS',
    'Accepted',
    'Lease',
    'NoAnswer',
    'Orders',
    'Overtaken',
    'ProcessTimer',
    'Refused',
    'Transport',
    'VersionedOrder',
    'make_lease',
    'make_orders',
    'make_transport',
    'read_state',
)
