"""Command line of the operators.

Exit codes: 0 done; 1 fault of the program; 2 bad settings or arguments;
3 findings in a document; 4 another operator was faster; 5 the platform did
not answer and nothing was changed; 6 the platform did not answer and the
change may be in force; 7 not found; 8 the wait ended before the work did.
"""

from briarknot.ctl._report import ExitCode

__all__ = ('ExitCode',)
