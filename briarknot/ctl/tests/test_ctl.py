"""Guards against wrong exit codes and wrong reports of the command line."""

import asyncio
import sys
import time

import aiohttp
import orjson
import pytest

from briarknot import ctl, journal, platform, schema
from briarknot_standins import launcher

_TEXT = """{
  "name": "f",
  "domains": [{"name": "d", "region": "r"}],
  "ranks": [{"name": "urgent"}],
  "models": [{"name": "m"}],
  // Rack 3.
  "engines": [{"name": "e1", "domain": "d", "url": "http://127.0.0.1:9",
    "model": "m"}]
}
"""


@pytest.fixture
async def fleet(tmp_path):
    """Yields a running platform, and a function that runs a command."""
    (tmp_path / 'fleet.json').write_text(_TEXT)
    async with launcher.make_cluster() as cluster:
        store = await cluster.start('briarknot_standins.platform')
        settings = cluster.write_settings(
            'ctl', {'platform_url': store.url, 'operator': 'eva'}
        )

        async def run(*arguments):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'briarknot.ctl',
                *arguments,
                '--settings',
                str(settings),
                '--json',
                stdout=asyncio.subprocess.PIPE,
                cwd=tmp_path,
                env={'PYTHONPATH': ':'.join(sys.path)},
            )
            output, _ = await process.communicate()
            return process.returncode, orjson.loads(output)

        yield store, run


async def test_document_commands(fleet):
    """Operators' scripts rely on exit codes that match the result."""
    _, run = fleet
    code, tree = await run('apply', 'fleet.json', '--note', 'first')
    assert (code, tree['revision']) == (ctl.ExitCode.DONE, 1)
    code, tree = await run('apply', 'fleet.json', '--expected-revision', '0')
    assert (code, tree['winner']['note']) == (ctl.ExitCode.RACE, 'first')
    code, tree = await run('drain', 'e1')
    assert code == ctl.ExitCode.DONE
    assert tree['changes'][0]['path'] == 'engines[e1].leaving'
    code, tree = await run('show')
    assert '// Rack 3.' in tree['text']
    assert tree['document']['engines'][0]['leaving']
    code, tree = await run('diff', 'fleet.json')
    assert tree['changes'][0]['after'] == 'False'
    code, tree = await run('show', '--revision', '7')
    assert code == ctl.ExitCode.NOT_FOUND
    code, tree = await run('drain', 'e1', '--wait', '--timeout-s', '0.1')
    assert code == ctl.ExitCode.TIMEOUT
    code, tree = await run('status')
    assert tree['engines'] == {'e1': None}


async def test_request_is_explained(fleet):
    """An operator must find a request by its id or by its account."""
    store, run = fleet
    request_id = journal.make_request_id('h', time.time())
    async with aiohttp.ClientSession() as session:
        client = platform.make_client(session, store.url, 2)
        writer = journal.make_journal(client, 'h', 10, 1 << 20)
        writer.add(
            schema.records.RequestRecord(
                request_id=request_id,
                received_s=time.time(),
                account='a',
                outcome='not run',
                cause='queue_full',
            )
        )
        assert await writer.flush()
    code, tree = await run('explain', request_id)
    assert code == ctl.ExitCode.DONE
    assert 'The queue of the rank is full.' in tree['story'][0]
    code, tree = await run('why', '--account', 'a', '--since', '2m', '--late')
    assert tree['reasons'] == {'queue_full': 1}
    code, _ = await run('explain', journal.make_request_id('h', 0))
    assert code == ctl.ExitCode.NOT_FOUND


async def test_outage_differs_from_not_found(fleet):
    """An outage must not be reported as an empty history."""
    store, run = fleet
    store.kill()
    await store.wait()
    code, tree = await run('history')
    assert (code, tree['error']) == (
        ctl.ExitCode.UNAVAILABLE,
        'platform unavailable',
    )
