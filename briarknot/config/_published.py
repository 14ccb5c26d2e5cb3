"""Reads the document that the platform holds."""

import attrs

from briarknot import document, platform, schema

#: Table and key of the row that names the document in force.
TABLE = 'document'
KEY = 'current'

_Fleet = schema.fleet.Fleet


@attrs.frozen
class VersionedRow:
    """The document's row and its version for a compare-and-set.

    :param row: the row; revision 0 where there is none.
    :param version: version; None where there is no row.
    """

    row: schema.records.DocumentRow
    version: int | None


@attrs.frozen
class Published:
    """A document as it was committed.

    :param commit: revision, operator, time, and note.
    :param text: JSON with comments.
    :param fleet: the document.
    """

    commit: schema.records.Commit
    text: str
    fleet: schema.fleet.Fleet


@attrs.frozen
class Unreadable:
    """Sentinel for a document whose text cannot be used.

    :param revision: its revision.
    :param findings: what is wrong with it; empty where the text is missing.
    """

    revision: int
    findings: tuple[document.Finding, ...] = ()

    def __bool__(self) -> bool:
        """Counts as false, so that callers can test for it."""
        return False


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


async def read_published(
    client: platform.Client, revision: int | None = None
) -> Published | Unreadable | platform.Missing | platform.Unavailable:
    """Reads a committed document.

    :param client: client of the platform.
    :param revision: revision; None for the document in force.
    :returns: the document; missing where it is not in the history.
    """
    current = await read_row(client)
    if isinstance(current, platform.Unavailable):
        return current
    wanted = current.row.revision if revision is None else revision
    for commit in current.row.history:
        if commit.revision == wanted:
            return await _read_commit(client, commit)
    return platform.Missing()


async def _read_commit(
    client: platform.Client, commit: schema.records.Commit
) -> Published | Unreadable | platform.Unavailable:
    body = await client.read_object(commit.object)
    if isinstance(body, platform.Unavailable):
        return body
    if isinstance(body, platform.Missing):
        return Unreadable(commit.revision)
    text = body.decode(errors='replace')
    reading = document.read_text(_Fleet, text, f'revision {commit.revision}')
    if reading.value is None:
        return Unreadable(commit.revision, reading.findings)
    return Published(commit, text, reading.value)
