"""Shared helpers for the tests of the request invariants."""

import asyncio
import collections.abc

import aiohttp
import attrs
import orjson

from briarknot_standins import fleet

_TIMEOUT_S = 30
_POLL_S = 0.02


@attrs.frozen
class Answer:
    """Answer that a caller received.

    :param status: HTTP status; 0 where the connection broke.
    :param headers: headers of the answer.
    :param body: body of the answer.
    """

    status: int
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''

    @property
    def request_id(self) -> str:
        """Id of the request; empty where the connection broke."""
        return self.headers.get('X-Request-Id', '')

    @property
    def outcome(self) -> str:
        """Outcome that was reported to the caller."""
        if self.status == 200:
            return 'completed'
        return orjson.loads(self.body or b'{"outcome": ""}')['outcome']

    @property
    def cause(self) -> str:
        """Cause of a refusal."""
        return orjson.loads(self.body)['cause']


async def call(
    running: fleet.RunningFleet, entry: fleet.Entry, key: str, **options
) -> Answer:
    """Sends a booking through an entry process.

    A broken connection gives an answer with status 0.
    """
    options = {'path': '/bookings', 'body': key.encode(), **options}
    try:
        return Answer(
            *await running.call_service(key=key, entry=entry, **options)
        )
    except aiohttp.ClientError:
        return Answer(0)


async def count_runs(running: fleet.RunningFleet, kind: str, name: str) -> int:
    """Counts the runs of a key or request id at the running workers.

    :param kind: ``by_idempotency_key`` or ``by_request_id``.
    :param name: the key or request id.
    """
    listed = [
        await running.read_json(process, '/runs')
        for process in running.services.values()
        if process.exit_status is None
    ]
    return sum(runs[kind].get(name, 0) for runs in listed)


async def wait_until(
    check: collections.abc.Callable[[], collections.abc.Awaitable[object]],
):
    """Waits for a condition; returns its first true value."""
    async with asyncio.timeout(_TIMEOUT_S):
        found = await check()
        while not found:
            await asyncio.sleep(_POLL_S)
            found = await check()
    return found


async def wait_in_force(running: fleet.RunningFleet, revision: int) -> None:
    """Waits until all live entry processes have a document in force."""
    wanted = f'briarknot_document_revision {float(revision)}'
    for entry in running.entries:
        if entry.process.exit_status is None:

            async def has_revision(entry: fleet.Entry = entry) -> bool:
                return wanted in await running.read_metrics(entry)

            await wait_until(has_revision)


async def bypass_proxy(
    running: fleet.RunningFleet, names: collections.abc.Container[str]
) -> None:
    """Gives some engines their direct URLs, past the fault proxy.

    The proxy accepts connections to an engine that has ended, which a real
    host would refuse.

    :param names: names of the engines.
    """
    engines = tuple(
        attrs.evolve(one, url=running.engines[one.name].url)
        if one.name in names
        else one
        for one in running.document.engines
    )
    revision = await running.commit(
        attrs.evolve(running.document, engines=engines)
    )
    await wait_in_force(running, revision)
