"""Shared parts of prompts that the engines probably have in their caches."""

import collections

import attrs

from briarknot import schema
from briarknot.serving import _calls

#: Tokens of shared parts that an engine is believed to keep at the most. Its
#: memory holds the requests' own parts and running streams too; the
#: deployments' engines have room for 450,000 to 560,000 tokens.
_BELIEVED_TOKENS = 300_000

CachedPart = schema.messages.CachedPart


@attrs.define(eq=False)
class _Cache:
    """Parts of one engine, the least recently used first.

    :param parts: tokens by part.
    :param tokens: sum of the tokens.
    """

    parts: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    tokens: int = 0

    def note(self, part_id: str, tokens: int) -> None:
        """Notes the use of a part, and drops those that had to yield."""
        self.tokens += tokens - self.parts.pop(part_id, 0)
        self.parts[part_id] = tokens
        while self.tokens > _BELIEVED_TOKENS and len(self.parts) > 1:
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped


@attrs.define(eq=False)
class EngineCaches:
    """What this process and the others have sent to the engines."""

    _caches: dict[str, _Cache] = attrs.field(factory=dict)
    _news: list[CachedPart] = attrs.field(factory=list)

    def record_prompt(self, worker_id: str, prompt: _calls.Prompt) -> None:
        """Notes that a prompt was sent to a worker.

        :param worker_id: id of the worker.
        :param prompt: the prompt; its last part is its own.
        """
        for part in prompt.parts[:-1]:
            cached = CachedPart(
                worker=worker_id, part=part.id, tokens=part.tokens
            )
            self._news.append(cached)
            self.record_parts((cached,))

    def record_parts(self, parts: tuple[CachedPart, ...]) -> None:
        """Takes what another process has sent to the engines."""
        for one in parts:
            cache = self._caches.setdefault(one.worker, _Cache())
            cache.note(one.part, one.tokens)

    def take_unsent_parts(self) -> tuple[CachedPart, ...]:
        """Returns what the others have not been told yet."""
        news = tuple(self._news)
        self._news.clear()
        return news

    def count_cached(self, worker_id: str, prompt: _calls.Prompt) -> int:
        """Estimates the tokens that a worker need not read.

        :param worker_id: id of the worker.
        :param prompt: the prompt. A part is of use only if all parts before
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
        """Drops the cache of a worker that is gone."""
        self._caches.pop(worker_id, None)


def make_engine_caches() -> EngineCaches:
    """Makes the caches of engines that nothing was sent to."""
    return EngineCaches()
