"""A connection of a client, as its limits know it."""

import enum
import typing

import attrs

#: Time without progress after which a connection counts as slow, in seconds.
_SLOW_S = 1.0
#: Share of its length that is left of a body that has almost arrived.
_LAST_SHARE = 0.125
#: Smaller ones aren't refused for their memory unless they are slow, as ordinary
#: requests are small.
_SMALL_BYTES = 32 << 10


class Phase(enum.IntEnum):
    """What a connection does."""

    IDLE = 0
    HEAD = 1
    BODY = 2
    RUN = 3
    RESPONSE = 4


class Limit(enum.StrEnum):
    """Why a client is refused, or its connection closed."""

    MEMORY = 'memory'
    DESCRIPTORS = 'descriptors'
    HEADER_BYTES = 'header_bytes'
    HEADER_TIME = 'header_time'
    IDLE_TIME = 'idle_time'
    BODY_TIME = 'body_time'
    RESPONSE_TIME = 'response_time'


@attrs.define(eq=False)
class Client:
    """A connection of a client.

    :param address: IP number of the client.
    :param opened_s: monotonic time at which it was opened.
    :param evict: refuses its request or closes it, for the given reason.
    :param phase: what it does.
    :param progress_s: monotonic time of its latest progress in that phase.
    :param head_bytes: received bytes of an incomplete header section.
    :param held_bytes: memory that it holds.
    :param length: length of the body; 0 where it is not known.
    :param received: received bytes of the body.
    :param response_bytes: reserved bytes of the response.
    :param has_tiny_chunks: whether its body comes in small chunks.
    :param is_unread: whether a part of the response waits to be read.
    :param unsent_bytes: written bytes that the client had not acknowledged.
    :param count_unsent: counts them.
    :param evicted_by: why it was refused or closed.
    :param is_dropped: whether its request was refused, and the rest is dropped.
    :param ahead_bytes: bytes that it sent ahead of the response to its request.
    """

    address: str
    opened_s: float
    evict: typing.Callable[[Limit], None]
    phase: Phase = Phase.IDLE
    progress_s: float = 0
    head_bytes: int = 0
    held_bytes: int = 0
    length: int = 0
    received: int = 0
    response_bytes: int = 0
    has_tiny_chunks: bool = False
    is_unread: bool = False
    unsent_bytes: int = 0
    count_unsent: typing.Callable[[], int] | None = None
    evicted_by: Limit | None = None
    is_dropped: bool = False
    ahead_bytes: int = 0

    @property
    def is_receiving(self) -> bool:
        """Whether a header section or a body is being received."""
        return self.phase in {Phase.HEAD, Phase.BODY}

    @property
    def has_almost_arrived(self) -> bool:
        """Whether little of a body of known length is missing."""
        missing = self.length - self.received
        return bool(self.length) and missing <= self.length * _LAST_SHARE

    def start_phase(self, phase: Phase, now: float) -> None:
        """Begins another phase."""
        self.phase = phase
        self.progress_s = now

    def check_progress(self, now: float) -> None:
        """Records progress where the client has read since the last check.

        One write lasts until the system has room for most of it, which takes a slow
        client many seconds.

        :param now: monotonic time.
        """
        if not self.is_unread or self.count_unsent is None:
            return
        unsent = self.count_unsent()
        if unsent < self.unsent_bytes:
            self.progress_s = now
        self.unsent_bytes = unsent

    def may_go(self, now: float) -> bool:
        """Returns whether it may be refused or closed for its memory.

        A request that runs, or whose response is being read, may not.

        :param now: monotonic time.
        """
        if self.evicted_by is not None:
            return False
        is_slow = self.is_slow(now)
        if self.is_unread:
            return is_slow
        return self.is_receiving and (is_slow or self.held_bytes > _SMALL_BYTES)

    def may_close(self, now: float, max_idle_s: float) -> bool:
        """Returns whether it may be closed where there are too many connections.

        :param now: monotonic time.
        :param max_idle_s: time after which it may be closed between requests.
        """
        if self.is_dropped:
            return True
        if self.evicted_by is not None:
            return False
        if self.phase is Phase.IDLE:
            return now - self.progress_s > max_idle_s
        return self.is_slow(now) and (self.is_receiving or self.is_unread)

    def is_slow(self, now: float) -> bool:
        """Returns whether it has made no progress for a moment."""
        return now - self.progress_s > _SLOW_S


def rank_victim(client: Client, now: float) -> tuple[bool, bool, int, float]:
    """Ranks who is refused or closed first, by the highest rank.

    Sizes within a factor of two count as the same.

    :param client: the client.
    :param now: monotonic time.
    """
    return (
        not client.has_almost_arrived,
        client.is_slow(now),
        client.held_bytes.bit_length(),
        client.opened_s,
    )
