"""Guards against documents that take effect late or yield to older ones.

All processes are real. One failure domain reaches the platform and its peers
through a proxy. The tests share a fleet and run in order; each removes its
faults. At the end no process may have gone back to an older revision.
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

_DIRECT_DOMAIN, _PROXIED_DOMAIN = 'obb-a', 'frk-a'
#: Target for a commit to take effect; the periods below need a tenth of it.
_TARGET_S = 4
_POLL_S = 0.05
_TIMEOUT_S = 30
#: Age of stale reads; longer than the start of a process takes.
_STALE_READ_S = 4
_PLAN = attrs.evolve(
    fleet.make_sprossenwerk_plan(),
    domains=(
        fleet.DomainPlan(name=_DIRECT_DOMAIN, region='obb', entries=2),
        fleet.DomainPlan(
            name=_PROXIED_DOMAIN, region='frk', entries=0, services=0
        ),
    ),
    timing=schema.settings.Timing(
        document_poll_s=0.1, heartbeat_s=0.5, suspect_after_s=2
    ),
)
_REVISION = re.compile(r'^briarknot_document_revision (\S+)$', re.MULTILINE)
_STARTED = re.compile(r'^process_start_time_seconds \S+$', re.MULTILINE)
_INVALID_READS = re.compile(r'reads_total\{result="invalid".*\} [1-9]')
_IN_FORCE = re.compile(r'document: in force revision=(\d+) source=(\w+)')


@attrs.define
class Rig:
    """A fleet, the proxy of one domain, and all observed revisions."""

    running: fleet.RunningFleet
    proxy: object = None
    observed: collections.defaultdict = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    @property
    def proxied_entry(self):
        """The entry process behind the proxy."""
        return self.running.entries[-1]

    async def start(self):
        """Starts the last entry process with all its links through a proxy."""
        running = self.running
        await running.set_faults(running.platform, host_lag_s=0)
        self.proxy = await running.cluster.start('briarknot_standins.proxy')
        running.platform_urls[_PROXIED_DOMAIN] = await self.open_link(
            'platform', running.platform.url
        )
        for entry in running.entries:
            await self.route_through_proxy(entry)
        await running.start_entry(_PROXIED_DOMAIN, 0)
        await self.route_through_proxy(self.proxied_entry)
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

    async def route_through_proxy(self, entry):
        """Registers an entry process with its URL at the proxy."""
        url = await self.open_link(entry.host, entry.peer_url)
        proxied = attrs.evolve(entry, peer_url=url)
        await self.running.register_host(proxied, 'live')

    @contextlib.asynccontextmanager
    async def fault(self, *links, **request):
        """Injects a fault into links while the context is open."""
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
        """Records the revision of each process, until cancelled."""
        while True:
            for entry in self.running.entries:
                await self.read_revision(entry)
            await asyncio.sleep(_POLL_S)

    async def read_revision(self, entry):
        """Records and returns the revision of a process; 0 without an answer."""
        with contextlib.suppress(aiohttp.ClientError, OSError):
            text = await self.running.read_metrics(entry)
            revision = int(float(_REVISION.search(text).group(1)))
            # A restarted process listens on the port of the previous one.
            started = _STARTED.search(text).group()
            self.observed[entry.host, started].append(revision)
            return revision
        return 0

    async def wait_revision(self, entries, timeout_s=_TARGET_S):
        """Waits until processes have the committed revision in force."""
        async with asyncio.timeout(timeout_s):
            for entry in entries:
                revision = 0
                while revision < self.running.revision:
                    await asyncio.sleep(_POLL_S)
                    revision = await self.read_revision(entry)

    async def wait_invalid_read(self, entry):
        """Waits until a process has read an invalid document."""
        text = ''
        while not _INVALID_READS.search(text):
            await asyncio.sleep(_POLL_S)
            text = await self.running.read_metrics(entry)

    async def commit(self, *entries):
        """Commits a document and waits until it is in force at processes."""
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
        restarted = attrs.evolve(entry, process=process)
        entries = self.running.entries
        entries[entries.index(entry)] = restarted
        return restarted


def _list_documents_in_force(entry):
    """Returns revision and source of each document that took effect."""
    found = _IN_FORCE.findall(entry.process.read_output())
    return [(int(revision), source) for revision, source in found]


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def rig():
    """A fleet whose revisions are sampled and must never decrease."""
    async with fleet.run_fleet(_PLAN) as running:
        rig = Rig(running)
        await rig.start()
        sampling = asyncio.create_task(rig.sample())
        yield rig
        assert not sampling.done()
        sampling.cancel()
        for process in running.cluster.processes:
            in_force = [
                int(one) for one, _ in _IN_FORCE.findall(process.read_output())
            ]
            assert in_force == sorted(set(in_force))
        for revisions in rig.observed.values():
            assert revisions == sorted(revisions)


async def test_only_one_of_concurrent_commits_is_accepted(rig):
    """Two commits on one revision could both be reported as accepted."""
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


async def test_commit_with_lost_answer_is_accepted_once(rig):
    """An applied commit must not be reported as failed, or applied again."""
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


async def test_domain_without_platform_reads_from_peers(rig):
    """A failure domain that reaches only its peers could miss a commit."""
    async with rig.fault('platform', kind='cut'):
        await rig.commit(*rig.running.entries)
        assert _list_documents_in_force(rig.proxied_entry)[-1] == (
            rig.running.revision,
            'peer',
        )


async def test_isolated_domain_converges_after_partition(rig):
    """A failure domain could keep an old document after a partition."""
    *direct, proxied = rig.running.entries
    hosts = [entry.host for entry in rig.running.entries]
    async with rig.fault('platform', *hosts, kind='cut'):
        await rig.commit(*direct)
        await asyncio.sleep(1)
        assert await rig.read_revision(proxied) == rig.running.revision - 1
    await rig.wait_revision([proxied])


async def test_restart_in_a_platform_outage(rig):
    """A process that starts in an outage can read only from its peers."""
    running = rig.running
    await running.set_faults(running.platform, down=True)
    restarted = await rig.restart(running.entries[1])
    await rig.wait_revision([restarted], _TIMEOUT_S)
    assert _list_documents_in_force(restarted) == [(running.revision, 'peer')]
    await running.set_faults(running.platform, down=False)
    await rig.commit(*running.entries)


async def test_restart_ignores_stale_reads(rig):
    """Restarted processes could go back to the document of a stale read.

    They start at the same time, so that each has a peer without a document.
    """
    running = rig.running
    await asyncio.sleep(_STALE_READ_S)
    await rig.commit(*running.entries)
    await running.set_faults(running.platform, stale_reads=_STALE_READ_S)
    *direct, _ = running.entries
    restarted = await asyncio.gather(*[rig.restart(entry) for entry in direct])
    await rig.wait_revision(restarted, _TIMEOUT_S)
    for entry in restarted:
        assert [one for one, _ in _list_documents_in_force(entry)] == [
            running.revision
        ]
    await running.set_faults(running.platform, stale_reads=0)
    await rig.commit(*running.entries)


async def test_invalid_document_is_ignored(rig):
    """A document that can't be parsed could stop the process or its updates."""
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
    async with asyncio.timeout(_TIMEOUT_S):
        for entry in running.entries:
            await rig.wait_invalid_read(entry)
    for entry in running.entries:
        assert await rig.read_revision(entry) == running.revision
    running.revision += 1
    await rig.commit(*running.entries)
