"""Loading of a model's weights from the platform."""

import asyncio

import aiohttp
from absl import logging

_READ_BYTES = 64 * 1024
_RETRY_S = 0.2


async def fetch(platform_url: str, model: str) -> int:
    """Loads weights and retries until it succeeds.

    :param platform_url: base URL of the platform.
    :param model: model and version, as NAME@VERSION.
    :returns: the size in bytes.
    """
    url = f'{platform_url}/weights/{model}'
    while True:
        try:
            return await _fetch_once(url)
        except aiohttp.ClientError as error:
            logging.warning(
                'loading the weights of %s failed, retrying: %s', model, error
            )
        await asyncio.sleep(_RETRY_S)


async def _fetch_once(url: str) -> int:
    # The platform's rate limit makes the total duration unbounded.
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.get(url, raise_for_status=True) as response:
            sizes = [
                len(part)
                async for part in response.content.iter_chunked(_READ_BYTES)
            ]
    return sum(sizes)
