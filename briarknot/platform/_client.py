"""Client of the platform's metadata store."""

import functools
import time
import urllib.parse

import aiohttp
import attrs
import orjson
import prometheus_client
import yarl

from briarknot import telemetry
from briarknot.platform import (
    _sessions,
    _store_answers,
    _store_clock,
    _values,
)

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
#: Table of the list of live and leaving hosts.
_HOSTS_TABLE = 'hosts'
#: Header with the number of times that the store was restored from a copy.
_ERA = 'Store-Era'
#: Smallest text that sorts after a key, so that a range holds that key alone.
_NEXT_KEY = '\x00'
#: Longest answer: an object of 8 MiB, or 500 rows of 1 MB with their encoding.
_MAX_BODY_BYTES = 9 << 20
#: Sorts after every key that starts with the text before it.
_LAST_KEY = '\U0010ffff'


@attrs.define
class Client:
    """Calls the store; no method raises on an outage.

    Each returns a value or a falsy sentinel:
    :class:`Missing`, :class:`Conflict`, :class:`Unavailable`, or
    :class:`HistoryLost`.
    """

    _session: aiohttp.ClientSession
    _url: str
    _timeout_s: float
    _era: int = 0
    _era_seen_s: float = 0
    _clock: _store_clock.StoreClock = attrs.field(
        factory=_store_clock.StoreClock
    )

    @property
    def era(self) -> int:
        """Latest era of the store that is known; 0 before its first answer.

        It rises when the store comes back from a copy. Versions and rows of an
        earlier era say nothing about those of a later one.
        """
        return self._era

    @property
    def era_age_s(self) -> float:
        """Time since this process knows the present era, in seconds."""
        return time.monotonic() - self._era_seen_s

    def record_era(self, era: int) -> None:
        """Records an era of the store that this or another process has seen.

        :param era: the era; 0 if it is not known.
        """
        if era <= self._era:
            return
        if self._era:
            telemetry.log_event('store_restored', era=era, era_before=self._era)
        self._era = era
        self._era_seen_s = time.monotonic()
        self._clock.forget()

    def convert_store_time(self, store_s: float) -> float:
        """Returns a time of the store's clock in the present era, or earlier.

        :param store_s: the time; 0 if it is not known.
        :returns: the time by the local clock that includes the suspension of the
            host; negative infinity where no read in this era shows it.
        """
        return self._clock.convert(store_s)

    async def read_row(
        self, table: str, key: str
    ) -> _values.Row | _values.Missing | _values.Unavailable:
        """Reads a row.

        :param table: table.
        :param key: key.
        """
        page = await self.read_row_page(table, key)
        if isinstance(page, _values.Unavailable):
            return page
        return page.rows[0] if page.rows else _values.Missing()

    async def read_row_page(
        self, table: str, key: str
    ) -> _values.Page | _values.Unavailable:
        """Reads a row together with the store's clock.

        :param table: table.
        :param key: key.
        :returns: a page with at most one row.
        """
        return await self._read_page(table, key, f'{key}{_NEXT_KEY}')

    async def scan_rows(
        self, table: str, prefix: str = ''
    ) -> tuple[_values.Row, ...] | _values.Unavailable:
        """Reads the rows whose keys start with a prefix.

        :param table: table.
        :param prefix: start of the keys.
        """
        page = await self.read_table(table, prefix)
        return page if isinstance(page, _values.Unavailable) else page.rows

    async def read_table(
        self, table: str, prefix: str = ''
    ) -> _values.Page | _values.Unavailable:
        """Reads rows and the version of the store that they belong to.

        :param table: table.
        :param prefix: start of the keys.
        :returns: the rows with the version and the time of the first page, so that
            a feed from it repeats what changed while later pages were read.
        """
        start = prefix
        rows: list[_values.Row] = []
        first = None
        while True:
            end = f'{prefix}{_LAST_KEY}' if prefix else ''
            page = await self._read_page(table, start, end)
            if isinstance(page, _values.Unavailable):
                return page
            rows.extend(page.rows)
            first = first or page
            if not page.more or not page.rows:
                return _values.Page(
                    tuple(rows),
                    first.version,
                    store_s=first.store_s,
                    era=page.era,
                )
            start = f'{page.rows[-1].key}{_NEXT_KEY}'

    async def watch_table(
        self, table: str, version: int, wait_s: float
    ) -> _values.Page | _values.HistoryLost | _values.Unavailable:
        """Waits for changes of a table.

        :param table: table.
        :param version: version after which changes are returned.
        :param wait_s: longest wait in seconds; no change is an empty page.
        """
        query = urllib.parse.urlencode(
            {'table': table, 'after': version, 'waitMs': int(wait_s * 1000)}
        )
        answer = await self._call(
            'follow_table',
            'GET',
            f'/v1/rows-feed?{query}',
            timeout_s=wait_s + self._timeout_s,
        )
        if isinstance(answer, _values.Unavailable):
            return answer
        if answer.status == _store_answers.GONE:
            return _values.HistoryLost()
        return _store_answers.decode(_store_answers.decode_page, answer)

    async def commit(
        self, *operations: _values.Operation
    ) -> _values.Committed | _values.Conflict | _values.Unavailable:
        """Writes all operations or none.

        :param operations: conditional writes.
        """
        removals = [one for one in operations if one.is_removal]
        writes = [one for one in operations if not one.is_removal]
        body = orjson.dumps(
            {
                'expected': [
                    {
                        **_store_answers.make_row_key(one),
                        'ver': one.expected_version or 0,
                    }
                    for one in writes
                ],
                'put': [
                    {
                        **_store_answers.make_row_key(one),
                        'value': _store_answers.encode_value(one.value),
                    }
                    for one in writes
                ],
                'remove': [
                    _store_answers.make_row_key(one) for one in removals
                ],
            }
        )
        answer = await self._call('commit', 'POST', '/v1/rows-tx', body)
        if isinstance(answer, _values.Unavailable):
            return answer
        if answer.status == _store_answers.CONFLICT:
            find = functools.partial(_store_answers.find_conflicts, operations)
            return _store_answers.decode(find, answer)
        return _values.Committed()

    async def read_object(
        self, name: str
    ) -> bytes | _values.Missing | _values.Unavailable:
        """Reads an object.

        :param name: name, which may contain slashes.
        """
        path = f'/v1/blob-get/{_quote(name)}'
        answer = await self._call('read_object', 'GET', path)
        if isinstance(answer, _values.Unavailable):
            return answer
        if answer.status == _store_answers.NOT_FOUND:
            return _values.Missing()
        return answer.body

    async def write_object(
        self, name: str, body: bytes
    ) -> _values.Committed | _values.Unavailable:
        """Writes an object.

        :param name: name, which may contain slashes.
        :param body: its bytes.
        """
        path = f'/v1/blob-put/{_quote(name)}'
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
        names: list[str] = []
        after = ''
        while True:
            query = urllib.parse.urlencode(
                {'pathPrefix': prefix, 'after': after}
            )
            answer = await self._call(
                'list_objects', 'GET', f'/v1/blob-list?{query}'
            )
            if isinstance(answer, _values.Unavailable):
                return answer
            page = _store_answers.decode(_store_answers.decode_names, answer)
            if isinstance(page, _values.Unavailable):
                return page
            found, has_more = page
            names.extend(found)
            if not has_more or not found:
                return tuple(names)
            after = names[-1]

    async def list_hosts(
        self,
    ) -> tuple[_values.Host, ...] | _values.Unavailable:
        """Lists the hosts that are registered as live or leaving."""
        rows = await self.scan_rows(_HOSTS_TABLE)
        if isinstance(rows, _values.Unavailable):
            return rows
        return tuple(_store_answers.decode_host(row) for row in rows)

    async def _read_page(
        self, table: str, start: str, end: str
    ) -> _values.Page | _values.Unavailable:
        parameters = {'table': table, 'part': ''}
        if start:
            parameters['from'] = start
        if end:
            parameters['to'] = end
        query = urllib.parse.urlencode(parameters)
        sent_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        answer = await self._call('read_rows', 'GET', f'/v1/rows-get?{query}')
        if isinstance(answer, _values.Unavailable):
            return answer
        page = _store_answers.decode(_store_answers.decode_page, answer)
        if isinstance(page, _values.Unavailable):
            return page
        if page.era == self._era and page.store_s:
            self._clock.record(sent_s, page.store_s)
        return page

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = 0,
    ) -> _store_answers.Answer | _values.Unavailable:
        with _SECONDS.labels(operation).time():
            answer = await self._send(
                method, path, body, timeout_s or self._timeout_s
            )
        result = 'unavailable'
        if isinstance(answer, _store_answers.Answer):
            result = str(answer.status)
        _CALLS.labels(operation, result).inc()
        return answer

    async def _send(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> _store_answers.Answer | _values.Unavailable:
        url = _make_url(self._url, path)
        try:
            async with self._session.request(
                method,
                url,
                data=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                era = _decode_era(response.headers.get(_ERA, ''))
                self.record_era(era)
                body = await _sessions.read_limited(response, _MAX_BODY_BYTES)
                if body is None:
                    response.close()
                    return _values.Unavailable('the answer does not end')
                return _store_answers.check_answer(response.status, body, era)
        except aiohttp.ClientConnectorError as error:
            return _values.Unavailable(str(error), may_have_applied=False)
        except (TimeoutError, aiohttp.ClientError) as error:
            return _values.Unavailable(f'{type(error).__name__}: {error}')


def _decode_era(text: str) -> int:
    return int(text) if text.isdigit() else 0


def _make_url(base: str, path: str) -> yarl.URL:
    # The path is already quoted; quoting it again would change keys.
    return yarl.URL(f'{base}{path}', encoded=True)


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe='')


def make_client(
    session: aiohttp.ClientSession, url: str, timeout_s: float
) -> Client:
    """Makes a client.

    :param session: session whose connections are used.
    :param url: base URL of the store.
    :param timeout_s: time limit of one call, in seconds.
    """
    return Client(session, url.rstrip('/'), timeout_s)
