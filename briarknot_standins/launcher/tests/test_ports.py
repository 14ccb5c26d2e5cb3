"""Guards the choice of ports."""

import subprocess
import sys

from briarknot_standins.launcher import _ports

_CHOOSE = """
import itertools
from briarknot_standins.launcher import _ports
_ports._candidates = itertools.count({port})
print(_ports.choose_port())
"""


def test_port_of_a_killed_process_is_not_taken_by_another_run():
    """A restarted process failed because another test run used its port."""
    port = _ports.choose_port()
    code = _CHOOSE.format(port=port)
    chosen = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, check=True, text=True
    )
    assert int(chosen.stdout) > port
