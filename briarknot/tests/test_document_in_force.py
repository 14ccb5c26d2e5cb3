"""Guards against documents that come late, or that give way to older ones.

All processes are real. One failure domain reaches the platform and its peers
through a proxy. The tests share a fleet and run in order; each heals what it
has broken. At the end no process may ever have stepped back.
"""

import asyncio
import collections
import contextlib
import re

import aiohttp
import attrs
import pytest
import pytest_asyncio

from briarknot import config, document, platform, schema
from briarknot_standins import fleet

pytestmark = pytest.mark.asyncio(loop_scope='module')

_NEAR, _FAR = 'obb-a', 'frk-a'
#: The stated target; the periods below make the expected time a tenth of it.
_BOUND_S = 4
_POLL_S = 0.05
_LIMIT_S = 30
#: Longer than the start of a process takes.
_STALE_S = 4
_PLAN = attrs.evolve(
    fleet.make_sprossenwerk_plan(),
    domains=(
        fleet.DomainPlan(name=_NEAR, region='obb', entries=2),
        fleet.DomainPlan(name=_FAR, region='frk', entries=0, services=0),
    ),
    timing=schema.settings.Timing(
        document_poll_s=0.1, heartbeat_s=0.5, suspect_after_s=2
    ),
)
_REVISION = re.compile(r'^briarknot_document_revision (\S+)$', re.MULTILINE)
_STARTED = re.compile(r'^process_start_time_seconds \S+$', re.MULTILINE)
_INVALID = re.compile(r'reads_total\{result="invalid".*\} [1-9]')
_IN_FORCE = re.compile(r'document: in force revision=(\d+) source=(\w+)')


@attrs.define
class Rig:
    """A fleet, a proxy around its far domain, and all revisions seen."""

    running: fleet.RunningFleet
    proxy: object = None
    seen: collections.defaultdict = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    @property
    def far(self):
        """The entry process behind the proxy."""
        return self.running.entries[-1]

    async def start(self):
        """Starts the far entry process with all its links through a proxy."""
        running = self.running
        await running.set_faults(running.platform, host_lag_s=0)
        self.proxy = await running.cluster.start('briarknot_standins.proxy')
        running.platform_urls[_FAR] = await self.open_link(
            'platform', running.platform.url
        )
        for entry in running.entries:
            await self.hide(entry)
        await running.start_entry(_FAR, 0)
        await self.hide(self.far)
        await running.wait_ready()

    async def open_link(self, name, url):
        """Opens a link of the proxy; returns its URL."""
        port = self.running.cluster.choose_port()
        link = {
            'name': name,
            'port': port,
            'target_port': int(url.rpartition(':')[2]),
        }
        async with self.running.session.post(
            f'{self.proxy.url}/links', json=link
        ) as response:
            response.raise_for_status()
        return f'http://127.0.0.1:{port}'

    async def hide(self, entry):
        """Lists an entry process by its URL at the proxy."""
        url = await self.open_link(entry.host, entry.peer_url)
        listed = attrs.evolve(entry, peer_url=url)
        await self.running.register_host(listed, 'live')

    @contextlib.asynccontextmanager
    async def fault(self, *links, **request):
        """Puts faults of links in force for a while."""
        url = f'{self.proxy.url}/faults'
        session = self.running.session
        for link in links:
            body = {'link': link, **request}
            async with session.post(url, json=body) as response:
                response.raise_for_status()
        yield
        async with session.delete(url) as response:
            response.raise_for_status()

    async def sample(self):
        """Reads the revision of each process, until cancelled."""
        while True:
            for entry in self.running.entries:
                await self.read_revision(entry)
            await asyncio.sleep(_POLL_S)

    async def read_revision(self, entry):
        """Reads a process' revision; 0 where it does not answer."""
        with contextlib.suppress(aiohttp.ClientError, OSError):
            text = await self.running.read_metrics(entry)
            revision = int(float(_REVISION.search(text).group(1)))
            # A restarted process answers on the port of the one before.
            started = _STARTED.search(text).group()
            self.seen[entry.host, started].append(revision)
            return revision
        return 0

    async def wait_revision(self, entries, limit_s=_BOUND_S):
        """Waits until processes have the committed revision."""
        async with asyncio.timeout(limit_s):
            for entry in entries:
                revision = 0
                while revision < self.running.revision:
                    await asyncio.sleep(_POLL_S)
                    revision = await self.read_revision(entry)

    async def wait_invalid(self, entry):
        """Waits until a process has read an invalid text."""
        text = ''
        while not _INVALID.search(text):
            await asyncio.sleep(_POLL_S)
            text = await self.running.read_metrics(entry)

    async def commit(self, *entries):
        """Commits a document and waits until it is in force."""
        await self.running.commit(self.running.document)
        await self.wait_revision(entries)

    async def restart(self, entry):
        """Kills an entry process and starts it with the same settings."""
        entry.process.kill()
        await entry.process.wait()
        cluster = self.running.cluster
        settings = cluster.folder / f'{entry.host}-entry.json'
        process = await cluster.start(
            'briarknot.entry',
            ['--settings', str(settings)],
            port=entry.process.port,
        )
        renewed = attrs.evolve(entry, process=process)
        entries = self.running.entries
        entries[entries.index(entry)] = renewed
        return renewed


