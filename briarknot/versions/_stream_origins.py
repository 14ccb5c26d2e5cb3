"""Workers that began streams, and the versions at which streams go on.

While several versions of the software may be in use, a process sends the origins of
its streams to a few others, also those of streams that began before. These are chosen
by a hash of the stream's id, so that any process that gets the rest of the stream knows
which ones to ask. A stream of a version that was not there before begins only once
most of them know it: a few of them that don't know a stream are then witnesses that
the version before began it.
"""

import collections
import math
import typing

import attrs

from briarknot import schema, sentinels, serving
from briarknot.versions import _software_versions

#: Processes that know the origin of a stream, besides the one that began it. Of
#: eight processes, four may be lost at once.
_KEEPERS = 4
#: Streams that begin this long before it is known that their worker has started
#: again may have begun after that start: the list of workers arrives late.
_MAX_LIST_DELAY_S = 3.0
_MAX_ORIGINS = 20_000
#: Time for which a process begins no streams whose origins others must know, after
#: none of them has confirmed one.
_ISOLATION_S = 2.0
#: Longest id of a stream; origins are sent in datagrams.
_MAX_ID_LENGTH = 200
_MS_PER_S = 1000

StreamOrigin = schema.messages.StreamOrigin


@attrs.frozen
class UnknownOrigin(sentinels.Sentinel):
    """Sentinel for a stream that several versions may have begun.

    :param reason: why its version is not known.
    """

    reason: str


@attrs.frozen
class _Origin:
    """Origin of a stream.

    :param service: service that began it.
    :param version: version of its worker; None where it is in doubt.
    :param worker: id of its worker.
    :param begun_s: time of its first event.
    """

    service: str
    version: str | None
    worker: str
    begun_s: float


@attrs.define(eq=False)
class StreamOrigins:
    """Origins of streams that this process began, or was sent."""

    _origins: collections.OrderedDict[str, _Origin] = attrs.field(
        factory=collections.OrderedDict
    )
    _unsent: dict[str, None] = attrs.field(factory=dict)
    _dropped_s: float = -math.inf
    _isolated_s: float = -math.inf

    def record(
        self, stream: str, worker: schema.serving.Worker, now: float
    ) -> None:
        """Records that a worker has begun a stream, or goes on with it.

        :param stream: id of the client's attempt that gets the first event.
        :param worker: the worker.
        :param now: the time.
        """
        if not stream or len(stream) > _MAX_ID_LENGTH:
            return
        self._add(
            stream, _Origin(worker.service, worker.version, worker.id, now)
        )
        self._unsent[stream] = None

    def complete(self, stream: str) -> None:
        """Records that a stream of this process is complete.

        Its origin need not be sent any more.

        :param stream: id of the client's attempt that got the first event.
        """
        self._unsent.pop(stream, None)

    def take_unsent(self, now: float) -> tuple[StreamOrigin, ...]:
        """Returns the origins of streams that others are not informed of yet.

        :param now: the time.
        """
        streams = tuple(self._unsent)
        self._unsent.clear()
        found = (self.find(stream, now) for stream in streams)
        return tuple(one for one in found if one is not None)

    def merge(self, message: StreamOrigin, now: float) -> None:
        """Records an origin that another process has sent.

        :param message: the origin.
        :param now: the time of its arrival.
        """
        self._add(
            message.stream,
            _Origin(
                message.service,
                message.version,
                message.worker,
                now - message.age_ms / _MS_PER_S,
            ),
        )

    def find(self, stream: str, now: float) -> StreamOrigin | None:
        """Returns the origin of a stream; None if it is not known.

        :param stream: id of the client's attempt that got the first event.
        :param now: the time.
        """
        self._drop_old(now)
        origin = self._origins.get(stream)
        if origin is None or origin.version is None:
            return None
        return StreamOrigin(
            stream=stream,
            service=origin.service,
            version=origin.version,
            worker=origin.worker,
            age_ms=max(0, int((now - origin.begun_s) * _MS_PER_S)),
        )

    def is_witness(self, stream: str, now: float) -> bool:
        """Returns whether a stream began without that its origin was sent.

        :param stream: id of the client's attempt that got the first event.
        :param now: the time.
        :returns: False also where an origin may have been dropped, or is in doubt.
        """
        has_dropped = now - self._dropped_s <= _software_versions.MAX_STREAM_S
        is_known = not stream or stream in self._origins
        return not (is_known or has_dropped or len(stream) > _MAX_ID_LENGTH)

    def record_isolation(self, now: float) -> None:
        """Records that no other process has confirmed an origin.

        :param now: the time.
        """
        self._isolated_s = now

    def is_isolated(self, now: float) -> bool:
        """Returns whether this process may be cut off from all others.

        :param now: the time.
        """
        return now - self._isolated_s < _ISOLATION_S

    def forget_restarted(self, worker_id: str, now: float) -> None:
        """Forgets the versions of streams that a worker may have begun at a new one.

        :param worker_id: a worker that has started again under its id.
        :param now: the time at which the new start is known.
        """
        for stream, origin in tuple(self._origins.items()):
            is_recent = now - origin.begun_s <= _MAX_LIST_DELAY_S
            if origin.worker == worker_id and is_recent:
                self._origins[stream] = attrs.evolve(origin, version=None)
                self._unsent.pop(stream, None)

    def _add(self, stream: str, origin: _Origin) -> None:
        self._origins[stream] = origin
        self._origins.move_to_end(stream)
        self._drop_old(origin.begun_s)
        if len(self._origins) > _MAX_ORIGINS:
            self._dropped_s = origin.begun_s
            self._pop_oldest()

    def _drop_old(self, now: float) -> None:
        while self._origins:
            oldest = next(iter(self._origins.values()))
            if now - oldest.begun_s <= _software_versions.MAX_STREAM_S:
                return
            self._pop_oldest()

    def _pop_oldest(self) -> None:
        stream, _ = self._origins.popitem(last=False)
        self._unsent.pop(stream, None)


