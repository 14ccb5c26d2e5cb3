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

# Below the ephemeral port range, so that no outgoing connection takes a chosen
# port before its process listens.
_FIRST_PORT = 12_000
_LAST_PORT = 32_000
# Concurrent test runs start at different ports.
_STRIDE = 97

_all_ports = itertools.cycle(range(_FIRST_PORT, _LAST_PORT))
_offset = (os.getpid() * _STRIDE) % (_LAST_PORT - _FIRST_PORT)
_candidates = itertools.islice(_all_ports, _offset, None)
#: Lock files of the chosen ports; the locks end with this process.
_lock_files: dict[int, typing.IO[bytes]] = {}


def choose_port() -> int:
    """Chooses a port on which nothing listens.

    A process chooses each port once before it chooses one again. A port stays
    reserved until this process ends, because its listener may be killed and
    restarted and another test run must not take the port in between.
    """
    return next(filter(_try_reserve, _candidates))


def _try_reserve(port: int) -> bool:
    return _lock(port) and _is_free(port)


def _lock(port: int) -> bool:
    if port in _lock_files:
        return True
    folder = pathlib.Path(tempfile.gettempdir(), 'briarknot-ports')
    folder.mkdir(exist_ok=True)
    lock_file = (folder / str(port)).open('wb')
    try:
        fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock_file.close()
        return False
    _lock_files[port] = lock_file
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with contextlib.suppress(OSError):
            probe.bind((serving.HOST, port))
            return True
    return False
