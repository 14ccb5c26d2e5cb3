"""Short runs of the soak with fixed seeds."""

import pytest

from briarknot_standins import soak

#: Seeds that have failed, with the faults that were registered then; a new fault
#: changes what a seed draws. 1: a connection reset during an answer left a task
#: exception that was never retrieved, which each gateway logged. 5: two faults
#: that ended the same worker both restarted it. 10: the operator's write failed
#: while the store was down, which ended the soak.
_REGRESSIONS = (1, 5, 10)


@pytest.mark.parametrize('seed', _REGRESSIONS)
async def test_promises_hold_under_faults(seed):
    """Overlapping faults violate guarantees that hold under each one."""
    report = await soak.run_soak(soak.SoakConfig(seed=seed, seconds=6.0))
    assert not report.findings, report.describe()
    assert report.faults
