"""Guards what the command line shows operators of a running fleet."""

import asyncio
import sys

import orjson

from briarknot import ctl, journal, schema

_TOKENS = 12
_TIMEOUT_S = 30


async def _run_ctl(running, *arguments):
    settings = running.cluster.write_settings(
        'ctl', {'platform_url': running.platform.url}
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'briarknot.ctl',
        *arguments,
        '--settings',
        str(settings),
        '--json',
        stdout=asyncio.subprocess.PIPE,
        env={'PYTHONPATH': ':'.join(sys.path)},
    )
    output, _ = await process.communicate()
    return process.returncode, orjson.loads(output)


async def _wait_record(running, request_id):
    record = None
    async with asyncio.timeout(_TIMEOUT_S):
        while not isinstance(record, schema.records.RequestRecord):
            await asyncio.sleep(0.1)
            record = await journal.read_record(running.client, request_id)
    return record


async def test_drained_engine_ends_idle(small_fleet):
    """A drain that ends early would let an operator stop a busy engine."""
    first, second = sorted(small_fleet.engines)
    code, tree = await _run_ctl(
        small_fleet, 'drain', first, '--wait', '--timeout-s', str(_TIMEOUT_S)
    )
    assert (code, tree['state']) == (ctl.ExitCode.DONE, f'{first} is idle.')
    answers = await asyncio.gather(
        *[small_fleet.complete('urgent', f'p{n}', _TOKENS) for n in range(8)]
    )
    for answer in answers:
        assert answer.is_complete
        record = await _wait_record(small_fleet, answer.request_id)
        assert {one.endpoint for one in record.attempts} == {second}


async def test_peer_hop_is_explained_by_both_hosts(two_domain_fleet):
    """The request id names one host, but both have records of a peer hop."""
    local, remote = two_domain_fleet.entries
    two_domain_fleet.engines[f'{local.domain}-engine-0'].kill()
    answer = None
    async with asyncio.timeout(_TIMEOUT_S):
        while answer is None or not answer.is_complete:
            answer = await two_domain_fleet.complete(
                'urgent', 'a prompt', _TOKENS, entry=local
            )
    await _wait_record(two_domain_fleet, answer.request_id)
    explanations = ()
    async with asyncio.timeout(_TIMEOUT_S):
        while len(explanations) < 2:
            await asyncio.sleep(0.5)
            code, tree = await _run_ctl(
                two_domain_fleet, 'explain', answer.request_id
            )
            assert code == ctl.ExitCode.DONE
            explanations = tree['story']
    assert f'{remote.domain}-engine-0' in explanations[1]
