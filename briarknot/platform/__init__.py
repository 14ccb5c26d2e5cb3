"""Client for the platform's table service, object store, and host list."""

from briarknot.platform._client import Client, make_client
from briarknot.platform._values import (
    Committed,
    Conflict,
    Host,
    Missing,
    Operation,
    Row,
    Unavailable,
    make_operation,
)

__all__ = (
    'Client',
    'Committed',
    'Conflict',
    'Host',
    'Missing',
    'Operation',
    'Row',
    'Unavailable',
    'make_client',
    'make_operation',
)
