"""Starting and controlling the processes of a fleet."""

import asyncio
import collections.abc
import contextlib
import itertools
import typing

import aiohttp
import attrs

from briarknot import config, document, platform, schema
from briarknot_standins import launcher
from briarknot_standins.fleet import _calls, _fault_proxy, _plan

PEER_SECRET = 'stand-in peer secret'
_READY_TIMEOUT_S = 30
_POLL_S = 0.05
_OK = 200


@attrs.frozen
class Entry:
    """An entry process.

    :param host: name of its host.
    :param domain: failure domain.
    :param url: base URL for callers.
    :param admin_url: base URL of its admin port.
    :param peer_url: base URL of its peer port.
    :param process: its process.
    """

    host: str
    domain: str
    url: str
    admin_url: str
    peer_url: str
    process: launcher.Process


@attrs.define(eq=False, kw_only=True)
class RunningFleet:
    """A fleet of processes.

    :param plan: plan from which it was started.
    :param cluster: its processes.
    :param session: client session.
    :param platform: process of the platform.
    :param client: client of the platform.
    :param engines: processes of the engines by name.
    :param services: processes of the plain service's workers by name.
    :param entries: entry processes.
    :param controls: control processes by host.
    :param consoles: console processes.
    :param platform_urls: platform URLs by failure domain, for domains that
        don't use the platform's own URL.
    :param document: last committed document.
    :param revision: revision of that document.
    :param fault_proxy: fault proxy; None where the plan has none.
    """

    plan: _plan.FleetPlan
    cluster: launcher.Cluster
    session: aiohttp.ClientSession
    platform: launcher.Process
    client: platform.Client
    engines: dict[str, launcher.Process] = attrs.field(factory=dict)
    services: dict[str, launcher.Process] = attrs.field(factory=dict)
    entries: list[Entry] = attrs.field(factory=list)
    controls: dict[str, launcher.Process] = attrs.field(factory=dict)
    consoles: list[launcher.Process] = attrs.field(factory=list)
    platform_urls: dict[str, str] = attrs.field(factory=dict)
    document: schema.fleet.Fleet = attrs.field(factory=schema.fleet.Fleet)
    revision: int = 0
    fault_proxy: '_fault_proxy.FaultProxy | None' = None
    _entry_cycle: 'itertools.cycle[int] | None' = None
    _commands: dict[str, tuple[str, tuple[str, ...]]] = attrs.field(
        factory=dict, init=False
    )

    def choose_entry(self) -> Entry:
        """Chooses entry processes round robin, as a load balancer does."""
        if self._entry_cycle is None:
            self._entry_cycle = itertools.cycle(range(len(self.entries)))
        return self.entries[next(self._entry_cycle)]

    def make_headers(
        self, rank: str = '', account: str = '', key: str = ''
    ) -> dict[str, str]:
        """Makes the headers of a caller's request."""
        account = account or self.plan.accounts[0]
        headers = {'Authorization': f'Bearer {_plan.make_key(account)}'}
        if rank:
            headers['X-Briarknot-Rank'] = rank
        if key:
            headers['Idempotency-Key'] = key
        return headers

    async def complete(
        self,
        rank: str,
        prompt: str,
        max_tokens: int,
        *,
        entry: Entry | None = None,
        account: str = '',
    ) -> _calls.Completion:
        """Sends a streamed completion and reads it to its end."""
        entry = entry or self.choose_entry()
        body = {
            'model': self.plan.model.name,
            'prompt': prompt,
            'max_tokens': max_tokens,
        }
        return await _calls.complete(
            self.session, entry.url, self.make_headers(rank, account), body
        )

    async def call_service(
        self,
        path: str,
        *,
        key: str = '',
        body: bytes = b'{}',
        entry: Entry | None = None,
        method: str = 'POST',
    ) -> tuple[int, dict[str, str], bytes]:
        """Calls the plain service; returns status, headers, and body."""
        entry = entry or self.choose_entry()
        async with self.session.request(
            method,
            f'{entry.url}/services/{self.plan.service}{path}',
            headers=self.make_headers(key=key),
            data=body,
        ) as response:
            return (
                response.status,
                dict(response.headers),
                (await response.read()),
            )

    async def read_json(
        self, process: launcher.Process, path: str
    ) -> typing.Any:
        """Fetches JSON from a stand-in."""
        async with self.session.get(f'{process.url}{path}') as response:
            return await response.json()

    async def set_faults(
        self, process: launcher.Process, **faults: typing.Any
    ) -> None:
        """Sets faults of a stand-in."""
        async with self.session.post(
            f'{process.url}/faults', json=faults
        ) as response:
            response.raise_for_status()

    async def read_metrics(self, entry: Entry) -> str:
        """Fetches the metrics of an entry process."""
        async with self.session.get(f'{entry.admin_url}/metrics') as response:
            return await response.text()

    async def commit(self, fleet: schema.fleet.Fleet) -> int:
        """Commits a document; returns its revision."""
        accepted = await config.commit_document(
            self.client,
            document.write_text(fleet),
            'test',
            'stand-in fleet',
            self.revision,
        )
        if not isinstance(accepted, config.Accepted):
            raise RuntimeError(f'document was not accepted: {accepted}')
        self.document = fleet
        self.revision = accepted.revision
        return accepted.revision

    async def wait_ready(self) -> None:
        """Waits until all entry processes are ready."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for entry in self.entries:
                await self._poll_ready(entry)

    async def _poll_ready(self, entry: Entry) -> None:
        is_ready = False
        while not is_ready:
            await asyncio.sleep(_POLL_S)
            is_ready = await self.is_ready(entry)

    async def is_ready(self, entry: Entry) -> bool:
        """Returns whether an entry process reports that it is ready."""
        try:
            async with self.session.get(f'{entry.admin_url}/readyz') as answer:
                return answer.status == _OK
        except aiohttp.ClientError:
            return False

    async def start_entry(self, domain: str, number: int) -> Entry:
        """Starts an entry process and registers its host.

        :param domain: failure domain.
        :param number: number of the host in the domain.
        """
        host = f'{domain}-host-{number}'
        caller_port, peer_port, admin_port = (
            self.cluster.choose_port() for _ in range(3)
        )
        settings = schema.settings.EntrySettings(
            node=self.make_node(host, domain, admin_port),
            caller_port=caller_port,
            peer_port=peer_port,
            timing=self.plan.timing,
        )
        settings = await self._use_fault_proxy(settings)
        path = self.cluster.write_settings(f'{host}-entry', settings)
        process = await self.cluster.start(
            'briarknot.entry',
            ['--settings', str(path)],
            port=caller_port,
            name=f'{host}-entry',
        )
        entry = Entry(
            host=host,
            domain=domain,
            url=f'http://127.0.0.1:{caller_port}',
            admin_url=f'http://127.0.0.1:{admin_port}',
            peer_url=f'http://127.0.0.1:{peer_port}',
            process=process,
        )
        self.entries.append(entry)
        await self.register_host(entry, 'live')
        return entry

    async def _use_fault_proxy(
        self, settings: schema.settings.EntrySettings
    ) -> schema.settings.EntrySettings:
        """Routes platform calls of an entry process through the fault proxy."""
        if self.fault_proxy is None:
            return settings
        link = _fault_proxy.name_platform_link(settings.node.host)
        url = await self.fault_proxy.open_link(link, self.platform)
        return attrs.evolve(
            settings, node=attrs.evolve(settings.node, platform_url=url)
        )

    async def start_endpoint(
        self, name: str, module: str, arguments: collections.abc.Sequence[str]
    ) -> tuple[launcher.Process, str]:
        """Starts an engine or a worker of the plain service.

        :param name: name of the endpoint.
        :param module: module of the stand-in.
        :param arguments: arguments of the stand-in.
        :returns: the process, and the URL to write into the document.
        """
        process = await self.cluster.start(module, arguments, name=name)
        self._commands[name] = (module, tuple(arguments))
        if self.fault_proxy is None:
            return process, process.url
        return process, await self.fault_proxy.open_link(name, process)

    async def restart_endpoint(self, name: str) -> None:
        """Waits until an endpoint has ended, and restarts it on the same port.

        :param name: name of an engine or worker.
        """
        processes = self.engines if name in self.engines else self.services
        module, arguments = self._commands[name]
        port = processes[name].port
        await processes[name].wait()
        processes[name] = await self.cluster.start(
            module, [*arguments, '--port', str(port)], port=port, name=name
        )

    async def register_host(self, entry: Entry, state: str) -> None:
        """Sets the state of a host in the platform's list of hosts."""
        async with self.session.put(
            f'{self.platform.url}/hosts/{entry.host}',
            json={
                'domain': entry.domain,
                'peer_url': entry.peer_url,
                'state': state,
            },
        ) as response:
            response.raise_for_status()

    def make_node(
        self, host: str, domain: str, admin_port: int
    ) -> schema.settings.Node:
        """Makes the node settings of a program."""
        return schema.settings.Node(
            host=host,
            domain=domain,
            admin_port=admin_port,
            platform_url=self.platform_urls.get(domain, self.platform.url),
            platform_timeout_s=self.plan.platform_timeout_s,
            peer_secret=PEER_SECRET,
            drain_grace_s=0.3,
            stop_timeout_s=60,
        )

    async def start_control(self, domain: str, number: int) -> None:
        """Starts a control process.

        :param domain: failure domain.
        :param number: number of the host in the domain.
        """
        host = f'{domain}-host-{number}'
        admin_port = self.cluster.choose_port()
        settings = schema.settings.ControlSettings(
            node=self.make_node(host, domain, admin_port),
            lease_s=self.plan.lease_s,
            renew_s=self.plan.lease_s / 5,
            margin_s=self.plan.lease_s / 6,
            order_timeout_s=1,
            report_lag_s=0.6,
        )
        path = self.cluster.write_settings(f'{host}-control', settings)
        self.controls[host] = await self.cluster.start(
            'briarknot.control',
            ['--settings', str(path)],
            port=admin_port,
            name=f'{host}-control',
        )