def _read_taken(entry):
    """Returns revision and source of each document that was in force."""
    found = _IN_FORCE.findall(entry.process.read_output())
    return [(int(revision), source) for revision, source in found]


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def rig():
    """A fleet whose revisions are sampled during all tests."""
    async with fleet.run_fleet(_PLAN) as running:
        rig = Rig(running)
        await rig.start()
        sampling = asyncio.create_task(rig.sample())
        yield rig
        assert not sampling.done()
        sampling.cancel()
        for process in running.cluster.processes:
            steps = [
                int(one) for one, _ in _IN_FORCE.findall(process.read_output())
            ]
            assert steps == sorted(set(steps))
        for revisions in rig.seen.values():
            assert revisions == sorted(revisions)


async def test_one_of_racing_operators_wins(rig):
    """Two commits from one revision could both be told that they won."""
    running = rig.running
    text = document.write_text(running.document)
    results = await asyncio.gather(
        *[
            config.commit_document(
                running.client, text, f'operator-{number}', '', running.revision
            )
            for number in range(6)
        ]
    )
    kinds = collections.Counter(type(one) for one in results)
    assert kinds == {config.Accepted: 1, config.Race: 5}
    running.revision += 1
    await rig.wait_revision(running.entries)


async def test_lost_answer_is_no_lost_commit(rig):
    """A commit that applied must not be told as failed, or come twice."""
    running = rig.running
    url = await rig.open_link('operator', running.platform.url)
    client = platform.make_client(running.session, url, 0.5)
    async with rig.fault(
        'operator', kind='hold', direction='backward', marker='"versions"'
    ):
        accepted = await config.commit_document(
            client,
            document.write_text(running.document),
            'operator',
            '',
            running.revision,
        )
    assert accepted == config.Accepted(running.revision + 1)
    running.revision += 1
    await rig.wait_revision(running.entries)


async def test_domain_without_platform_follows_its_peers(rig):
    """A failure domain that only peers reach could keep an old document."""
    async with rig.fault('platform', kind='cut'):
        await rig.commit(*rig.running.entries)
        assert _read_taken(rig.far)[-1] == (rig.running.revision, 'peer')


async def test_isolated_domain_converges_after_healing(rig):
    """A failure domain could stay behind after a partition."""
    *near, far = rig.running.entries
    hosts = [entry.host for entry in rig.running.entries]
    async with rig.fault('platform', *hosts, kind='cut'):
        await rig.commit(*near)
        await asyncio.sleep(1)
        assert await rig.read_revision(far) == rig.running.revision - 1
    await rig.wait_revision([far])


async def test_outage_of_the_platform_and_restart_in_it(rig):
    """A process that starts in an outage has only its peers to learn from."""
    running = rig.running
    await running.set_faults(running.platform, down=True)
    renewed = await rig.restart(running.entries[1])
    await rig.wait_revision([renewed], _LIMIT_S)
    assert _read_taken(renewed) == [(running.revision, 'peer')]
    await running.set_faults(running.platform, down=False)
    await rig.commit(*running.entries)


async def test_restart_believes_no_stale_read(rig):
    """Restarted processes could go back to what a stale read shows.

    They start at the same time, so that each meets a peer that knows nothing.
    """
    running = rig.running
    await asyncio.sleep(_STALE_S)
    await rig.commit(*running.entries)
    await running.set_faults(running.platform, stale_reads=_STALE_S)
    *near, _ = running.entries
    renewed = await asyncio.gather(*[rig.restart(entry) for entry in near])
    await rig.wait_revision(renewed, _LIMIT_S)
    for entry in renewed:
        assert [one for one, _ in _read_taken(entry)] == [running.revision]
    await running.set_faults(running.platform, stale_reads=0)
    await rig.commit(*running.entries)


async def test_invalid_text_changes_nothing(rig):
    """A text that can't be read could stop the process or the follower."""
    running = rig.running
    await running.client.write_object('documents/invalid', b'{"name": 3')
    revision = running.revision + 1
    rows = {
        'current': schema.records.DocumentRow(
            revision=revision, object='documents/invalid', attempt_id='a'
        ),
        'head': schema.records.DocumentHead(revision=revision, attempt_id='a'),
    }
    for key, value in rows.items():
        known = await running.client.read_row('document', key)
        operation = platform.make_operation(
            'document', key, value, known.version
        )
        assert await running.client.commit(operation)
    async with asyncio.timeout(_LIMIT_S):
        for entry in running.entries:
            await rig.wait_invalid(entry)
    for entry in running.entries:
        assert await rig.read_revision(entry) == running.revision
    running.revision += 1
    await rig.commit(*running.entries)
