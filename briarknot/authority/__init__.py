"""Authority over engines: lease, process deadline, and orders."""

from briarknot import lazy

#: A gateway acquires grants only, and starts without the other modules.
_MODULES = {
    '_lease': ('Lease', 'make_lease'),
    '_order_grants': ('NotGranted', 'OrderGrant', 'acquire_grant'),
    '_orders': ('Orders', 'RowConflict', 'VersionedOrder', 'make_orders'),
    '_timer': ('ProcessTimer',),
    '_transports': (
        'TRANSPORTS',
        'Accepted',
        'NoAnswer',
        'Refused',
        'Transport',
        'fetch_engine_state',
        'make_transport',
    ),
}
__all__ = lazy.list_names(_MODULES)
__getattr__ = lazy.make_getattr(__name__, _MODULES)
