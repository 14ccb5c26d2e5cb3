"""Guards the request path from a caller to an endpoint and back."""

import asyncio

import attrs
import pytest

from briarknot.tests import _support
from briarknot_standins import engine

_TOKENS = 12


async def _count_service_runs(running):
    runs = [
        await running.read_json(process, '/runs')
        for process in running.services.values()
    ]
    return sum(listed['total'] for listed in runs)


async def test_stream_is_complete_and_of_its_request(small_fleet):
    """A caller could get the text of another request, or a part of it."""
    prompts = [f'prompt number {number}' for number in range(24)]
    answers = await asyncio.gather(
        *[small_fleet.complete('urgent', one, _TOKENS) for one in prompts]
    )
    for prompt, answer in zip(prompts, answers, strict=True):
        assert answer.is_complete
        assert answer.text == engine.expected_text(prompt, _TOKENS)


async def test_refusal_names_its_cause(small_fleet):
    """A refusal without request id and cause can't be traced."""
    refused = await small_fleet.complete('no-such-rank', 'a', 1)
    assert refused.status == 403
    assert refused.problem['cause'] == 'rank_not_allowed'
    assert refused.problem['outcome'] == 'not run'
    assert refused.problem['request_id'] == refused.request_id


async def test_resent_booking_runs_once(small_fleet):
    """A resend through another entry host could run a booking twice."""
    first, second = small_fleet.entries
    one = await small_fleet.call_service('/bookings', key='k', entry=first)
    two = await small_fleet.call_service('/bookings', key='k', entry=second)
    assert (one[0], one[2]) == (two[0], two[2])
    assert await _count_service_runs(small_fleet) == 1


async def test_domain_without_engines_uses_another(two_domain_fleet):
    """A failure domain without engines must still serve its callers."""
    entry = two_domain_fleet.entries[0]
    local_engine = f'{entry.domain}-engine-0'
    two_domain_fleet.engines[local_engine].kill()
    answer = None
    async with asyncio.timeout(30):
        while answer is None or not answer.is_complete:
            answer = await two_domain_fleet.complete(
                'urgent', 'a prompt', _TOKENS, entry=entry
            )
    assert answer.text == engine.expected_text('a prompt', _TOKENS)


@pytest.mark.parametrize('path', ['/v1/completions', '/v1/chat/completions'])
async def test_bad_body_gives_all_findings(small_fleet, path):
    """An invalid body must be answered with all its errors at once."""
    entry = small_fleet.entries[0]
    async with small_fleet.session.post(
        f'{entry.url}{path}',
        json={'model': 3, 'max_tokens': 'x', 'stream': 1},
        headers=small_fleet.make_headers(),
    ) as response:
        problem = await response.json()
    assert response.status == 400
    for name in ('model', 'max_tokens', 'stream'):
        assert f'{name}: expected' in problem['detail']


async def test_planned_stop_completes_open_streams(small_fleet):
    """A planned stop of a host must not interrupt its open streams."""
    entry = small_fleet.entries[0]
    stream = asyncio.create_task(
        small_fleet.complete('urgent', 'long answer', 80, entry=entry)
    )
    await asyncio.sleep(0.3)
    entry.process.terminate()
    answer = await stream
    assert answer.is_complete
    assert answer.text == engine.expected_text('long answer', 80)
    assert await entry.process.wait() == 0


async def test_account_beyond_its_fleet_limit_is_refused(limited_fleet):
    """A refusal by the limit is falsy and was once taken for permission."""
    answers = await asyncio.gather(
        *[
            limited_fleet.complete('urgent', f'a {number}', 1, account='shop')
            for number in range(8)
        ],
    )
    causes = [answer.problem.get('cause') for answer in answers]
    assert causes.count('fleet_limit') >= len(answers) - 2


async def test_open_streams_of_an_account_are_limited(small_fleet):
    """One account could hold all connections of an entry process."""
    entry = small_fleet.entries[0]
    accounts = tuple(
        attrs.evolve(account, max_streams=1)
        for account in small_fleet.document.accounts
    )
    revision = await small_fleet.commit(
        attrs.evolve(small_fleet.document, accounts=accounts)
    )
    await _support.wait_in_force(small_fleet, revision)
    answers = await asyncio.gather(
        *[
            small_fleet.complete('urgent', f'at once {number}', 20, entry=entry)
            for number in range(4)
        ]
    )
    causes = [answer.problem.get('cause') for answer in answers]
    assert causes.count('too_many_streams') == 3
    assert sum(answer.is_complete for answer in answers) == 1
