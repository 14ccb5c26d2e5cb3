"""Chunks that reach a stream late, or that belong to another one."""

import collections
import random

import attrs

# Old enough to come from other streams, and few enough to be recent.
_CHUNKS_KEPT = 16


@attrs.define(eq=False)
class Strays:
    """Mixes copies of earlier chunks into streams.

    :param seed: seed of the random choice.
    :param share: share of chunks that follow a copy.
    """

    _seed: int
    share: float = 0
    _earlier: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=_CHUNKS_KEPT), init=False
    )
    _random: random.Random = attrs.field(init=False)

    @_random.default
    def _make_random(self) -> random.Random:
        return random.Random(self._seed)

    def mix(self, chunk: bytes) -> bytes:
        """Returns a chunk, after the copy of an earlier one if it is due."""
        stray = b''
        if self._earlier and self._random.random() < self.share:
            stray = self._random.choice(self._earlier)
        self._earlier.append(chunk)
        return stray + chunk
