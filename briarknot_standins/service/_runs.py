"""Run counters of the service stand-in."""

import collections

import attrs
import xxhash


@attrs.frozen(kw_only=True)
class Call:
    """One call as it was received.

    :param method: HTTP method.
    :param path: path with query.
    :param body: body.
    :param request_id: header ``X-Request-Id``; empty where absent.
    :param idempotency_key: header ``Idempotency-Key``; empty where absent.
    """

    method: str
    path: str
    body: bytes
    request_id: str
    idempotency_key: str


def expected_answer(method: str, path: str, body: bytes) -> str:
    """Returns the member ``answer`` that any worker gives to a call.

    :param method: HTTP method.
    :param path: path with query, below the service.
    :param body: body of the call.

    >>> expected_answer('POST', '/bookings', b'{}') == expected_answer(
    ...     'POST', '/bookings', b'[]'
    ... )
    False
    """
    return xxhash.xxh64_hexdigest(f'{method} {path}\n'.encode() + body)


@attrs.define(eq=False)
class RunLog:
    """Number of runs by request id, by idempotency key and by answer."""

    by_request_id: collections.Counter = attrs.field(
        factory=collections.Counter, init=False
    )
    by_idempotency_key: collections.Counter = attrs.field(
        factory=collections.Counter, init=False
    )
    by_answer: collections.Counter = attrs.field(
        factory=collections.Counter, init=False
    )
    total: int = attrs.field(default=0, init=False)

    def add(self, call: Call) -> None:
        """Counts a run."""
        self.total += 1
        self.by_request_id[call.request_id] += 1
        self.by_idempotency_key[call.idempotency_key] += 1
        answer = expected_answer(call.method, call.path, call.body)
        self.by_answer[answer] += 1