async def _start_engine(
    running: RunningFleet,
    domain: _plan.DomainPlan,
    number: int,
    role: schema.fleet.Role,
) -> schema.fleet.Engine:
    plan = running.plan
    name = f'{domain.name}-engine-{number}'
    arguments = ['--name', name, '--role', role.value]
    arguments += ['--model', f'{plan.model.name}@{plan.model.version}']
    process, url = await running.start_endpoint(
        name,
        'briarknot_standins.engine',
        [*arguments, *plan.engine_arguments],
    )
    running.engines[name] = process
    return schema.fleet.Engine(
        name=name,
        domain=domain.name,
        url=url,
        group=domain.name,
        model=plan.model.name,
        role=role,
        checks_fencing=plan.checks_fencing,
    )


async def _start_worker(
    running: RunningFleet, domain: _plan.DomainPlan, number: int
) -> schema.fleet.ServiceEndpoint:
    name = f'{domain.name}-worker-{number}'
    process, url = await running.start_endpoint(
        name, 'briarknot_standins.service', ['--name', name]
    )
    running.services[name] = process
    return schema.fleet.ServiceEndpoint(name=name, domain=domain.name, url=url)


async def _start_endpoints(
    running: RunningFleet,
) -> tuple[list[schema.fleet.Engine], list[schema.fleet.ServiceEndpoint]]:
    engines = []
    workers = []
    for domain in running.plan.domains:
        roles = itertools.chain.from_iterable(
            itertools.repeat(part.role, part.count) for part in domain.engines
        )
        engines.extend(
            _start_engine(running, domain, number, role)
            for number, role in enumerate(roles)
        )
        workers.extend(
            _start_worker(running, domain, number)
            for number in range(domain.services)
        )
    return (
        await asyncio.gather(*engines),
        await asyncio.gather(*workers),
    )


