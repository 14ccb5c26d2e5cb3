"""Processes of a soak."""

import asyncio
import base64
import json
import pathlib

import aiohttp
import attrs

from briarknot import schema
from briarknot_standins import launcher, serving
from briarknot_standins.soak import _config

_HOST = serving.HOST
_ROUTES = (
    ('booking', '/booking/', 'non_idempotent', 'plain', 1),
    ('lookup', '/lookup/', 'idempotent', 'plain', 2),
    ('chat', '/chat/', 'streaming', 'lm', 2),
)
#: Workers of each kind, as multiples of the configured number. Of each version
#: there are several decode workers, so that streams can go on.
_KINDS = {'plain': 1, 'prefill': 1, 'decode': 2}
#: Software versions that serve side by side.
_VERSIONS = ('v1', 'v2')
#: Time between two events. At 0.02 s few streams are under way when a process is
#: killed.
_EVENT_S = 0.06
_ROUTE_TIMEOUT_MS = 3000
_OPERATOR_RETRY_S = 0.2
_OK = 200


@attrs.define(eq=False)
class Member:
    """A process that can be restarted under the same name and port.

    :param name: name of the process.
    :param module: module that it runs.
    :param arguments: its arguments.
    :param port: port on which it listens.
    :param version: software version of a worker's next start; empty for others.
    :param process: the current process.
    :param starts: number of ids that a worker has had.
    :param lock: serializes restarts.
    """

    name: str
    module: str
    arguments: tuple[str, ...]
    port: int
    version: str = ''
    process: launcher.Process | None = None
    starts: int = 0
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def make_arguments(self) -> tuple[str, ...]:
        """Makes the arguments of the next start."""
        if not self.version:
            return self.arguments
        identity = ('--keep-id', '--id', f'{self.name}-{self.starts}')
        return (
            *self.arguments,
            *identity,
            f'--software-version={self.version}',
        )

    def change_version(self) -> None:
        """Makes the next start of a worker one of the other version."""
        self.version = _VERSIONS[1 - _VERSIONS.index(self.version)]


