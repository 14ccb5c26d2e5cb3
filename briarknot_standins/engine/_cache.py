"""Prefix cache in blocks, with events that are delayed and may be lost."""

import collections
import random
import time

import attrs

from briarknot.schema import endpoints

_MAX_EVENTS = 10_000


@attrs.frozen
class _TimedEvent:
    event: endpoints.CacheEvent
    made_at_s: float


@attrs.define(eq=False)
class PrefixCache:
    """Prefix cache with LRU eviction of blocks.

    :param capacity: maximum number of blocks.
    :param event_delay_s: age at which an event becomes visible.
    :param seed: seed of the random loss of events.
    """

    _capacity: int
    _event_delay_s: float
    _seed: int
    #: Share of events that are lost.
    event_loss: float = 0
    _blocks: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict, init=False
    )
    _events: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_EVENTS), init=False
    )
    _seq: int = attrs.field(default=0, init=False)
    _random: random.Random = attrs.field(init=False)

    @_random.default
    def _make_random(self) -> random.Random:
        return random.Random(self._seed)

    @property
    def size(self) -> int:
        """Number of blocks in the cache."""
        return len(self._blocks)

    def count_prefix(self, blocks: tuple[str, ...]) -> int:
        """Returns how many leading blocks of a prompt are cached."""
        found = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            found += 1
        return found

    def store(self, blocks: tuple[str, ...]) -> None:
        """Stores a prompt's blocks and evicts the least recently used."""
        for block in blocks:
            if block not in self._blocks:
                self._record_event(block, stored=True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event(evicted, stored=False)

    def clear(self) -> None:
        """Evicts all blocks."""
        while self._blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event(evicted, stored=False)

    def get_events(self, after: int) -> endpoints.CacheEvents:
        """Returns the visible events after a sequence number."""
        visible_until_s = time.monotonic() - self._event_delay_s
        events = tuple(
            timed.event
            for timed in self._events
            if timed.event.seq > after and timed.made_at_s <= visible_until_s
        )
        following = events[-1].seq if events else after
        return endpoints.CacheEvents(events=events, next=following)

    def _record_event(self, block: str, *, stored: bool) -> None:
        self._seq += 1
        if self._random.random() < self.event_loss:
            return
        event = endpoints.CacheEvent(seq=self._seq, stored=stored, block=block)
        self._events.append(_TimedEvent(event, time.monotonic()))
