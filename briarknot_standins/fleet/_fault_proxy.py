"""The fault proxy between entry processes and the servers that they call."""

import urllib.parse

import aiohttp
import attrs

from briarknot_standins import launcher, serving


def name_platform_link(host: str) -> str:
    """Returns the name of the link from an entry host to the platform."""
    return f'{host}.platform'


@attrs.define(eq=False)
class FaultProxy:
    """Client of a fault proxy's control port.

    A link to an endpoint has the endpoint's name; the link of an entry host
    to the platform is named by :func:`name_platform_link`.
    """

    _process: launcher.Process
    _session: aiohttp.ClientSession

    async def open_link(self, name: str, target: launcher.Process) -> str:
        """Opens a link; returns the base URL of its proxied end."""
        parts = urllib.parse.urlsplit(target.url)
        async with self._session.post(
            f'{self._process.url}/links',
            json={
                'name': name,
                'target_host': parts.hostname,
                'target_port': parts.port,
            },
            raise_for_status=True,
        ) as response:
            opened = await response.json()
        return f'http://{serving.HOST}:{opened["port"]}'

    async def add_fault(
        self, kind: str, link: str = '', **options: object
    ) -> None:
        """Injects a fault.

        :param kind: registered fault kind of the proxy.
        :param link: name of a link; empty for all links.
        :param options: additional fields of the proxy's ``FaultRequest``.
        """
        async with self._session.post(
            f'{self._process.url}/faults',
            json={'kind': kind, 'link': link, **options},
            raise_for_status=True,
        ) as response:
            await response.read()

    async def clear_faults(self, link: str = '') -> None:
        """Removes the faults of a link; of all links where it is empty."""
        async with self._session.delete(
            f'{self._process.url}/faults',
            params={'link': link},
            raise_for_status=True,
        ) as response:
            await response.read()

    async def count_bytes(self, link: str) -> int:
        """Returns the number of bytes that a link forwarded to its target."""
        async with self._session.get(f'{self._process.url}/links') as response:
            listed = (await response.json())['links']
        return sum(
            one['forward_bytes'] for one in listed if one['name'] == link
        )


async def start_fault_proxy(
    cluster: launcher.Cluster, session: aiohttp.ClientSession
) -> FaultProxy:
    """Starts a fault proxy without links.

    :param cluster: cluster in which the proxy is started.
    :param session: client session.
    """
    process = await cluster.start('briarknot_standins.proxy')
    return FaultProxy(process, session)
