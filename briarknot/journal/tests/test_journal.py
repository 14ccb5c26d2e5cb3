"""Guards against records that are lost uncounted or not found."""

import time

import attrs
import pytest

from briarknot import journal, platform, schema


@attrs.define
class _Store:
    """Objects in memory; calls fail while ``is_down`` is set."""

    stored: dict = attrs.field(factory=dict)
    is_down: bool = False

    async def write_object(self, name, body):
        if self.is_down:
            return platform.Unavailable('down')
        assert name not in self.stored
        self.stored[name] = body
        return platform.Committed()

    async def list_objects(self, prefix):
        if self.is_down:
            return platform.Unavailable('down')
        return tuple(name for name in self.stored if name.startswith(prefix))

    async def read_object(self, name):
        return self.stored[name]


def _make_record(host='h', **changes):
    now = time.time()
    return schema.records.RequestRecord(
        request_id=journal.make_request_id(host, now),
        host=host,
        received_s=now,
        account='a',
        **changes,
    )


async def test_records_of_similar_hosts_are_found():
    """The prefix of host h also lists the objects of host h-1."""
    store = _Store()
    for host in ('h', 'h-1'):
        writer = journal.make_journal(store, host, 10, 1 << 20)
        record = _make_record(host, outcome='completed', late=host == 'h')
        writer.add(record)
        assert await writer.flush()
        assert await journal.read_record(store, record.request_id) == record
    found = await journal.find_records(store, 'a', time.time() - 5, False)
    assert [record.host for record in found.records] == ['h', 'h-1']
    late = await journal.find_records(store, 'a', time.time() - 5, True)
    assert [record.host for record in late.records] == ['h']


async def test_losses_are_written_after_an_outage():
    """Records that a full buffer drops must be counted by cause."""
    store = _Store(is_down=True)
    writer = journal.make_journal(store, 'h', 10, 2000)
    records = [
        _make_record(outcome='not run', cause='queue_full') for _ in range(9)
    ]
    for record in records:
        writer.add(record)
    assert writer.buffered_bytes <= 2000
    assert not await writer.flush()
    store.is_down = False
    assert await writer.flush()
    assert writer.buffered_bytes == 0
    request_id = records[0].request_id
    losses = await journal.read_losses(store, request_id)
    count = losses[0].counts[0]
    assert (count.reason, count.cause) == ('buffer_full', 'queue_full')
    assert 0 < count.records < 9


async def test_missing_differs_from_unavailable():
    """An outage must not be reported as a request that does not exist."""
    store = _Store()
    request_id = journal.make_request_id('h', 0)
    missing = await journal.read_record(store, request_id)
    assert isinstance(missing, platform.Missing)
    store.is_down = True
    answer = await journal.read_record(store, request_id)
    assert isinstance(answer, platform.Unavailable)


@pytest.mark.parametrize(
    'text', ['', 'a/b.197001010000.00', 'h.1.x', 'h.197001010000.0 ']
)
def test_bad_id_is_refused(text):
    """An id from user input must not name an object outside the journal."""
    assert not journal.parse_request_id(text)


def test_explanation_has_wait_crash_and_resume():
    """Operators must see why a request was late without reading code."""
    attempt = schema.records.Attempt
    explanation = journal.explain(
        _make_record(
            rank='urgent',
            queued_s=2.1,
            queue_reason='all three prefill engines of obb-a were busy',
            attempts=(
                attempt(endpoint='e1', tokens=212, outcome='engine crashed'),
                attempt(endpoint='e2', offset=212, outcome='completed'),
            ),
            outcome='completed',
            late=True,
            total_s=9,
        )
    )
    assert (
        'waited 2.10 s in rank urgent: all three prefill engines' in explanation
    )
    assert 'after 212 tokens: engine crashed' in explanation
    assert 'resumed at token 212 on e2' in explanation
    assert 'missed the target of rank urgent' in explanation
