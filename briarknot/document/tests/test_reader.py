"""Guards against bad input that is accepted or only partly reported."""

import hypothesis
import pytest
from hypothesis import strategies

from briarknot import document, schema

_FLEET = schema.fleet.Fleet


def _make_text(**changes):
    parts = {
        'name': '"test"',
        'domains': '[{"name": "obb-a", "region": "obb"}]',
        'ranks': '[{"name": "urgent"}]',
        'engines': '[]',
    }
    parts.update(changes)
    lines = ',\n'.join(f'  "{key}": {part}' for key, part in parts.items())
    return f'{{\n  // A comment.\n{lines}\n}}\n'


def test_comments_are_read():
    """Operators explain entries; a comment must not be an error."""
    result = document.read_text(_FLEET, _make_text(), 'fleet.json')
    assert not result.findings
    assert result.value.ranks[0].worth == 1


def test_five_mistakes_give_five_findings():
    """An operator must not have to repair a document mistake by mistake."""
    text = _make_text(
        ranks='[{"name": "urgent", "worth": -1, "colour": "red"}]',
        engines=(
            '[{"name": "e1", "domain": "nowhere", "url": "http://x",'
            ' "model": "m", "role": "cook"}]'
        ),
    )
    result = document.read_text(_FLEET, text, 'fleet.json')
    assert [finding.path for finding in result.findings] == [
        'ranks[0].worth',
        'ranks[0].colour',
        'engines[0].domain',
        'engines[0].model',
        'engines[0].role',
    ]
    assert str(result.findings[0]) == (
        'fleet.json:5:41: ranks[0].worth: found -1, allowed >= 0'
    )
    assert result.value is None


def test_misplaced_key_is_not_shown():
    """A key pasted in place of its hash must not reach logs or pages."""
    text = _make_text(
        accounts='[{"name": "site", "key_hashes": ["key-of-site"]}]'
    )
    result = document.read_text(_FLEET, text, 'x')
    assert [finding.path for finding in result.findings] == [
        'accounts[0].key_hashes[0]'
    ]
    assert 'key-of-site' not in str(result.findings[0])


def test_syntax_errors_are_all_reported():
    """A parser that stops at the first error hides the second."""
    text = '{"name": "a" "domains": [],\n "ranks": [1 2],}'
    result = document.read_text(_FLEET, text, 'x')
    assert {finding.place.line for finding in result.findings} == {1, 2}


@pytest.mark.parametrize('text', ['', '  ', '// only a comment', '3', '[]'])
def test_no_object_is_a_finding(text):
    """An empty or truncated file must not count as an empty fleet."""
    assert document.read_text(_FLEET, text, 'x').findings


@hypothesis.given(strategies.text(max_size=60))
def test_any_text_is_answered(text):
    """No input may raise; a console would answer with a server error."""
    result = document.read_text(_FLEET, text, 'x')
    assert result.findings


def test_written_text_is_read_back():
    """The console writes what the other programs read."""
    fleet = document.read_text(_FLEET, _make_text(), 'x').value
    text = document.write_text(fleet)
    assert document.read_text(_FLEET, text, 'x').value == fleet


def test_change_is_shown_by_name():
    """An index would name the wrong engine after an insertion."""
    before = schema.fleet.Fleet(models=(schema.fleet.Model(name='m'),))
    after = schema.fleet.Fleet(
        models=(
            schema.fleet.Model(name='k'),
            schema.fleet.Model(name='m', version='2'),
        )
    )
    paths = [change.path for change in document.compare(before, after)]
    assert paths == ['models[m].version', 'models[k]']
