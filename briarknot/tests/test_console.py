"""Guards against commits that are lost, applied twice, or misreported.

The consoles and the platform are processes; a relay in the test process drops
the answers to transactions.
"""

import asyncio
import html
import json
import re
import sys

import aiohttp
import attrs
import pytest
from aiohttp import web

from briarknot.ctl import _key_commands
from briarknot_standins import launcher, serving

_TOKENS = {'eva': 'token-of-eva', 'noe': 'token-of-noe'}
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


@attrs.define
class _Relay:
    """Forwards calls to the platform; drops answers to transactions."""

    url: str
    session: aiohttp.ClientSession
    answers_to_drop: int = 0

    async def handle(self, request):
        async with self.session.request(
            request.method,
            self.url + request.raw_path,
            data=await request.read(),
        ) as response:
            answer = web.Response(
                status=response.status, body=await response.read()
            )
        if request.path == '/v1/rows-tx' and self.answers_to_drop:
            self.answers_to_drop -= 1
            return serving.abort(request)
        return answer


@attrs.define
class _Browser:
    """A browser without JavaScript, at one page."""

    session: aiohttp.ClientSession
    url: str
    page: str = ''

    async def get(self, path):
        async with self.session.get(self.url + path) as response:
            self.page = await response.text()
            return response.status

    async def post(self, path, action='', **entries):
        form = {'action': action, **entries}
        for name in ('csrf_token', 'expected_revision'):
            match = re.search(f'name="{name}" value="([^"]*)"', self.page)
            form.setdefault(name, match.group(1) if match else '')
        async with self.session.post(self.url + path, data=form) as response:
            self.page = await response.text()
            return response.status

    async def sign_in(self, token):
        await self.get('/sign-in')
        return await self.post('/sign-in', token=token)

    def has(self, text):
        return text in html.unescape(self.page)


@attrs.define
class _Rig:
    """Two consoles, each with an operator's browser."""

    platform: launcher.Process
    relay: _Relay
    consoles: list
    eva: _Browser
    noe: _Browser

    async def call(self, method, path, token='token-of-eva', **options):
        headers = {'Authorization': f'Bearer {token}'}
        async with self.relay.session.request(
            method, self.consoles[0].url + path, headers=headers, **options
        ) as response:
            return response.status, await response.text()

    async def commit(self, text, revision):
        path = f'/api/document?expected_revision={revision}'
        return await self.call('PUT', path, data=text)


async def _start_console(cluster, number, platform_url):
    port = cluster.choose_port()
    node = {
        'host': f'h{number}',
        'domain': 'd',
        'admin_port': cluster.choose_port(),
        'platform_url': platform_url,
        'peer_secret': 'secret',
        'drain_grace_s': 0,
    }
    operators = [
        {'name': name, 'token_hash': _key_commands.hash_key(token)}
        for name, token in _TOKENS.items()
    ]
    settings = cluster.write_settings(
        f'console{number}', {'node': node, 'port': port, 'operators': operators}
    )
    return await cluster.start(
        'briarknot.console', ('--settings', str(settings)), port=port
    )


def _make_session():
    # Cookies of IP addresses are refused by default.
    return aiohttp.ClientSession(cookie_jar=aiohttp.CookieJar(unsafe=True))


@pytest.fixture
async def rig():
    """Yields two consoles with a first document and signed-in browsers."""
    async with (
        launcher.make_cluster() as cluster,
        _make_session() as plain,
        _make_session() as first,
        _make_session() as second,
    ):
        platform = await cluster.start('briarknot_standins.platform')
        relay = _Relay(platform.url, plain)
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', relay.handle)
        async with serving.serve(app) as url:
            consoles = [
                await _start_console(cluster, number, url)
                for number in range(2)
            ]
            browsers = (
                _Browser(first, consoles[0].url),
                _Browser(second, consoles[1].url),
            )
            rig = _Rig(platform, relay, consoles, *browsers)
            status, _ = await rig.commit(_TEXT, 0)
            assert status == 200
            for browser, token in zip(browsers, _TOKENS.values(), strict=True):
                assert await browser.sign_in(token) == 200
            yield rig


async def test_text_conflict_shows_the_commit_and_keeps_the_text(rig):
    """A refused operator must see who changed what, and keep the text."""
    eva_text = _TEXT.replace('"urgent"', '"urgent", "worth": 3')
    noe_text = _TEXT.replace('Rack 3', 'Rack 4, kept')
    for browser in (rig.eva, rig.noe):
        await browser.get('/document')
    assert await rig.eva.post('/document', 'preview', text=eva_text) == 200
    assert rig.eva.has('ranks[urgent].worth')
    status = await rig.eva.post(
        '/document', 'commit', text=eva_text, note='why'
    )
    assert status == 200
    assert rig.eva.has('Revision 2')
    assert await rig.noe.post('/document', 'commit', text=noe_text) == 409
    for shown in ('eva', 'why', 'ranks[urgent].worth', 'Rack 4, kept'):
        assert rig.noe.has(shown)
    assert await rig.noe.post('/document', 'commit', text=noe_text) == 200
    assert rig.noe.has('Revision 3')


