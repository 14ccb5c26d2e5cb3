"""Guards against commits that overwrite others or are misreported."""

import attrs
import pytest

from briarknot import config, document, platform, schema

_TEXT = document.write_text(
    schema.fleet.Fleet(
        name='f',
        domains=(schema.fleet.Domain(name='d', region='r'),),
        ranks=(schema.fleet.Rank(name='r'),),
    )
)
_LOST = platform.Unavailable('lost')


@attrs.define
class _Platform:
    """One row; ``script`` decides what happens to the next writes."""

    row: platform.Row | None = None
    script: list = attrs.field(factory=list)
    late: platform.Operation | None = None

    async def read_row(self, table, key):
        if self.script and self.script[0] == 'no read':
            self.script.pop(0)
            return _LOST
        return self.row or platform.Missing()

    async def write_object(self, name, body):
        return platform.Committed()

    async def commit(self, operation):
        step = self.script.pop(0) if self.script else 'apply'
        if step == 'late':
            self.late = operation
            return _LOST
        if self.late:
            self._apply(self.late)
        if step == 'other wins':
            self._apply(attrs.evolve(operation, value={'revision': 9}))
        if step == 'lose':
            return _LOST
        done = self._apply(operation)
        return _LOST if step == 'lose answer' else done

    def _apply(self, operation):
        version = self.row.version if self.row else None
        if operation.expected_version != version:
            return platform.Conflict((0,))
        self.row = platform.Row('current', operation.value, (version or 0) + 1)
        return platform.Committed()


@pytest.mark.parametrize(
    ('script', 'kind', 'revision'),
    [
        ([], config.Accepted, 1),
        (['lose answer'], config.Accepted, 1),
        (['lose answer', 'no read'], config.Accepted, 1),
        (['lose'], config.Accepted, 1),
        (['late'], config.Accepted, 1),
        (['other wins'], config.Race, 9),
        (['lose', 'lose', 'lose'], config.CommitUnavailable, None),
    ],
)
async def test_outcome_matches_row(script, kind, revision):
    """A lost or late write must be told as what the row shows."""
    store = _Platform(script=list(script))
    result = await config.commit_document(store, _TEXT, 'eva', '', 0)
    assert isinstance(result, kind)
    assert (store.row and store.row.value['revision']) == revision
    if isinstance(result, config.CommitUnavailable):
        assert result.may_have_applied


async def test_history_is_bounded():
    """The row must not grow with each of 1,400 changes a day."""
    store = _Platform()
    for revision in range(70):
        result = await config.commit_document(store, _TEXT, 'eva', '', revision)
        assert result == config.Accepted(revision + 1)
    row = (await config.read_row(store)).row
    assert len(row.history) == 64
    assert row.history[0].revision == 70


async def test_old_revision_and_findings_write_nothing():
    """A change made from an old revision would revert the newer one."""
    store = _Platform()
    await config.commit_document(store, _TEXT, 'eva', '', 0)
    race = await config.commit_document(store, _TEXT, 'noe', '', 0)
    assert race.row.history[0].operator == 'eva'
    invalid = await config.commit_document(store, '{}', 'noe', '', 1)
    assert invalid.findings
    assert store.row.version == 1
