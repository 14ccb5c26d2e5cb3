"""Guards against edits that lose comments or change other fields."""

import attrs
import hypothesis
from hypothesis import strategies

from briarknot import document, schema

_ENGINES = """
    // Rack 3.
    {"name": "e1", "domain": "d", "url": "http://x", "model": "m"},
    // Rack 4.
    {"name": "e2", "domain": "d", "url": "http://x", "model": "m",
     "leaving": false} // slow
"""
_TEXT = f"""{{
  // Test fleet.
  "name": "f",
  "domains": [{{"name": "d", "region": "r"}}],
  "ranks": [{{"name": "urgent", "worth": 2}}],
  "models": [{{"name": "m"}}],
  "engines": [{_ENGINES}]
}}
"""
_FLEET = document.read_text(schema.fleet.Fleet, _TEXT, 't').value
_EXTRA = attrs.evolve(_FLEET.engines[0], name='e3')


def test_leaving_engine_keeps_comments():
    """A drain must not delete what operators wrote about the fleet."""
    engines = tuple(attrs.evolve(old, leaving=True) for old in _FLEET.engines)
    text = document.edit_text(_TEXT, attrs.evolve(_FLEET, engines=engines))
    for comment in ('// Rack 3.', '// Rack 4.', '// slow', '// Test fleet.'):
        assert comment in text
    assert text.count('"leaving": true') == 2


def test_removed_and_added_engine_keep_other_comments():
    """Replacing one engine must leave the lines of the others alone."""
    engines = (_FLEET.engines[1], _EXTRA)
    text = document.edit_text(_TEXT, attrs.evolve(_FLEET, engines=engines))
    assert '"e1"' not in text
    assert '// Test fleet.' in text
    assert '// slow' in text


@hypothesis.given(
    strategies.permutations((*_FLEET.engines, _EXTRA)),
    strategies.integers(0, 3),
    strategies.booleans(),
    strategies.floats(0, 9),
)
def test_edited_text_reads_as_the_value(engines, count, leaving, worth):
    """A wrong edit would put another fleet in force than was previewed."""
    changed = [attrs.evolve(one, leaving=leaving) for one in engines[:count]]
    ranks = (attrs.evolve(_FLEET.ranks[0], worth=worth),)
    after = attrs.evolve(_FLEET, engines=tuple(changed), ranks=ranks)
    text = document.edit_text(_TEXT, after)
    assert document.read_text(schema.fleet.Fleet, text, 't').value == after
    assert document.edit_text(_TEXT, after, _FLEET) == text
