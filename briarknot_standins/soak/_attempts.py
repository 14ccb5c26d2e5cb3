"""Attempts of the clients of a soak, and the guarantees that they show."""

import collections
import re

import attrs

_EVENT = re.compile(rb'data: (\S+) (\S+) (\d+)/(\d+)\n\n')
#: Statuses which guarantee that a request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OK = 200


@attrs.frozen
class Event:
    """A complete event of a stream.

    :param request_id: request for which the worker sent it.
    :param version: software version of the worker.
    :param number: number of the event, from 1.
    :param total: number of events of the complete stream.
    """

    request_id: str
    version: str
    number: int
    total: int


@attrs.frozen
class Attempt:
    """One attempt of a client.

    :param id: id of the request.
    :param kind: kind of the request.
    :param status: HTTP status; 0 where no complete answer was received.
    :param body: what was received of the body; complete if there is a status.
    :param is_sealed: whether the answer has a worker's seal.
    :param sent_s: monotonic time at which the request was sent.
    :param retry_after_s: time after which the client may try again.
    """

    id: str
    kind: str
    status: int
    body: bytes
    is_sealed: bool
    sent_s: float
    retry_after_s: float = 0

    @property
    def is_complete(self) -> bool:
        """Whether the answer was received to its end and has run."""
        return self.status == _OK

    @property
    def events(self) -> list[Event]:
        """Complete events that were received."""
        return [
            Event(name.decode(), version.decode(), int(number), int(total))
            for name, version, number, total in _EVENT.findall(self.body)
        ]

    @property
    def violation(self) -> str:
        """Guarantee that the answer violates; empty where there is none."""
        if any(event.request_id != self.id for event in self.events):
            return 'events of another request'
        if not self.is_complete:
            return ''
        if not self.is_sealed:
            return 'status 200 without a seal'
        expected = f'answer {self.id} '.encode()
        if self.kind != 'chat' and not self.body.startswith(expected):
            return f'body {self.body!r} belongs to another request'
        return ''


@attrs.define(eq=False)
class Stream:
    """A stream over the attempts of its client.

    :param attempts: attempt that began the stream, and those that took it up.
    """

    attempts: list[Attempt]

    @property
    def id(self) -> str:
        """Id of the attempt that brought the first event."""
        return self.attempts[0].id

    @property
    def events(self) -> list[Event]:
        """Events of all attempts, as the client received them."""
        return [event for sent in self.attempts for event in sent.events]

    @property
    def is_broken(self) -> bool:
        """Whether the stream has begun and its end was not received."""
        has_begun = bool(self.attempts[0].events)
        return has_begun and not self.attempts[-1].is_complete

    @property
    def violation(self) -> str:
        """Guarantee that the stream violates; empty where there is none."""
        events = self.events
        if len({event.version for event in events}) > 1:
            return f'events of two versions: {self._describe()}'
        numbers = [event.number for event in events]
        count = len(numbers)
        if self.attempts[-1].is_complete:
            count = events[0].total if events else 1
        if numbers != list(range(1, count + 1)):
            return f'missing or repeated events: {self._describe()}'
        return ''

    def count(self) -> collections.Counter:
        """Returns counts of the stream and of the attempts to take it up."""
        counts: collections.Counter = collections.Counter()
        counts['begun'] += bool(self.attempts[0].events)
        for sent in self.attempts[1:]:
            counts['taken up'] += 1
            counts['gone on'] += sent.is_complete or bool(sent.events)
            counts['refused'] += sent.status in NOT_RUN_STATUSES
        return counts

    def _describe(self) -> str:
        return '; '.join(
            f'{sent.id} {sent.status} '
            + ' '.join(f'{one.number}@{one.version}' for one in sent.events)
            for sent in self.attempts
        )
