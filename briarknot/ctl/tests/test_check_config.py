"""Guards against manifests whose faults show only once they are in force."""

import asyncio
import copy

import aiohttp
import orjson
import pytest

from briarknot import platform
from briarknot.ctl import _program
from briarknot_standins import launcher

_KEY = 'key-of-a'
_SCALING = {
    'min': 1,
    'max': 2,
    'bootTimeoutS': 4,
    'spotPrice': 0.2,
    'zonePrices': {'z': 1},
}
_BASE = {
    'version': 2,
    'routes': [
        {
            'name': 'r',
            'host': 'h',
            'pathPrefix': '/r/',
            'kind': 'idempotent',
            'timeoutMs': 1000,
            'targetLatencyMs': 500,
            'service': 's',
        },
        {
            'name': 'split',
            'host': 'h',
            'pathPrefix': '/split/',
            'kind': 'streaming',
            'timeoutMs': 1000,
            'resumable': True,
            'split': [
                {'service': 's', 'weight': 0.9},
                {'service': 't', 'weight': 0.1},
            ],
        },
    ],
    'services': [{'name': 's'}, {'name': 't', 'scaling': _SCALING}],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [{'name': 'a', 'apiKeys': [_KEY]}],
}


def _change(path, value):
    """Returns the manifest with another value, or one more entry of a list."""
    tree = copy.deepcopy(_BASE)
    last = path[-1]
    target = tree
    for one in path[:-1]:
        target = target[one]
    if isinstance(target, list) and last == len(target):
        target.append(value)
    else:
        target[last] = value
    return tree


@pytest.fixture
def check(tmp_path, capsys):
    """Runs the command on bytes or a tree; returns the exit code and report."""

    def run(config, *options, against=None):
        path = tmp_path / 'new.json'
        if not isinstance(config, bytes):
            config = orjson.dumps(config)
        path.write_bytes(config)
        if against is not None:
            before = tmp_path / 'old.json'
            before.write_bytes(orjson.dumps(against))
            options = (*options, '--against', str(before))
        code = _program.run(['check-config', str(path), '--json', *options])
        output = capsys.readouterr().out
        assert _KEY not in output
        return code, orjson.loads(output)

    return run


_ERRORS = (
    ('decoder', ('routes', 0, 'kind'), 'other'),
    ('decoder', ('limits',), {}),
    ('decoder', ('tenants',), None),
    ('type', ('routes', 0, 'name'), 5),
    ('type', ('routes', 0, 'maxAttempts'), 'many'),
    ('type', ('services', 0, 'name'), ['x']),
    ('type', ('limits', 'maxBodyBytes'), '4 MB'),
    ('account_left_out', ('tenants', 0, 'name'), ''),
    ('unknown_service', ('routes', 0, 'service'), 'none'),
    ('shared_key', ('tenants', 1), {'name': 'b', 'apiKeys': [_KEY]}),
)
_WARNINGS = (
    ('shadowed_route', ('routes', 2), {**_BASE['routes'][0], 'name': 'later'}),
    ('zero_weight', ('routes', 1, 'split', 1, 'weight'), 0),
    ('account_without_key', ('tenants', 0, 'apiKeys'), []),
    ('unused_service', ('services', 2), {'name': 'idle'}),
    ('timeout_below_target', ('routes', 0, 'timeoutMs'), 400),
    ('body_below_header', ('limits', 'maxBodyBytes'), 1000),
    ('shares_above_one', ('routes', 1, 'split', 0, 'weight'), 1),
    ('header_above_idle', ('limits', 'headerTimeoutMs'), 15001),
    ('resumable_no_generation', ('routes', 1, 'kind'), 'idempotent'),
)


@pytest.mark.parametrize(('name', 'path', 'value'), _ERRORS)
def test_error_is_found(check, name, path, value):
    """A manifest with an error must not pass."""
    code, report = check(_change(path, value))
    assert code == 2
    assert report['findings'][0]['check'] == name


