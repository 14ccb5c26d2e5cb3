"""HTTP client of the platform."""

import urllib.parse

import aiohttp
import attrs
import orjson
import prometheus_client

from briarknot.platform import _values

_CALLS = prometheus_client.Counter(
    'briarknot_platform_calls',
    'Calls to the platform by operation and result.',
    ('operation', 'result'),
)
_SECONDS = prometheus_client.Histogram(
    'briarknot_platform_call_seconds',
    'Duration of calls to the platform.',
    ('operation',),
)
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
#: Answers to a request that was refused before it had any effect.
_REFUSED = frozenset((429, 503))


@attrs.frozen
class _Answer:
    """Status and body of an answer."""

    status: int
    body: bytes


@attrs.define
class Client:
    """Calls the platform; no method raises on an outage.

    Each answers with a value or with a falsy sentinel:
    :class:`Missing`, :class:`Conflict`, or :class:`Unavailable`.
    """

    _session: aiohttp.ClientSession
    _url: str
    _timeout: aiohttp.ClientTimeout

    async def read_row(
        self, table: str, key: str
    ) -> _values.Row | _values.Missing | _values.Unavailable:
        """Reads a row.

        :param table: table.
        :param key: key.
        """
        path = f'/tables/{table}/{urllib.parse.quote(key, safe="")}'
        answer = await self._call('read_row', 'GET', path)
        if isinstance(answer, _values.Unavailable):
            return answer
        if answer.status == _NOT_FOUND:
            return _values.Missing()
        tree = orjson.loads(answer.body)
        return _values.Row(key, tree['value'], tree['version'])

    async def scan_rows(
        self, table: str, prefix: str = ''
    ) -> tuple[_values.Row, ...] | _values.Unavailable:
        """Reads the rows whose keys start with a prefix.

        :param table: table.
        :param prefix: start of the keys.
        """
        query = urllib.parse.urlencode({'prefix': prefix})
        answer = await self._call(
            'scan_rows', 'GET', f'/tables/{table}?{query}'
        )
        if isinstance(answer, _values.Unavailable):
            return answer
        return tuple(
            _values.Row(row['key'], row['value'], row['version'])
            for row in orjson.loads(answer.body)['rows']
        )

    async def commit(
        self, *operations: _values.Operation
    ) -> _values.Committed | _values.Conflict | _values.Unavailable:
        """Writes all operations or none.

        :param operations: conditional writes.
        """
        body = orjson.dumps(
            {
                'operations': [
                    attrs.asdict(operation, recurse=False)
                    for operation in operations
                ],
            }
        )
        answer = await self._call('commit', 'POST', '/transactions', body)
        if isinstance(answer, _values.Unavailable):
            return answer
        if answer.status == _CONFLICT:
            indexes = orjson.loads(answer.body)['conflicts']
            return _values.Conflict(tuple(indexes))
        return _values.Committed()

    async def read_object(
        self, name: str
    ) -> bytes | _values.Missing | _values.Unavailable:
        """Reads an object.

        :param name: name, which may contain slashes.
        """
        answer = await self._call('read_object', 'GET', f'/objects/{name}')
        if isinstance(answer, _values.Unavailable):
            return answer
        if answer.status == _NOT_FOUND:
            return _values.Missing()
        return answer.body

    async def write_object(
        self, name: str, body: bytes
    ) -> _values.Committed | _values.Unavailable:
        """Writes an object.

        :param name: name, which may contain slashes.
        :param body: its bytes.
        """
        path = f'/objects/{name}'
        answer = await self._call('write_object', 'PUT', path, body)
        if isinstance(answer, _values.Unavailable):
            return answer
        return _values.Committed()

    async def list_objects(
        self, prefix: str
    ) -> tuple[str, ...] | _values.Unavailable:
        """Lists the names of objects that start with a prefix.

        :param prefix: start of the names.
        """
        query = urllib.parse.urlencode({'prefix': prefix})
        answer = await self._call('list_objects', 'GET', f'/objects?{query}')
        if isinstance(answer, _values.Unavailable):
            return answer
        return tuple(orjson.loads(answer.body)['objects'])

    async def list_hosts(
        self,
    ) -> tuple[_values.Host, ...] | _values.Unavailable:
        """Lists the hosts that the platform considers live or leaving."""
        answer = await self._call('list_hosts', 'GET', '/hosts')
        if isinstance(answer, _values.Unavailable):
            return answer
        return tuple(
            _values.Host(
                host=row['host'],
                domain=row['domain'],
                peer_url=row['peer_url'],
                leaving=row['state'] == 'leaving',
            )
            for row in orjson.loads(answer.body)['hosts']
        )

    async def _call(
        self, operation: str, method: str, path: str, body: bytes | None = None
    ) -> _Answer | _values.Unavailable:
        with _SECONDS.labels(operation).time():
            answer = await self._send(method, path, body)
        result = 'unavailable'
        if isinstance(answer, _Answer):
            result = str(answer.status)
        _CALLS.labels(operation, result).inc()
        return answer

    async def _send(
        self, method: str, path: str, body: bytes | None
    ) -> _Answer | _values.Unavailable:
        url = f'{self._url}{path}'
        try:
            async with self._session.request(
                method, url, data=body, timeout=self._timeout
            ) as response:
                return _check_answer(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            return _values.Unavailable(str(error), may_have_applied=False)
        except (TimeoutError, aiohttp.ClientError) as error:
            return _values.Unavailable(f'{type(error).__name__}: {error}')


def _check_answer(status: int, body: bytes) -> _Answer | _values.Unavailable:
    if status in {_OK, _NOT_FOUND, _CONFLICT}:
        return _Answer(status, body)
    return _values.Unavailable(
        f'the platform answered {status}',
        may_have_applied=status not in _REFUSED,
    )


def make_client(
    session: aiohttp.ClientSession, url: str, timeout_s: float
) -> Client:
    """Makes a client.

    :param session: session whose connections are used.
    :param url: base URL of the platform.
    :param timeout_s: time limit of one call, in seconds.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    return Client(session, url.rstrip('/'), timeout)
