"""Commits an operator's entries and tells how that ended."""

import asyncio
import typing

import attrs
from aiohttp import web

from briarknot import config, document, schema
from briarknot.console import _context


@attrs.frozen
class Notice:
    """What is shown above an operator's entries.

    :param status: HTTP status of the page.
    :param revision: revision that the entries now apply to.
    :param race: the other operator's commit, where that one won.
    :param problem: why nothing is known of the commit, where the platform
        did not answer.
    """

    status: int = 200
    revision: int = 0
    race: _context.RaceNotice | None = None
    problem: str = ''


async def commit(
    context: _context.Context,
    request: web.Request,
    text: str,
    expected_revision: int,
) -> Notice:
    """Commits a text, or tells why not.

    :param context: clients.
    :param request: request with a session and a ``note`` in its form.
    :param text: JSON with comments, without findings.
    :param expected_revision: revision that the entries were made from.
    :raises aiohttp.web.HTTPSeeOther: to the new revision, where accepted.
    """
    form = await request.post()
    result = await config.commit_document(
        context.client,
        text,
        _context.read_session(request).operator,
        str(form.get('note', '')),
        expected_revision,
    )
    if isinstance(result, config.Accepted):
        raise web.HTTPSeeOther(f'/history/{result.revision}')
    if isinstance(result, config.Race):
        return await make_race_notice(context, result.row, expected_revision)
    return make_outage_notice(_describe(result), expected_revision)


def make_outage_notice(problem: str, revision: int) -> Notice:
    """Makes the notice for a platform that did not answer.

    :param problem: what is known.
    :param revision: revision that the entries were made from.
    """
    return Notice(
        status=web.HTTPServiceUnavailable.status_code,
        revision=revision,
        problem=problem,
    )


def _describe(result: typing.Any) -> str:
    if isinstance(result, config.Invalid):
        return '; '.join(str(finding) for finding in result.findings)
    if result.may_have_applied:
        return (
            f'The platform did not answer ({result.reason}). The commit may '
            'be in force; look at the history before you repeat it.'
        )
    return (
        f'The platform did not answer ({result.reason}). Nothing was changed.'
    )


async def make_race_notice(
    context: _context.Context,
    row: schema.records.DocumentRow,
    expected_revision: int,
) -> Notice:
    """Tells who won and what differs since the operator's revision.

    :param context: clients.
    :param row: row in force.
    :param expected_revision: revision that the entries were made from.
    """
    before = await context.archive.read_document(expected_revision)
    now = await context.archive.read_document(row.revision)
    changes = None
    if isinstance(before, config.CommittedDocument) and isinstance(
        now, config.CommittedDocument
    ):
        changes = await asyncio.to_thread(
            document.compare, before.fleet, now.fleet
        )
    commits = tuple(
        commit for commit in row.history if commit.revision > expected_revision
    )
    return Notice(
        status=web.HTTPConflict.status_code,
        revision=row.revision,
        race=_context.RaceNotice(commits, changes),
    )


def read_revision(form: typing.Mapping[str, typing.Any]) -> int:
    """Returns the revision that a form was made from.

    :param form: entries of the form.
    """
    revision = str(form.get('expected_revision', ''))
    if not revision.isdecimal():
        raise web.HTTPBadRequest(text='expected_revision: found no number')
    return int(revision)
