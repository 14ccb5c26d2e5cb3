"""Tests what a gateway loads at its start."""

import subprocess
import sys

#: Libraries and modules of other programs, each of which takes a few
#: milliseconds of CPU time at every start.
_UNUSED = (
    'absl',
    'opentelemetry',
    'briarknot.authority._transports',
    'briarknot.document._fleet_checks',
    'briarknot.planning._planners',
    'briarknot.platform._app_connections',
    'briarknot.platform._config_changes',
    'briarknot.platform._config_checks',
    'briarknot.platform._config_reading',
    'briarknot.platform._config_registry',
    'briarknot.scaling._snapshot',
)


def test_gateway_loads_no_modules_of_other_programs():
    """An import in a shared module would slow down the start of each gateway."""
    code = (
        'import sys, briarknot.gateway._gateway; '
        f'print([name for name in {_UNUSED} if name in sys.modules])'
    )
    finished = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True, check=True
    )
    assert finished.stdout.strip() == '[]'