def choose_keepers(stream: str, hosts: typing.Iterable[str]) -> tuple[str, ...]:
    """Chooses the processes that know the origin of a stream.

    All processes compute nearly the same choice from nearly the same hosts.

    :param stream: id of the stream.
    :param hosts: hosts of all processes.
    """
    return serving.rank_names(stream, hosts)[:_KEEPERS]


def count_confirmations(hosts: int, *, is_keeper: bool) -> int:
    """Counts the other keepers that must know a stream before it begins.

    :param hosts: number of all processes.
    :param is_keeper: whether the process that begins it is a keeper of it.
    """
    copies = _count_copies(hosts)
    return copies - 1 if is_keeper else copies


def _count_copies(hosts: int) -> int:
    """Counts the keepers that know a stream when it begins.

    In a small fleet the process that begins it is always one of them.
    """
    if hosts <= _KEEPERS:
        return hosts // 2 + 1
    return _KEEPERS // 2


def choose_sole(
    testimonies: typing.Iterable[str | None], hosts: int
) -> str | None:
    """Chooses the version that the keepers of a stream agree on.

    There must be so many witnesses that one of them would know the stream if it had
    begun at any other version.

    :param testimonies: the version that each keeper states; None where it is no
        witness.
    :param hosts: number of all processes.
    :returns: the version; None where there are too few witnesses.
    """
    most_unknowing = min(hosts, _KEEPERS) - _count_copies(hosts)
    stated = [version for version in testimonies if version is not None]
    if len(stated) <= most_unknowing or len(set(stated)) != 1:
        return None
    return stated[0]


def choose_version(
    possible: frozenset[str] | _software_versions.Uncertain,
    origin: StreamOrigin | None,
    sole: str | None = None,
) -> str | UnknownOrigin:
    """Chooses the version at which a stream goes on.

    :param possible: versions that may have begun it.
    :param origin: its origin; None if it is not known.
    :param sole: version that its keepers agree on; None where they don't.
    :returns: the version; a sentinel where it may not go on.
    """
    if origin is not None:
        return origin.version
    if sole is not None:
        return sole
    if isinstance(possible, _software_versions.Uncertain):
        return UnknownOrigin(possible.reason)
    if len(possible) == 1:
        return next(iter(possible))
    return UnknownOrigin(f'{len(possible)} versions may have begun it')


def make_stream_origins() -> StreamOrigins:
    """Makes the origins of a process that has begun no stream.

    >>> make_stream_origins().find('q1', now=0) is None
    True
    """
    return StreamOrigins()
