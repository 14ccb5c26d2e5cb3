"""HTTP client sessions of all programs, which never repeat a request unseen."""

from briarknot.httpclient._connections import (
    Connector,
    Protocol,
    count_unsent_bytes,
)
from briarknot.httpclient._responses import Response
from briarknot.httpclient._sessions import ConnectionLostError, make_session

__all__ = (
    'ConnectionLostError',
    'Connector',
    'Protocol',
    'Response',
    'count_unsent_bytes',
    'make_session',
)
