"""Estimate of the shared prompt parts in the KV caches of the engines."""

import collections

import attrs

from briarknot import schema
from briarknot.serving import _calls

#: Assumed capacity of an engine for shared parts. Its KV cache also holds
#: unshared parts and running streams; the caches of the deployments' engines
#: hold 450,000 to 560,000 tokens.
_ASSUMED_CAPACITY_TOKENS = 300_000

CachedPart = schema.messages.CachedPart


@attrs.define(eq=False)
class _Cache:
    """LRU cache of the parts at one engine.

    :param parts: tokens by part, least recently used first.
    :param tokens: sum of the tokens.
    """

    parts: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    tokens: int = 0

    def record(self, part_id: str, tokens: int) -> None:
        """Records the use of a part and evicts parts beyond the capacity."""
        self.tokens += tokens - self.parts.pop(part_id, 0)
        self.parts[part_id] = tokens
        while self.tokens > _ASSUMED_CAPACITY_TOKENS and len(self.parts) > 1:
            _, evicted = self.parts.popitem(last=False)
            self.tokens -= evicted


@attrs.define(eq=False)
class EngineCaches:
    """Shared parts that this and other processes have sent to engines."""

    _caches: dict[str, _Cache] = attrs.field(factory=dict)
    _unsent: list[CachedPart] = attrs.field(factory=list)

    def record_prompt(self, worker_id: str, prompt: _calls.Prompt) -> None:
        """Records that a prompt was sent to a worker.

        :param worker_id: id of the worker.
        :param prompt: the prompt; its last part is not shared.
        """
        for part in prompt.parts[:-1]:
            cached = CachedPart(
                worker=worker_id, part=part.id, tokens=part.tokens
            )
            self._unsent.append(cached)
            self.record_parts((cached,))

    def record_parts(self, parts: tuple[CachedPart, ...]) -> None:
        """Records parts that this or another process has sent to engines."""
        for one in parts:
            cache = self._caches.setdefault(one.worker, _Cache())
            cache.record(one.part, one.tokens)

    def take_unsent_parts(self) -> tuple[CachedPart, ...]:
        """Returns the parts that were not yet sent to other processes."""
        unsent = tuple(self._unsent)
        self._unsent.clear()
        return unsent

    def count_cached(self, worker_id: str, prompt: _calls.Prompt) -> int:
        """Estimates the tokens of a prompt that a worker has in its cache.

        :param worker_id: id of the worker.
        :param prompt: the prompt. A part can be reused only if all parts before
            it are cached too.
        """
        cache = self._caches.get(worker_id)
        cached = 0
        if cache is None:
            return cached
        for part in prompt.parts[:-1]:
            if part.id not in cache.parts:
                break
            cached += part.tokens
        return cached

    def remove_worker(self, worker_id: str) -> None:
        """Removes the cache of a worker that is no longer listed."""
        self._caches.pop(worker_id, None)


def make_engine_caches() -> EngineCaches:
    """Makes an object without cached parts."""
    return EngineCaches()
