"""Program that the platform starts: ``python -m briarknot.gateway.service``.

It takes its settings from the environment and has no command line, because
the command-line libraries would account for a third of the start-up time. It
listens for clients before it imports the rest, so that the clients of a
restarted host wait for half a second instead of being refused.
"""

import gc
import importlib
import os
import pathlib
import socket

#: Variable with the path of the settings, as the platform sets it.
SETTINGS_VARIABLE = 'BRIARKNOT_NODE_FILE'
#: Variable with the IP number and port for clients, as in the settings.
ADDRESS_VARIABLE = 'BRIARKNOT_FRONT_ADDRESS'
#: Connections that may wait to be accepted; a host of a large deployment
#: receives several hundred per second.
_BACKLOG = 1024


def main() -> None:
    """Serves clients until SIGTERM."""
    host, _, port = os.environ[ADDRESS_VARIABLE].rpartition(':')
    listener = socket.create_server((host, int(port)), backlog=_BACKLOG)
    # Imported modules stay in memory, so collecting them frees nothing and
    # takes a tenth of the start-up time.
    gc.disable()
    gateway = importlib.import_module('briarknot.gateway._gateway')
    gc.freeze()
    gc.enable()
    gateway.run(pathlib.Path(os.environ[SETTINGS_VARIABLE]), listener)


if __name__ == '__main__':
    main()
