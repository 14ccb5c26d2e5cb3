"""Command line of the server programs.

It is a package of its own, as its libraries take a third of the time that a
program needs to start, in which a restarted host refuses its clients.
"""

from briarknot.commandline._server import Arguments, run_program

__all__ = ('Arguments', 'run_program')
