"""Commits an operator's changes and describes refusals and outages."""

import asyncio
import typing

import attrs
from aiohttp import web

from briarknot import config, document, schema
from briarknot.console import _context


@attrs.frozen
class Notice:
    """Message shown above a form, and the form's revision.

    :param status: HTTP status of the page.
    :param revision: revision that the next commit of the entries expects.
    :param race: the commits that came first, where the commit was refused
        for them.
    :param problem: why the commit failed or its result is unknown; empty
        where there is no such problem.
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
    """Commits a text, or returns a notice that says why it was not.

    :param context: shared objects.
    :param request: request with a session and a ``note`` in its form.
    :param text: JSON with comments, without findings.
    :param expected_revision: revision that the entries were made from.
    :raises aiohttp.web.HTTPSeeOther: to the new revision, where accepted.
    """
    form = await request.post()
    result = await config.commit_document(
        context.client,
        text,
        _context.get_session(request).operator,
        str(form.get('note', '')),
        expected_revision,
    )
    if isinstance(result, config.Accepted):
        raise web.HTTPSeeOther(f'/history/{result.revision}')
    if isinstance(result, config.Race):
        return await make_race_notice(context, result.row, expected_revision)
    return make_outage_notice(_describe_failure(result), expected_revision)


def make_outage_notice(problem: str, revision: int) -> Notice:
    """Makes the notice for a platform that did not answer.

    :param problem: text for the operator.
    :param revision: revision that the entries were made from.
    """
    return Notice(
        status=web.HTTPServiceUnavailable.status_code,
        revision=revision,
        problem=problem,
    )


def _describe_failure(result: typing.Any) -> str:
    if isinstance(result, config.Invalid):
        return '; '.join(str(finding) for finding in result.findings)
    if result.may_have_applied:
        return (
            f'The platform did not answer ({result.reason}). The commit may '
            'be in force; check the history before you repeat it.'
        )
    return (
        f'The platform did not answer ({result.reason}). Nothing was changed.'
    )


async def make_race_notice(
    context: _context.Context,
    row: schema.records.DocumentRow,
    expected_revision: int,
) -> Notice:
    """Makes the notice for a commit that a newer revision preceded.

    :param context: shared objects.
    :param row: row in force.
    :param expected_revision: revision that the entries were made from.
    """
    before = await context.archive.read_document(expected_revision)
    current = await context.archive.read_document(row.revision)
    changes = None
    if isinstance(before, config.CommittedDocument) and isinstance(
        current, config.CommittedDocument
    ):
        changes = await asyncio.to_thread(
            document.compare, before.fleet, current.fleet
        )
    commits = tuple(
        commit for commit in row.history if commit.revision > expected_revision
    )
    return Notice(
        status=web.HTTPConflict.status_code,
        revision=row.revision,
        race=_context.RaceNotice(commits, changes),
    )


def parse_revision(form: typing.Mapping[str, typing.Any]) -> int:
    """Returns the revision that a form was made from.

    :param form: entries of the form.
    :raises aiohttp.web.HTTPBadRequest: where it is not a number.
    """
    revision = str(form.get('expected_revision', ''))
    if not revision.isdecimal():
        raise web.HTTPBadRequest(text='expected_revision: found no number')
    return int(revision)
