"""Tests which requests count as begun."""

import attrs
import pytest

from briarknot import schema, serving
from briarknot.gateway.tests import _support, _usage_support
from briarknot.gateway.tests import test_generation as generations
from briarknot.gateway.tests import test_plain as plain

_Kind = schema.serving.RequestKind


@pytest.fixture(autouse=True)
def account(monkeypatch):
    """Assigns an account to all requests, also to those without a key."""
    fixed = property(lambda _: 'x', lambda *_: None)
    monkeypatch.setattr(serving.Call, 'account', fixed)


def enable(gateway):
    """Makes a gateway count requests."""
    context = gateway.context
    context.settings = attrs.evolve(
        context.settings, duties=('usage_report',), duty_address='127.0.0.1:1'
    )
    context.fleet.apply_manifest(
        attrs.evolve(
            context.fleet.manifest,
            version=2,
            has_accounts=_usage_support.make_manifest().has_accounts,
        )
    )


async def send_counted(route, workers, *, is_enabled=True, headers=None):
    """Sends a request and returns how many were counted."""
    async with _support.open_gateway(route, *workers) as gateway:
        if is_enabled:
            enable(gateway)
        await gateway.send(headers=headers or {})
        log = gateway.context.account_usage.counts.local
    changes = next(log.list_changes(0, 9))
    return sum(changes.counts.values())


@pytest.mark.parametrize(
    ('kind', 'replies', 'expected'),
    (
        (_Kind.NON_IDEMPOTENT, (_support.REJECTED, plain._OK), 1),
        (_Kind.NON_IDEMPOTENT, (_support.REJECTED,), 0),
        (_Kind.IDEMPOTENT, (plain._FAILED, plain._OK), 1),
        (_Kind.NON_IDEMPOTENT, (_support.Reply('', _support.CLOSE),), 1),
    ),
    ids=('rejected', 'not run', 'run twice', 'unknown'),
)
async def test_plain_request_counts_once_if_it_may_have_run(
    kind, replies, expected
):
    """A request counted for each attempt, or where no worker had run it."""
    workers = [_support.ScriptedWorker([reply]) for reply in replies]
    route = plain.make_plain_route(kind, is_public=True)
    assert await send_counted(route, workers) == expected


async def test_generation_counts_at_its_first_event():
    """A generation counted for each worker, or without any event."""
    broken = _support.make_stream('x', 'y', then=_support.CLOSE, end=False)
    rest = _support.make_stream('z', start=3)
    workers = generations.make_workers(
        [_support.HANDLE, _support.HANDLE], [broken], [rest]
    )
    route = generations.make_stream_route(is_public=True)
    assert await send_counted(route, workers, headers=generations.PROMPT) == 1


async def test_nothing_is_counted_without_the_duty():
    """Counts that nobody reports filled the memory."""
    workers = [_support.ScriptedWorker([plain._OK])]
    route = plain.make_plain_route(_Kind.IDEMPOTENT)
    assert await send_counted(route, workers, is_enabled=False) == 0
