"""Guards against commits that overwrite others or are misreported."""

import attrs
import pytest

from briarknot import config, document, platform, schema
from briarknot.config import _delta

_TEXT = document.write_text(
    schema.fleet.Fleet(
        name='f',
        domains=(schema.fleet.Domain(name='d', region='r'),),
        ranks=(schema.fleet.Rank(name='r'),),
    )
)
_UNAVAILABLE = platform.Unavailable('lost')


@attrs.define
class _Platform:
    """In-memory rows and objects; ``script`` sets how calls fail."""

    rows: dict = attrs.field(factory=dict)
    script: list = attrs.field(factory=list)
    delayed: tuple = ()
    objects: dict = attrs.field(factory=dict)

    @property
    def row(self):
        return self.rows.get('current')

    async def read_row(self, table, key):
        if key == 'current' and self.script and self.script[0] == 'fail read':
            self.script.pop(0)
            return _UNAVAILABLE
        return self.rows.get(key) or platform.Missing()

    async def read_object(self, name):
        return self.objects.get(name) or platform.Missing()

    async def write_object(self, name, body):
        self.objects[name] = body
        return platform.Committed()

    async def commit(self, *operations):
        step = self.script.pop(0) if self.script else 'apply'
        if step == 'delay request':
            self.delayed = operations
            return _UNAVAILABLE
        if self.delayed:
            self._apply(*self.delayed)
        if step == 'lose race':
            other = [
                attrs.evolve(operation, value={'revision': 9})
                for operation in operations
            ]
            self._apply(*other)
        if step == 'lose request':
            return _UNAVAILABLE
        done = self._apply(*operations)
        return _UNAVAILABLE if step == 'lose answer' else done

    def _apply(self, *operations):
        versions = {key: row.version for key, row in self.rows.items()}
        conflicts = tuple(
            index
            for index, operation in enumerate(operations)
            if operation.expected_version != versions.get(operation.key)
        )
        if conflicts:
            return platform.Conflict(conflicts)
        for one in operations:
            version = versions.get(one.key, 0) + 1
            self.rows[one.key] = platform.Row(one.key, one.value, version)
        return platform.Committed()


@pytest.mark.parametrize(
    ('script', 'kind', 'revision'),
    [
        ([], config.Accepted, 1),
        (['lose answer'], config.Accepted, 1),
        (['lose answer', 'fail read'], config.Accepted, 1),
        (['lose request'], config.Accepted, 1),
        (['delay request'], config.Accepted, 1),
        (['lose race'], config.Race, 9),
        (
            ['lose request', 'lose request', 'lose request'],
            config.CommitUnavailable,
            None,
        ),
    ],
)
async def test_outcome_matches_row(script, kind, revision):
    """The result of a lost or delayed write must match the row."""
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
    assert store.rows['head'].value['revision'] == 70


async def test_old_revision_and_findings_write_nothing():
    """A change made from an old revision would revert the newer one."""
    store = _Platform()
    await config.commit_document(store, _TEXT, 'eva', '', 0)
    race = await config.commit_document(store, _TEXT, 'noe', '', 0)
    assert race.row.history[0].operator == 'eva'
    invalid = await config.commit_document(store, '{}', 'noe', '', 1)
    assert invalid.findings
    assert store.row.version == 1


async def test_delta_leads_from_one_text_to_the_next():
    """A node that applies deltas must reach the committed document."""
    store = _Platform()
    await config.commit_document(store, _TEXT, 'eva', '', 0)
    changed = _TEXT.replace('"worth": 1.0', '"worth": 2.0')
    await config.commit_document(store, changed, 'eva', '', 1)
    first, second = reversed((await config.read_row(store)).row.history)
    delta = _delta.decode_delta(store.objects[f'{second.object}.delta'])
    assert delta.base_attempt_id == first.attempt_id
    before, after = (
        document.read_text(schema.fleet.Fleet, text, 'x').value
        for text in (_TEXT, changed)
    )
    assert before != after
    assert _delta.apply_delta(before, delta) == after
