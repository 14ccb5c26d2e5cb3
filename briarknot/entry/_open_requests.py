"""Counts of the requests that are being answered."""

import asyncio
import collections
import collections.abc
import contextlib

import attrs
import prometheus_client

_OPEN = prometheus_client.Gauge(
    'briarknot_open_requests', 'Requests that are being answered.'
)


@attrs.define(eq=False)
class OpenRequests:
    """Counts open requests by account, and tells when there are none."""

    _accounts: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    _none: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        """Starts without open requests."""
        self._none.set()

    @property
    def total(self) -> int:
        """Open requests."""
        return self._accounts.total()

    def count(self, account: str) -> int:
        """Returns the open requests of an account."""
        return self._accounts[account]

    async def wait_none(self) -> None:
        """Waits until no request is open."""
        await self._none.wait()

    @contextlib.contextmanager
    def counted(self, account: str = '') -> collections.abc.Iterator[None]:
        """Counts a request while it is open.

        :param account: account of the caller; empty for a forwarded one,
            which its first entry process counts against the account.
        """
        self._accounts[account] += 1
        self._none.clear()
        _OPEN.inc()
        try:
            yield
        finally:
            self._end(account)

    def _end(self, account: str) -> None:
        _OPEN.dec()
        self._accounts[account] -= 1
        if not self._accounts[account]:
            self._accounts.pop(account)
        if not self._accounts:
            self._none.set()
