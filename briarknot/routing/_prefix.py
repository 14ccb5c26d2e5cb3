"""Estimate of the blocks in an engine's prefix cache."""

import typing

import attrs

from briarknot import schema

#: Blocks that are tracked until a report gives the size of the cache.
_DEFAULT_BLOCKS = 2000


@attrs.define(eq=False)
class PrefixCache:
    """Blocks known from this process's dispatches and from cache events."""

    _blocks: dict[str, None] = attrs.field(factory=dict)
    _last_event: int = 0
    _size: int = _DEFAULT_BLOCKS

    def set_size(self, size: int) -> None:
        """Sets the size in blocks; 0 leaves it unchanged."""
        self._size = size or self._size

    def count_leading(self, blocks: tuple[str, ...]) -> int:
        """Returns the number of leading blocks of a prompt that are cached."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
        return len(blocks)

    def store(self, blocks: tuple[str, ...]) -> None:
        """Adds blocks as the most recent ones; evicts the oldest."""
        for block in blocks:
            self._blocks.pop(block, None)
            self._blocks[block] = None
        while len(self._blocks) > self._size:
            self._blocks.pop(next(iter(self._blocks)))

    def apply_events(
        self, events: typing.Iterable[schema.endpoints.CacheEvent]
    ) -> None:
        """Applies cache events; ignores repeated ones and allows gaps."""
        for event in events:
            if event.seq <= self._last_event:
                continue
            if self._last_event and event.seq > self._last_event + 1:
                self._drop_older_half()
            self._last_event = event.seq
            if event.stored:
                self.store((event.block,))
            else:
                self._blocks.pop(event.block, None)

    def _drop_older_half(self) -> None:
        # Lost events may have been evictions, most likely of the oldest blocks.
        for block in list(self._blocks)[: len(self._blocks) // 2]:
            self._blocks.pop(block)
