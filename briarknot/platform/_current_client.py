"""The client whose request the current task serves."""

import contextvars

from briarknot.platform import _client_limits, _client_states

#: Client of the request that the current task serves, with its limits.
current: contextvars.ContextVar[
    tuple[_client_limits.ClientLimits, _client_states.Client] | None
] = contextvars.ContextVar('current_client', default=None)


async def reserve_response(size: int) -> None:
    """Waits until there is room for the response of the current request.

    :param size: bytes of its body that are known so far.
    """
    entry = current.get()
    if entry is not None:
        limits, client = entry
        await limits.reserve_response(client, size)
