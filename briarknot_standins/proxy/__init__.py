"""TCP proxy that injects faults between two programs.

The bytes of a connection pass through the faults in force on its link. Fault
kinds: ``cut``, ``delay``, ``freeze``, ``hold``, ``silence``.
"""

from briarknot_standins.proxy._app import make_app
from briarknot_standins.proxy._config import (
    Direction,
    FaultRequest,
    Link,
    ProxyConfig,
)
from briarknot_standins.proxy._faults import FAULT_KINDS
from briarknot_standins.proxy._forward import Proxy, make_proxy

__all__ = (
    'FAULT_KINDS',
    'Direction',
    'FaultRequest',
    'Link',
    'Proxy',
    'ProxyConfig',
    'make_app',
    'make_proxy',
)