@pytest.mark.parametrize(('name', 'path', 'value'), _WARNINGS)
def test_warning_is_found(check, name, path, value):
    """A doubtful entry must be listed, and nothing else."""
    code, report = check(_change(path, value))
    assert code == 1
    assert name == ' '.join(one['check'] for one in report['findings'])


@pytest.mark.parametrize('least', [3, 'one'])
def test_scaling_limits_are_judged_by_the_decoder(check, least):
    """Scaling limits that gateways ignore looked valid."""
    code, report = check(_change(('services', 1, 'scaling', 'min'), least))
    assert code == 2
    assert [one['check'] for one in report['findings']] == ['scaling_ignored']


def test_limits_of_zero_stand_for_none(check):
    """A manifest without an idle time-out must not be doubted."""
    assert check(_change(('limits', 'idleTimeoutMs'), 0))[0] == 0


def test_all_checks_are_tested():
    """A check that never finds anything would look like a valid manifest."""
    tested = {one[0] for one in (*_ERRORS, *_WARNINGS)}
    tested |= {'old_version', 'attempts_above_workers', 'scaling_ignored'}
    assert set(platform.CONFIG_CHECKS.names) <= tested


def test_valid_manifest_has_no_findings(check):
    """Operators must be able to trust that exit code 0 means valid."""
    assert check(_BASE) == (0, {'exit_code': 0, 'findings': [], 'changes': []})


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'no JSON',
        b'\xff\xfe',
        b'[]',
        b'null',
        b'{}',
        b'[' * 4_000_000,
        b'"' + b'x' * 4_000_000 + b'"',
        b'{"version":' + b'9' * 4_000_000 + b'}',
        orjson.dumps({**_BASE, 'routes': list(range(100_000))}),
        orjson.dumps({**_BASE, 'services': {'name': 's'}}),
    ],
    ids=range(11),
)
def test_malformed_file_is_reported(check, text):
    """A file that is no manifest ended in a traceback."""
    code, report = check(text)
    assert code == 2
    assert report['findings']


def test_differences_do_not_show_keys(check):
    """Operators paste differences into tickets, which must not hold keys."""
    after = _change(('tenants', 0, 'apiKeys'), ['key-of-a2'])
    after['version'] = 3
    after['routes'][0]['timeoutMs'] = 2000
    after['services'].append({'name': 'new'})
    code, report = check(after, against=_BASE)
    assert code == 1
    assert [one['path'] for one in report['changes']] == [
        'version',
        'routes[r].timeout_s',
        'services[new]',
        'accounts[a].keys',
    ]
    assert report['changes'][-1]['after'] == '1, 1 of them new'
    assert 'key-of-a2' not in str(report)


def test_file_in_force_that_is_malformed(check):
    """Without the version in force, a manifest must not count as valid."""
    code, report = check(_BASE, against={})
    assert code == 2
    assert report['findings'][0]['subject'].endswith('old.json')


async def test_store_is_read(check, tmp_path):
    """The version in force and the workers come from the store."""
    async with launcher.make_cluster() as cluster:
        store = await cluster.start('briarknot_standins.platform')
        async with aiohttp.ClientSession() as session:
            client = platform.make_client(session, store.url, 2)
            assert await client.commit(
                platform.Operation('op', 'config', _BASE)
            )
        address = store.url.removeprefix('http://')
        code, report = await asyncio.to_thread(check, _BASE, '--store', address)
    assert code == 2
    checks = [one['check'] for one in report['findings']]
    assert checks == [
        'old_version',
        'attempts_above_workers',
        'attempts_above_workers',
    ]


def test_store_that_does_not_answer(check):
    """An outage must not look like a valid manifest."""
    assert check(_BASE, '--store', '127.0.0.1:9')[0] == 5
    assert check(_BASE, '--store', 'no address')[0] == 5
    # These ended in a traceback.
    assert check(_BASE, '--store', '127.0.0.1:99999')[0] == 5
    assert check(_BASE, '--store', '[')[0] == 5
