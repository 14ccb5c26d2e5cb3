"""Answers requests of the platform's clients."""

import attrs
from aiohttp import web

from briarknot import serving
from briarknot.platform import _headers

_UNAUTHORIZED = 401
#: Bytes of a response that are written at once; what a client does not read shows
#: after so many.
_SLICE_BYTES = 64 << 10


@attrs.define(eq=False)
class Responder:
    """Answers one request of a client."""

    _request: web.BaseRequest
    _closing: bool
    _response: web.StreamResponse | None = None
    _result: web.StreamResponse | None = None
    _is_aborted: bool = False
    _is_disconnected: bool = False
    _rest: bytes = b''

    @property
    def missing_answer(self) -> str:
        """Why the client gets no whole answer; empty where it gets one."""
        if self._is_disconnected:
            return 'client_left'
        if self._is_aborted:
            return 'cut_off'
        return '' if self._result is not None else 'no_result'

    @property
    def has_started(self) -> bool:
        """Whether a part of an answer was sent to the client."""
        return self._response is not None

    @property
    def result(self) -> web.StreamResponse | None:
        """Response that the connection's task has to send."""
        return self._result

    def close_after_answer(self) -> None:
        """Closes the connection after the answer."""
        self._closing = True

    def send_answer(self, answer: serving.Answer) -> None:
        """Sends a worker's whole answer.

        :param answer: status, headers, and body.
        """
        if len(answer.body) > _SLICE_BYTES:
            # Written whole, it would exist twice while its client doesn't read.
            response = web.StreamResponse(status=answer.status)
            response.content_length = len(answer.body)
            self._rest = answer.body
        else:
            response = web.Response(status=answer.status, body=answer.body)
        _copy_headers(response, answer.headers)
        self._finish(response)

    def refuse(
        self, status: int, request_id: str, retry_after_s: float = 0
    ) -> None:
        """Refuses the request on behalf of the system itself.

        :param status: HTTP status.
        :param request_id: id of the client's attempt.
        :param retry_after_s: time after which a retry can help; 0 for none.
        """
        response = web.Response(status=status)
        if request_id:
            response.headers[_headers.REQUEST_ID] = request_id
        if status == _UNAUTHORIZED:
            # RFC 9110 requires it with the status.
            response.headers[_headers.AUTHENTICATE] = 'Bearer'
        if retry_after_s:
            response.headers[_headers.RETRY_AFTER] = f'{retry_after_s:.2f}'
        self._finish(response)

    async def start_stream(self, answer: serving.Answer) -> bool:
        """Starts a stream with the head of a worker's answer.

        :param answer: status and headers.
        :returns: whether the client is still connected.
        """
        response = web.StreamResponse(status=answer.status)
        _copy_headers(response, answer.headers)
        self._response = response
        if self._closing:
            response.force_close()
        try:
            await response.prepare(self._request)
        except ConnectionError:
            self._is_disconnected = True
            return False
        self._result = response
        return True

    async def send_events(self, data: bytes) -> bool:
        """Sends events.

        :param data: complete events.
        :returns: whether the client is still connected.
        """
        connection = self._request.protocol
        connection.start_write()
        try:
            await self._response.write(data)
        except ConnectionError:
            self._is_disconnected = True
            return False
        connection.end_write()
        return True

    async def write_rest(self) -> None:
        """Writes what is left of the answer, so that a stop waits for it."""
        if self.missing_answer:
            return
        self._response = self._result
        connection = self._request.protocol
        connection.start_write()
        try:
            await self._result.prepare(self._request)
            await self._write_slices()
            await self._result.write_eof()
        except ConnectionError:
            self._is_disconnected = True
        else:
            connection.end_write()

    async def _write_slices(self) -> None:
        # The traceback of a cancelled write holds its slice until it is collected;
        # a view of the body would hold all of it.
        rest = self._rest
        self._rest = b''
        try:
            for start in range(0, len(rest), _SLICE_BYTES):
                await self.send_events(rest[start : start + _SLICE_BYTES])
                if self._is_disconnected:
                    break
        finally:
            rest = b''

    def abort(self) -> None:
        """Closes the connection, so that the answer does not look complete."""
        self._is_aborted = True
        if self._request.transport is not None:
            self._request.transport.close()

    def _finish(self, response: web.StreamResponse) -> None:
        if self._closing:
            response.force_close()
        self._result = response


def _copy_headers(
    response: web.StreamResponse, headers: tuple[serving.Header, ...]
) -> None:
    for name, value in headers:
        response.headers.add(name, value)
    if 'Content-Type' not in response.headers:
        response.content_type = 'application/octet-stream'
