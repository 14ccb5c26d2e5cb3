"""Guards against wrong results of commits through a console."""

import asyncio

from briarknot import config, httpclient, schema
from briarknot.ctl import _commands, _commits


async def test_commit_without_an_answer_is_no_race_with_itself():
    """The HTTP client sent a commit again, which lost to its own first copy."""
    requests = []

    async def serve(reader, writer):
        requests.append(await reader.readuntil(b'\r\n\r\n'))
        if len(requests) > 1:
            body = (
                b'{"winner": {"revision": 2, "attempt_id": "a", "operator": "o"'
                b', "time_s": 1.0, "object": "x", "note": "n"}}'
            )
            head = f'HTTP/1.1 409 X\r\nContent-Length: {len(body)}\r\n\r\n'
            writer.write(head.encode() + body)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1')
    host, port = server.sockets[0].getsockname()
    settings = schema.settings.CtlSettings(
        platform_url='http://127.0.0.1:1',
        console_url=f'http://{host}:{port}',
        token='t',
    )
    async with server, httpclient.make_session() as session:
        context = _commands.Context(settings, None, None, session)
        result = await _commits.commit(context, '{}', 'note', 1)
    assert isinstance(result, config.CommitUnavailable)
    assert result.may_have_applied
    assert len(requests) == 1
