"""Commits documents through a console or directly on the platform."""

import typing

import aiohttp
import orjson

from briarknot import config, document, schema
from briarknot.ctl import _commands

_Result = (
    config.Accepted | config.Race | config.Invalid | config.CommitUnavailable
)
_TIMEOUT = aiohttp.ClientTimeout(total=60)
_OK = 200
_CONFLICT = 409
_UNPROCESSABLE = 422
_SERVER_ERROR = 500


async def commit(
    context: _commands.Context, text: str, note: str, expected_revision: int
) -> _Result:
    """Commits a document.

    Where the settings name a console, it identifies the operator by the
    token. Without one, the commit is written to the platform directly, with
    the operator's name from the settings.

    :param context: settings and clients.
    :param text: JSON with comments.
    :param note: reason, shown in the history.
    :param expected_revision: revision that the change was made from.
    """
    settings = context.settings
    if settings.console_url:
        return await _put_document(context, text, note, expected_revision)
    return await config.commit_document(
        context.client,
        text,
        _commands.get_operator_name(settings),
        note,
        expected_revision,
    )


async def _put_document(
    context: _commands.Context, text: str, note: str, expected_revision: int
) -> _Result:
    settings = context.settings
    query = {'expected_revision': str(expected_revision), 'note': note}
    try:
        async with context.session.put(
            f'{settings.console_url.rstrip("/")}/api/document',
            params=query,
            data=text.encode(),
            headers={'Authorization': f'Bearer {settings.token}'},
            timeout=_TIMEOUT,
        ) as response:
            return _decode_response(response.status, await response.read())
    except aiohttp.ClientConnectorError as error:
        return config.CommitUnavailable(str(error))
    except (aiohttp.ClientError, TimeoutError) as error:
        reason = f'{type(error).__name__}: {error}'
        return config.CommitUnavailable(reason, may_have_applied=True)


def _decode_response(status: int, body: bytes) -> _Result:
    try:
        tree = orjson.loads(body)
    except ValueError:
        return config.CommitUnavailable(
            f'the console answered {status}',
            may_have_applied=status >= _SERVER_ERROR,
        )
    if status == _OK:
        return config.Accepted(tree['revision'])
    if status == _CONFLICT:
        winner = schema.from_plain(schema.records.Commit, tree['winner'])
        row = schema.records.DocumentRow(
            revision=winner.revision, history=(winner,)
        )
        return config.Race(row)
    if status == _UNPROCESSABLE:
        return config.Invalid(tuple(map(_decode_finding, tree['findings'])))
    return config.CommitUnavailable(
        tree.get('reason', f'the console answered {status}'),
        tree.get('may_have_applied', False),
    )


def _decode_finding(tree: dict[str, typing.Any]) -> document.Finding:
    place = document.Position(**tree['place'])
    return document.Finding(**{**tree, 'place': place})
