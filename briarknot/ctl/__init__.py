"""Command line for operators.

Exit codes: 0 done; 1 internal error; 2 bad settings or arguments; 3 findings
in a document; 4 another operator committed first; 5 the platform did not
answer and nothing was changed; 6 the platform did not answer and the change
may be in force; 7 not found; 8 the wait timed out before the work ended.
"""

from briarknot.ctl._report import ExitCode

__all__ = ('ExitCode',)