async def test_form_conflict_keeps_both_changes(rig):
    """A form changes one member, so a concurrent change must survive."""
    path = '/fleet/ranks/member?name=urgent'
    await rig.noe.get(path)
    await rig.eva.get('/fleet/engines/member?name=e1&leaving=1')
    assert rig.eva.has('name="leaving" value="on" checked')
    engine = {'name': 'e1', 'domain': 'd', 'model': 'm', 'leaving': 'on'}
    engine['url'] = 'http://127.0.0.1:9'
    engine_path = '/fleet/engines/member?name=e1'
    assert await rig.eva.post(engine_path, 'preview', **engine) == 200
    assert rig.eva.has('engines[e1].leaving')
    assert await rig.eva.post(engine_path, 'commit', **engine) == 200
    rank = {'name': 'urgent', 'worth': '5'}
    assert await rig.noe.post(path, 'commit', **rank) == 409
    assert rig.noe.has('engines[e1].leaving')
    assert rig.noe.has('name="worth" value="5"')
    assert await rig.noe.post(path, 'commit', **rank) == 200
    _, text = await rig.call('GET', '/api/document')
    assert '"leaving": true' in text
    assert '"worth": 5' in text
    assert '// Rack 3.' in text


async def test_findings_are_beside_their_fields(rig):
    """A form must show all findings at once, each beside its field."""
    path = '/fleet/services/member'
    await rig.eva.get(path)
    entries = {'name': 'A B', 'timeout_s': 'soon', 'rank': 'gone'}
    entries.update({'endpoints.0.name': 'w1', 'endpoints.0.domain': 'd'})
    entries.update({'non_repeatable.0.path': 'bookings'})
    assert await rig.eva.post(path, 'commit', **entries) == 422
    fields = rig.eva.page.split('class="field')[1:]
    marked = [
        re.search('for="([^"]+)"', field).group(1)
        for field in fields
        if 'class="finding"' in field
    ]
    assert marked == [
        'name',
        'endpoints.0.url',
        'non_repeatable.0.path',
        'rank',
        'timeout_s',
    ]


async def test_commit_with_lost_answer_is_accepted_once(rig):
    """A commit whose answer was lost must not be refused or repeated."""
    rig.relay.answers_to_drop = 1
    status, _ = await rig.commit(_TEXT, 1)
    assert status == 200
    _, history = await rig.call('GET', '/api/history')
    assert re.findall(r'"revision":(\d+)', history) == ['2', '1']


async def test_command_line_commits_through_a_console(rig, tmp_path):
    """The history must name the token's operator, not that of the settings."""
    settings = {'platform_url': rig.platform.url, 'operator': 'mallory'}
    settings.update(console_url=rig.consoles[0].url, token='token-of-noe')
    (tmp_path / 'ctl.json').write_text(json.dumps(settings))
    codes = []
    for text in (_TEXT, '{"name": 3}'):
        (tmp_path / 'fleet.json').write_text(text)
        for revision in ('1', '0'):
            arguments = ['apply', str(tmp_path / 'fleet.json')]
            arguments.extend(('--expected-revision', revision))
            arguments.extend(('--settings', str(tmp_path / 'ctl.json')))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'briarknot.ctl',
                *arguments,
                stdout=asyncio.subprocess.DEVNULL,
                env={'PYTHONPATH': ':'.join(sys.path)},
            )
            codes.append(await process.wait())
    assert codes == [0, 4, 3, 3]
    _, history = await rig.call('GET', '/api/history')
    assert re.findall(r'"operator":"(\w+)"', history) == ['noe', 'eva']


async def test_platform_outage_keeps_the_entries(rig):
    """An outage must differ from a refusal, and the text must be kept."""
    await rig.eva.get('/document')
    rig.platform.kill()
    await rig.platform.wait()
    text = f'{_TEXT}// kept'
    assert await rig.eva.post('/document', 'commit', text=text) == 503
    assert rig.eva.has('Nothing was changed')
    assert rig.eva.has('// kept')
    status, body = await rig.commit(_TEXT, 1)
    assert (status, '"may_have_applied":false' in body) == (503, True)


async def test_access_is_refused(rig):
    """Only signed-in operators may read or send forms of their session."""
    async with _make_session() as session:
        stranger = _Browser(session, rig.consoles[0].url)
        await stranger.get('/document')
        assert stranger.has('Operator token')
        assert await stranger.sign_in('wrong-token') == 403
        forged = {'briarknot_session': f'eva.99999999999.00.{"0" * 64}'}
        session.cookie_jar.update_cookies(forged)
        await stranger.get('/document')
        assert stranger.has('Operator token')
    await rig.eva.get('/document')
    form = {'text': _TEXT, 'csrf_token': 'x'}
    assert await rig.eva.post('/document', 'commit', **form) == 403
    status, _ = await rig.call('GET', '/api/document', token='wrong')
    assert status == 401
    status, body = await rig.commit('{"name": 3}', 1)
    assert (status, '"line":1' in body) == (422, True)
    assert (await rig.commit(_TEXT, 0))[0] == 409


async def test_pages_and_logs_hold_no_secret(rig):
    """Tokens and the shared secret must not reach pages or logs."""
    for path in ('/', '/history', '/history/1', '/fleet/engines', '/document'):
        assert await rig.eva.get(path) == 200
        assert 'token-of' not in rig.eva.page
    for console in rig.consoles:
        console.terminate()
        assert await console.wait() == 0
        output = console.read_output()
        assert 'token-of' not in output
        assert 'secret' not in output


async def test_large_bodies_need_a_token(rig):
    """Anyone could fill the memory of a console without a token."""
    form = {'token': 'x' * (1 << 20)}
    url = f'{rig.consoles[0].url}/sign-in'
    async with aiohttp.ClientSession() as session:
        async with session.post(url, data=form) as response:
            assert response.status == 413
    status, _ = await rig.call('PUT', '/api/document', 'no', data=form)
    assert status == 401
