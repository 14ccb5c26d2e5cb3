"""Commits a document: object first, then compare-and-set of the row."""

import secrets
import time

import attrs
import prometheus_client

from briarknot import document, platform, schema, sentinels, telemetry
from briarknot.config import _delta, _storage

#: Commits kept in the row's history. At 1,400 changes a day they cover an
#: hour, far longer than any attempt waits for its answer.
HISTORY_COMMITS = 64

_ATTEMPT_BYTES = 8
# Includes the first write. A repeat after a missing answer cannot apply
# twice, because it expects the same row version.
_MAX_WRITES = 3

_COMMITS = prometheus_client.Counter(
    'briarknot_document_commits', 'Attempts to commit by result.', ('result',)
)


@attrs.frozen
class Accepted:
    """A commit that took effect.

    :param revision: its revision.
    """

    revision: int


@attrs.frozen
class Race(sentinels.Sentinel):
    """Sentinel for a commit whose expected revision was superseded.

    :param row: the row that is in force.
    """

    row: schema.records.DocumentRow


@attrs.frozen
class Invalid(sentinels.Sentinel):
    """Sentinel for a document that failed validation.

    :param findings: all errors, in the order of their positions.
    """

    findings: tuple[document.Finding, ...]


@attrs.frozen
class CommitUnavailable(sentinels.Sentinel):
    """Sentinel for a commit without an answer from the platform.

    :param reason: cause of the failure.
    :param may_have_applied: whether the commit may be in force.
    """

    reason: str
    may_have_applied: bool = False


@attrs.frozen
class _Attempt:
    """One commit with the row version that it expects."""

    client: platform.Client
    commit: schema.records.Commit
    current: _storage.VersionedRow
    head_version: int | None

    @property
    def row(self) -> schema.records.DocumentRow:
        """The row that the attempt writes."""
        history = (self.commit, *self.current.row.history)
        return schema.records.DocumentRow(
            revision=self.commit.revision,
            object=self.commit.object,
            attempt_id=self.commit.attempt_id,
            history=history[:HISTORY_COMMITS],
        )

    async def write(self) -> Accepted | Race | CommitUnavailable:
        """Writes the row and determines whether the write applied."""
        operations = (
            platform.make_operation(
                _storage.TABLE,
                _storage.KEY,
                self.row,
                self.current.version,
            ),
            platform.make_operation(
                _storage.TABLE,
                _storage.HEAD,
                schema.records.DocumentHead(
                    revision=self.commit.revision,
                    attempt_id=self.commit.attempt_id,
                ),
                self.head_version,
            ),
        )
        may_have_applied = False
        reason = 'the row changed, but its new version could not be read'
        for _ in range(_MAX_WRITES):
            result = await self.client.commit(*operations)
            if isinstance(result, platform.Committed):
                return Accepted(self.commit.revision)
            if isinstance(result, platform.Unavailable):
                may_have_applied = may_have_applied or result.may_have_applied
                reason = result.reason
                if not may_have_applied:
                    return CommitUnavailable(reason)
            outcome = await self.read_back()
            if isinstance(outcome, (Accepted, Race)):
                return outcome
            if isinstance(outcome, CommitUnavailable):
                reason = outcome.reason
        return CommitUnavailable(reason, may_have_applied)

    async def read_back(self) -> Accepted | Race | CommitUnavailable | None:
        """Determines from the row whether the write applied.

        :returns: None where the row is unchanged; the write may then still
            be in flight.
        """
        latest = await _storage.read_row(self.client)
        if isinstance(latest, platform.Unavailable):
            return CommitUnavailable(latest.reason)
        if any(
            commit.attempt_id == self.commit.attempt_id
            for commit in latest.row.history
        ):
            return Accepted(self.commit.revision)
        if latest.version == self.current.version:
            return None
        return Race(latest.row)


async def commit_document(
    client: platform.Client,
    text: str,
    operator: str,
    note: str,
    expected_revision: int,
    archive: _storage.Archive | None = None,
) -> Accepted | Race | Invalid | CommitUnavailable:
    """Commits a document if the expected revision is still in force.

    :param client: client of the platform.
    :param text: JSON with comments.
    :param operator: name of the operator who commits it.
    :param note: reason for the change.
    :param expected_revision: revision that the change was made from; 0 for
        the first document.
    :param archive: reader of committed documents, which often has the
        previous document cached.
    """
    archive = archive or _storage.make_archive(client)
    result = await _commit(
        archive, client, text, operator, note, expected_revision
    )
    kind = type(result).__name__
    _COMMITS.labels(kind).inc()
    telemetry.log_change('commit', kind, operator=operator)
    return result


async def _commit(
    archive: _storage.Archive,
    client: platform.Client,
    text: str,
    operator: str,
    note: str,
    expected_revision: int,
) -> Accepted | Race | Invalid | CommitUnavailable:
    parsed = await _storage.read_fleet(text, 'document')
    if parsed.value is None:
        return Invalid(parsed.findings)
    current = await _storage.read_row(client)
    if isinstance(current, platform.Unavailable):
        return CommitUnavailable(current.reason)
    if current.row.revision < expected_revision:
        return CommitUnavailable(
            f'the platform still shows revision {current.row.revision}'
        )
    if current.row.revision > expected_revision:
        return Race(current.row)
    revision = expected_revision + 1
    attempt_id = secrets.token_hex(_ATTEMPT_BYTES)
    commit = schema.records.Commit(
        revision=revision,
        attempt_id=attempt_id,
        operator=operator,
        time_s=time.time(),
        object=f'documents/{revision}-{attempt_id}',
        note=note,
    )
    # The text must exist before any process can read the row.
    written = await _write_object(client, commit.object, text.encode())
    if isinstance(written, platform.Unavailable):
        return CommitUnavailable(written.reason)
    previous = await archive.read_document(expected_revision)
    if isinstance(previous, _storage.CommittedDocument):
        await _write_delta(client, previous, parsed.value, commit)
    return await _write_rows(client, commit, current)


async def _write_delta(
    client: platform.Client,
    previous: _storage.CommittedDocument,
    fleet: schema.fleet.Fleet,
    commit: schema.records.Commit,
) -> None:
    """Writes the delta; nodes that find none read the whole text."""
    delta = _delta.make_delta(previous.fleet, fleet, previous.commit.attempt_id)
    name = _storage.make_delta_name(commit.object)
    await _write_object(client, name, _delta.encode_delta(delta))


async def _write_rows(
    client: platform.Client,
    commit: schema.records.Commit,
    current: _storage.VersionedRow,
) -> Accepted | Race | CommitUnavailable:
    head = await client.read_row(_storage.TABLE, _storage.HEAD)
    if isinstance(head, platform.Unavailable):
        return CommitUnavailable(head.reason)
    head_version = head.version if isinstance(head, platform.Row) else None
    return await _Attempt(client, commit, current, head_version).write()


async def _write_object(
    client: platform.Client, name: str, body: bytes
) -> platform.Committed | platform.Unavailable:
    """Writes an object; a repeat writes the same bytes."""
    written = await client.write_object(name, body)
    for _ in range(_MAX_WRITES - 1):
        if written or not written.may_have_applied:
            break
        written = await client.write_object(name, body)
    return written
