"""Counts open requests."""

import asyncio
import collections
import collections.abc
import contextlib
import typing

import attrs
import prometheus_client

_OPEN = prometheus_client.Gauge(
    'briarknot_open_requests', 'Requests that are being answered.'
)


@attrs.define(eq=False)
class OpenRequests:
    """Counts open requests by account, and waits until there are none."""

    _accounts: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    _tasks: set[asyncio.Task[typing.Any]] = attrs.field(factory=set, init=False)
    _idle: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        """Starts without open requests."""
        self._idle.set()

    @property
    def total(self) -> int:
        """Number of open requests."""
        return self._accounts.total()

    def count(self, account: str) -> int:
        """Returns the number of open requests of an account."""
        return self._accounts[account]

    async def wait_idle(self) -> None:
        """Waits until no request is open."""
        await self._idle.wait()

    @contextlib.contextmanager
    def counted(self, account: str = '') -> collections.abc.Iterator[None]:
        """Counts a request while it is open.

        :param account: account of the caller; empty for a forwarded request,
            which the first entry process counts against the account.
        """
        self._accounts[account] += 1
        self._idle.clear()
        _OPEN.inc()
        try:
            yield
        finally:
            self._end(account)

    @contextlib.contextmanager
    def counted_until_done(
        self, task: asyncio.Task[typing.Any]
    ) -> collections.abc.Iterator[None]:
        """Counts a task that outlives the block as an open request.

        :param task: task that must end before the process stops.
        """
        try:
            yield
        finally:
            if not task.done():
                counting = contextlib.ExitStack()
                counting.enter_context(self.counted())
                # The reference keeps the task from being garbage-collected.
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                task.add_done_callback(lambda _: counting.close())

    def _end(self, account: str) -> None:
        _OPEN.dec()
        self._accounts[account] -= 1
        if not self._accounts[account]:
            self._accounts.pop(account)
        if not self._accounts:
            self._idle.set()
