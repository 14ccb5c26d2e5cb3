"""Connections whose errors don't repeat what a client has sent.

The library quotes the line of a request that it can't parse in its log and in its
answer. The line may hold the key of a client account.
"""

from aiohttp import http_exceptions, web, web_protocol


class Connection(web_protocol.RequestHandler):
    """Connection of a client."""

    __slots__ = ()

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
