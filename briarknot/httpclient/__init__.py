"""HTTP client sessions of all programs, which never repeat a request unseen."""

from briarknot.httpclient._sessions import ConnectionLostError, make_session

__all__ = ('ConnectionLostError', 'make_session')