@attrs.define(eq=False)
class Fleet:
    """All processes of a soak, and the manifest that the operator writes."""

    config: _config.SoakConfig
    cluster: launcher.Cluster
    session: aiohttp.ClientSession
    store: Member | None = None
    proxy: Member | None = None
    gateways: list[Member] = attrs.field(factory=list)
    workers: list[Member] = attrs.field(factory=list)
    _version: int = 0

    @property
    def members(self) -> list[Member]:
        """Processes that faults may stop."""
        return [*self.gateways, *self.workers]

    @property
    def decode_workers(self) -> list[Member]:
        """Workers that generate streams."""
        return [one for one in self.workers if one.name.startswith('decode')]

    def list_others(self, gateway: Member) -> list[Member]:
        """Lists the other gateways that run; all others where none does."""
        others = [one for one in self.gateways if one is not gateway]
        running = [one for one in others if one.process.exit_status is None]
        return running or others

    async def start(self) -> None:
        """Starts the store, the proxy, the workers, and the gateways."""
        store_port = self.cluster.choose_port()
        self.store = await self._add(
            'store', 'briarknot_standins.platform', (), store_port
        )
        planned = [
            (f'{kind}{number}', kind, self.cluster.choose_port())
            for kind, multiple in _KINDS.items()
            for number in range(multiple * self.config.workers)
        ]
        links = {
            name: self.cluster.choose_port()
            for name in ('store', *(name for name, _, _ in planned))
        }
        targets = {'store': store_port, **{name: p for name, _, p in planned}}
        self.proxy = await self._add(
            'proxy',
            'briarknot_standins.proxy',
            tuple(
                f'--link={name}={port}:{_HOST}:{targets[name]}'
                for name, port in links.items()
            ),
            self.cluster.choose_port(),
        )
        await self.write_manifest()
        for name, kind, port in planned:
            self.workers.append(
                await self._add_worker(name, kind, port, links[name])
            )
        for number in range(self.config.gateways):
            self.gateways.append(
                await self._add_gateway(f'g{number}', links['store'])
            )

    async def restart(self, member: Member, *, keeps_id: bool = False) -> None:
        """Restarts a member on the same port, unless its process runs.

        Two faults may have ended the same process.

        :param member: a member whose process has ended.
        :param keeps_id: whether a worker starts again under its id.
        """
        async with member.lock:
            if member.process and member.process.exit_status is None:
                return
            member.starts += not keeps_id
            member.process = await self.cluster.start(
                member.module,
                member.make_arguments(),
                port=member.port,
                name=member.name,
            )

    async def write_manifest(self) -> None:
        """Writes the next version of the manifest."""
        self._version += 1
        manifest = {
            'version': self._version,
            'routes': [
                {
                    'name': name,
                    'host': _HOST,
                    'pathPrefix': prefix,
                    'kind': kind,
                    'timeoutMs': _ROUTE_TIMEOUT_MS,
                    'targetLatencyMs': 1000,
                    'service': service,
                    'maxAttempts': attempts,
                    'resumable': kind == 'streaming',
                }
                for name, prefix, kind, service, attempts in _ROUTES
            ],
            'services': [
                {'name': 'plain', 'maxConnections': 200},
                {'name': 'lm', 'maxConnections': 200, 'engine': {'slots': 16}},
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 1 << 20,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
        encoded = base64.b64encode(json.dumps(manifest).encode()).decode()
        row = {'table': 'op', 'part': '', 'key': 'config', 'value': encoded}
        # The operator bypasses the proxy and retries until the store confirms.
        while True:
            if await self._write(row):
                return
            await asyncio.sleep(_OPERATOR_RETRY_S)

    async def _write(self, row: dict[str, str]) -> bool:
        try:
            async with self.session.post(
                f'{self.store.process.url}/v1/rows-tx', json={'put': [row]}
            ) as response:
                return response.status == _OK
        except aiohttp.ClientError:
            return False

    async def _add(
        self,
        name: str,
        module: str,
        arguments: tuple[str, ...],
        port: int,
        version: str = '',
    ) -> Member:
        arguments = (*arguments, '--port', str(port))
        member = Member(name, module, arguments, port, version)
        await self.restart(member)
        return member

    async def _add_worker(
        self, name: str, kind: str, port: int, link_port: int
    ) -> Member:
        is_plain = kind == 'plain'
        arguments = [
            '--address',
            f'{_HOST}:{link_port}',
            '--store',
            self.store.process.url,
            '--service',
            'plain' if is_plain else 'lm',
            '--seed',
            str(self.config.seed),
        ]
        arguments.extend(
            ('--failure-share', '0.1' if is_plain else '0.0', '--stage')
        )
        arguments.append('none' if is_plain else kind)
        if kind == 'decode':
            arguments.extend(('--work-s', str(_EVENT_S)))
        # Both versions have workers of each stage.
        has_other = not is_plain and int(name.removeprefix(kind)) % 2
        version = _VERSIONS[has_other]
        return await self._add(
            name, 'briarknot_standins.worker', tuple(arguments), port, version
        )

    async def _add_gateway(self, name: str, store_port: int) -> Member:
        port = self.cluster.choose_port()
        path = self._write_settings(name, port, store_port)
        member = Member(
            name, 'briarknot.gateway', ('--settings', str(path)), port
        )
        await self.restart(member)
        return member

    def _write_settings(
        self, name: str, port: int, store_port: int
    ) -> pathlib.Path:
        choose_port = self.cluster.choose_port
        cache_listing = schema.settings.CacheListing.OFF
        if self.config.cache_listing:
            cache_listing = schema.settings.CacheListing.AT_START
        return self.cluster.write_settings(
            name,
            schema.settings.GatewaySettings(
                host=name,
                domain='a',
                region='a',
                address=_HOST,
                front_address=f'{_HOST}:{port}',
                readiness_address=f'{_HOST}:{choose_port()}',
                metrics_port=choose_port(),
                store_address=f'{_HOST}:{store_port}',
                peer_port=choose_port(),
                cache_listing=cache_listing,
            ),
        )
