"""Choice of free ports."""

import contextlib
import itertools
import os
import socket

from briarknot_standins import serving

# Below the range from which systems take ports of outgoing connections, so
# that none of these takes a chosen port before its process listens.
_FIRST_PORT = 12_000
_LAST_PORT = 32_000
# Test runs at the same time start at different places.
_STRIDE = 97

_candidates = itertools.cycle(range(_FIRST_PORT, _LAST_PORT))
_offset = (os.getpid() * _STRIDE) % (_LAST_PORT - _FIRST_PORT)
_shifted = itertools.islice(_candidates, _offset, None)


def choose_port() -> int:
    """Chooses a port on which nothing listens.

    No port is chosen twice in a process before all others were.
    """
    return next(filter(_is_free, _shifted))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with contextlib.suppress(OSError):
            probe.bind((serving.HOST, port))
            return True
    return False
