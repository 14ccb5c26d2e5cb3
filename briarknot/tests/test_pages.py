"""Guards against examples and pages that do not match the code."""

import pathlib
import subprocess
import sys

import pytest

from briarknot import document, outcomes, schema

_ROOT = pathlib.Path(__file__).parents[2]


@pytest.mark.parametrize(
    ('name', 'engines', 'workers'),
    [('sprossenwerk', 10, 3), ('inac', 6, 3)],
)
def test_example_has_no_findings(name, engines, workers):
    """Operators start from the examples; a finding would stop them."""
    path = _ROOT / 'examples' / f'{name}.json'
    result = document.read_text(schema.fleet.Fleet, path.read_text(), path.name)
    assert not result.findings
    fleet = result.value
    endpoints = [*fleet.engines, *fleet.services[0].endpoints]
    assert len(fleet.engines) == engines
    assert len(endpoints) == engines + workers
    assert len({endpoint.url for endpoint in endpoints}) == len(endpoints)
    assert len(fleet.ranks) == 3
    assert fleet.services[0].non_repeatable


def test_reference_pages_are_current():
    """A page that is older than the schema misleads operators."""
    tool = _ROOT / 'tools' / 'write_reference.py'
    command = (sys.executable, str(tool), '--check')
    finished = subprocess.run(command, capture_output=True, text=True)
    assert (finished.returncode, finished.stdout) == (0, '')


def test_operations_cover_each_cause():
    """Operators look up the cause of a refusal on the page."""
    page = (_ROOT / 'docs' / 'OPERATIONS.md').read_text()
    assert [cause for cause in outcomes.Cause if f'`{cause}`' not in page] == []
