"""Command line of the server programs.

It is a separate package because its libraries take a third of a program's
start-up time, during which a restarted host refuses its clients.
"""

from briarknot.commandline._server import Arguments, run_program

__all__ = ('Arguments', 'run_program')
