"""Reads committed documents from the platform."""

import asyncio

import attrs

from briarknot import document, platform, schema, sentinels

#: Table and key of the row that names the document in force.
TABLE = 'document'
KEY = 'current'
#: Key of the small row that all nodes poll; the history is in row ``KEY``.
HEAD = 'head'

# The document in force and those that operators compare with it.
_CACHED_DOCUMENTS = 4


@attrs.frozen
class VersionedRow:
    """The document's row and its version for a compare-and-set.

    :param row: the row; revision 0 where there is none.
    :param version: version; None where there is no row.
    """

    row: schema.records.DocumentRow
    version: int | None


@attrs.frozen
class CommittedDocument:
    """A committed document.

    :param commit: revision, operator, time, and note.
    :param text: JSON with comments.
    :param fleet: the document.
    """

    commit: schema.records.Commit
    text: str
    fleet: schema.fleet.Fleet


@attrs.frozen
class UnreadableDocument(sentinels.Sentinel):
    """Sentinel for a document whose text cannot be used.

    :param revision: its revision.
    :param findings: errors in the text; empty where it is missing.
    :param text: the text; empty where it is missing.
    """

    revision: int
    findings: tuple[document.Finding, ...] = ()
    text: str = ''


def make_delta_name(object_name: str) -> str:
    """Makes the name of the object that holds a commit's delta.

    :param object_name: name of the object that holds the commit's text.
    """
    return f'{object_name}.delta'


async def read_row(
    client: platform.Client,
) -> VersionedRow | platform.Unavailable:
    """Reads the row that names the document in force.

    :param client: client of the platform.
    :returns: the row, of revision 0 where nothing was committed yet.
    """
    row = await client.read_row(TABLE, KEY)
    if isinstance(row, platform.Unavailable):
        return row
    if isinstance(row, platform.Missing):
        return VersionedRow(schema.records.DocumentRow(), None)
    return VersionedRow(
        schema.from_plain(schema.records.DocumentRow, row.value), row.version
    )


@attrs.define(eq=False)
class Archive:
    """Reads committed documents and caches the last ones used.

    An object is written once under its name, so a cached one is never stale.
    """

    _client: platform.Client
    _cache: dict[str, CommittedDocument] = attrs.field(factory=dict, init=False)

    async def read_document(
        self, revision: int | None = None
    ) -> (
        CommittedDocument
        | UnreadableDocument
        | platform.Missing
        | platform.Unavailable
    ):
        """Reads a committed document.

        :param revision: revision; None for the document in force.
        :returns: the document, or ``Missing`` where it is not in the history.
        """
        current = await read_row(self._client)
        if isinstance(current, platform.Unavailable):
            return current
        wanted = current.row.revision if revision is None else revision
        for commit in current.row.history:
            if commit.revision == wanted:
                return await self._read_commit(commit)
        return platform.Missing()

    async def _read_commit(
        self, commit: schema.records.Commit
    ) -> CommittedDocument | UnreadableDocument | platform.Unavailable:
        cached = self._cache.pop(commit.object, None)
        result = cached or await _read_commit(self._client, commit)
        if isinstance(result, CommittedDocument):
            self._cache[commit.object] = result
            while len(self._cache) > _CACHED_DOCUMENTS:
                self._cache.pop(next(iter(self._cache)))
        return result


def make_archive(client: platform.Client) -> Archive:
    """Makes a reader of committed documents.

    :param client: client of the platform.
    """
    return Archive(client)


async def read_fleet(
    text: str, source: str
) -> document.ReadResult[schema.fleet.Fleet]:
    """Parses a document in a thread.

    A document of 4.5 MB takes seconds, which would block the event loop.

    :param text: JSON with comments.
    :param source: name of the document, for the findings.
    """
    return await asyncio.to_thread(
        document.read_text, schema.fleet.Fleet, text, source
    )


async def _read_commit(
    client: platform.Client, commit: schema.records.Commit
) -> CommittedDocument | UnreadableDocument | platform.Unavailable:
    body = await client.read_object(commit.object)
    if isinstance(body, platform.Unavailable):
        return body
    if isinstance(body, platform.Missing):
        return UnreadableDocument(commit.revision)
    text = body.decode(errors='replace')
    parsed = await read_fleet(text, f'revision {commit.revision}')
    if parsed.value is None:
        return UnreadableDocument(commit.revision, parsed.findings, text)
    return CommittedDocument(commit, text, parsed.value)
