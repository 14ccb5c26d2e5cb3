"""Choice of free ports."""

import contextlib
import fcntl
import itertools
import os
import pathlib
import socket
import tempfile
import typing

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
#: Locked files of the chosen ports, which end with this process.
_reservations: dict[int, typing.IO[bytes]] = {}


def choose_port() -> int:
    """Chooses a port on which nothing listens.

    No port is chosen twice in a process before all others were. It stays
    reserved until this process ends, as the one that listens on it may be
    killed and started again, and another run must not take it meanwhile.
    """
    return next(filter(_take, _shifted))


def _take(port: int) -> bool:
    return _reserve(port) and _is_free(port)


def _reserve(port: int) -> bool:
    if port in _reservations:
        return True
    folder = pathlib.Path(tempfile.gettempdir(), 'briarknot-ports')
    folder.mkdir(exist_ok=True)
    reservation = (folder / str(port)).open('wb')
    try:
        fcntl.flock(reservation, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        reservation.close()
        return False
    _reservations[port] = reservation
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with contextlib.suppress(OSError):
            probe.bind((serving.HOST, port))
            return True
    return False