def _make_document(
    plan: _plan.FleetPlan,
    engines: collections.abc.Iterable[schema.fleet.Engine],
    workers: collections.abc.Iterable[schema.fleet.ServiceEndpoint],
) -> schema.fleet.Fleet:
    return schema.fleet.Fleet(
        name=plan.name,
        domains=tuple(
            schema.fleet.Domain(name=domain.name, region=domain.region)
            for domain in plan.domains
        ),
        ranks=plan.ranks,
        models=(plan.model,),
        engines=tuple(engines),
        services=(
            schema.fleet.Service(
                name=plan.service,
                endpoints=tuple(workers),
                non_repeatable=plan.non_repeatable,
                timeout_s=plan.service_timeout_s,
            ),
        ),
        accounts=plan.make_accounts(),
        policies=plan.policies,
    )


@contextlib.asynccontextmanager
async def run_fleet(
    plan: _plan.FleetPlan,
) -> collections.abc.AsyncIterator[RunningFleet]:
    """Starts a fleet, yields it when it is ready, and ends all processes.

    :param plan: composition of the fleet.
    """
    async with (
        launcher.make_cluster() as cluster,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=120),
        ) as session,
    ):
        platform_process = await cluster.start('briarknot_standins.platform')
        running = RunningFleet(
            plan=plan,
            cluster=cluster,
            session=session,
            platform=platform_process,
            client=platform.make_client(session, platform_process.url, 5),
        )
        if plan.has_proxy:
            running.fault_proxy = await _fault_proxy.start_fault_proxy(
                cluster, session
            )
        engines, workers = await _start_endpoints(running)
        await running.commit(_make_document(plan, engines, workers))
        await asyncio.gather(
            *[
                running.start_entry(domain.name, number)
                for domain in plan.domains
                for number in range(domain.entries)
            ]
        )
        await running.wait_ready()
        await asyncio.gather(
            *[
                running.start_control(domain.name, number)
                for domain in plan.domains
                for number in range(domain.controls)
            ]
        )
        yield running
