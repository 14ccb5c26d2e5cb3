"""Program that the platform starts: ``python -m briarknot.gateway.service``.

It takes its settings from the environment and has no command line, whose
libraries would make up a third of the time that a start takes. It listens for
clients before it imports the rest, so that those of a restarted host wait for
half a second and are not refused.
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
#: Connections that may wait to be accepted; a host of the large deployments
#: gets some hundred in a second.
_BACKLOG = 1024


def main() -> None:
    """Serves clients until SIGTERM."""
    host, _, port = os.environ[ADDRESS_VARIABLE].rpartition(':')
    listener = socket.create_server((host, int(port)), backlog=_BACKLOG)
    # What a program imports stays, so that collections find nothing in it;
    # they take a tenth of the time of a start.
    gc.disable()
    gateway = importlib.import_module('briarknot.gateway._gateway')
    gc.freeze()
    gc.enable()
    gateway.run(pathlib.Path(os.environ[SETTINGS_VARIABLE]), listener)


if __name__ == '__main__':
    main()
