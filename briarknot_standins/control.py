"""Client for the stand-ins' control paths, used by tests.

Each request opens a new connection, because a fault may silence the
connections that are open.
"""

import typing

import aiohttp


async def set_faults(url: str, **faults: typing.Any) -> dict[str, typing.Any]:
    """Changes the faults of a stand-in, or adds one to a proxy.

    :param url: base URL of the stand-in.
    :param faults: fields of its faults.
    :returns: the faults in force after the change.
    :raises aiohttp.ClientError: where the stand-in refuses the request or is
        unreachable.
    """
    async with aiohttp.request(
        'POST', f'{url}/faults', json=faults, raise_for_status=True
    ) as response:
        return await response.json()


async def remove_faults(url: str, link: str = '') -> None:
    """Removes faults of a proxy.

    :param url: base URL of the proxy's control port.
    :param link: link whose faults are removed; empty for all.
    """
    async with aiohttp.request(
        'DELETE', f'{url}/faults', params={'link': link}, raise_for_status=True
    ) as response:
        await response.read()


async def read(url: str, path: str) -> dict[str, typing.Any]:
    """Reads a JSON resource, such as ``/runs``, ``/orders`` or ``/stats``.

    :param url: base URL of the stand-in.
    :param path: path with query.
    :raises aiohttp.ClientError: where the stand-in refuses the request or is
        unreachable.
    """
    async with aiohttp.request(
        'GET', f'{url}{path}', raise_for_status=True
    ) as response:
        return await response.json()
