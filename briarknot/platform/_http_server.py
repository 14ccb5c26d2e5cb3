"""Connections that know what they receive, and whose errors don't repeat it.

The library quotes the line of a request that it can't parse in its log and in its
answer. The line may hold the key of a client account.
"""

import enum
import typing

from aiohttp import http_exceptions, streams, web, web_protocol


class Received(enum.Enum):
    """What received bytes were part of."""

    #: An incomplete header section.
    HEAD = 'head'
    #: The end of a header section, and what follows it.
    REQUEST = 'request'
    #: A body.
    BODY = 'body'


class Connection(web_protocol.RequestHandler):
    """Connection of a client."""

    __slots__ = ('_last_body',)

    def __init__(self, manager: web.Server, **options: typing.Any) -> None:
        super().__init__(manager, **options)
        self._last_body: streams.StreamReader | None = None

    def parse(self, data: bytes) -> Received:
        """Parses received bytes.

        :param data: the bytes; those after the end of a body count as its part.
        :returns: what they were part of.
        """
        is_head = self._last_body is None or self._last_body.is_eof()
        count = len(self._messages)
        web_protocol.RequestHandler.data_received(self, data)
        if len(self._messages) > count:
            self._last_body = self._messages[-1][1]
            return Received.REQUEST
        return Received.HEAD if is_head else Received.BODY

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that failed in the library, and logs why.

        :param request: the request.
        :param status: HTTP status.
        :param exc: the error.
        :param message: text of the answer; replaced by the kind of the error.
        """
        if isinstance(exc, http_exceptions.HttpProcessingError):
            message = type(exc).__name__
            # The library logs attempts of other protocols less loudly.
            exc = (
                http_exceptions.BadHttpMethod(error=message)
                if isinstance(exc, http_exceptions.BadHttpMethod)
                else http_exceptions.BadHttpMessage(message)
            )
        return super().handle_error(request, status, exc, message)
