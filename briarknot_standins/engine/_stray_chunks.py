"""Fault that injects copies of earlier chunks into streams."""

import collections
import random

import attrs

# Enough chunks to include those of other streams, and few enough that all are
# recent.
_MAX_CHUNKS = 16


@attrs.define(eq=False)
class StrayChunks:
    """Injects copies of earlier chunks into streams.

    :param seed: seed of the random choice.
    :param share: share of chunks that are preceded by a copy.
    """

    _seed: int
    share: float = 0
    _earlier: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_CHUNKS), init=False
    )
    _random: random.Random = attrs.field(init=False)

    @_random.default
    def _make_random(self) -> random.Random:
        return random.Random(self._seed)

    def inject(self, chunk: bytes) -> bytes:
        """Returns a chunk, at random preceded by a copy of an earlier one."""
        stray = b''
        if self._earlier and self._random.random() < self.share:
            stray = self._random.choice(self._earlier)
        self._earlier.append(chunk)
        return stray + chunk
