"""Estimate of the shared prompt parts in the KV caches of the engines."""

import collections

import attrs

from briarknot import schema
from briarknot.serving import _calls

#: Capacity of an engine of unknown size for shared parts, in tokens.
_DEFAULT_CAPACITY_TOKENS = 300_000
#: Share of an engine's KV cache that holds shared parts. The rest holds
#: unshared parts and running streams.
_SHARED_PARTS_SHARE = 0.7
_MS_PER_S = 1000
#: Period of repeated reports of a part that an engine holds.
_REPORT_PERIOD_S = 5.0

CachedPart = schema.messages.CachedPart


@attrs.frozen
class _Part:
    """A part in a cache.

    :param tokens: length of the part.
    :param ready_s: monotonic time from which it can be fetched.
    """

    tokens: int
    ready_s: float


@attrs.define(eq=False)
class _Cache:
    """LRU cache of the parts at one engine.

    :param parts: parts by id, least recently used first.
    :param tokens: sum of the tokens.
    """

    parts: collections.OrderedDict[str, _Part] = attrs.field(
        factory=collections.OrderedDict
    )
    tokens: int = 0

    def record(self, part_id: str, part: _Part, capacity_tokens: int) -> None:
        """Records the use of a part and evicts parts beyond the capacity."""
        known = self.remove(part_id)
        if known is not None and known.ready_s < part.ready_s:
            part = attrs.evolve(part, ready_s=known.ready_s)
        self.tokens += part.tokens
        self.parts[part_id] = part
        while self.tokens > capacity_tokens and len(self.parts) > 1:
            _, evicted = self.parts.popitem(last=False)
            self.tokens -= evicted.tokens

    def record_listed(self, part_id: str, part: _Part) -> None:
        """Records a part of unknown last use that the engine has reported.

        It counts as used before all known ones, so that it is the first to be
        evicted, and evicts none itself.
        """
        known = self.parts.get(part_id)
        if known is None:
            self.tokens += part.tokens
            self.parts[part_id] = part
            self.parts.move_to_end(part_id, last=False)
        elif known.ready_s > part.ready_s:
            self.parts[part_id] = attrs.evolve(known, ready_s=part.ready_s)

    def remove(self, part_id: str) -> _Part | None:
        """Removes a part, and returns it if it was there."""
        part = self.parts.pop(part_id, None)
        if part is not None:
            self.tokens -= part.tokens
        return part


@attrs.define(eq=False)
class EngineCaches:
    """Shared parts that this and other processes have sent to engines."""

    _caches: dict[str, _Cache] = attrs.field(factory=dict)
    _unsent: list[CachedPart] = attrs.field(factory=list)
    _capacity_tokens: int = _DEFAULT_CAPACITY_TOKENS
    _reported_s: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def set_engine_limits(self, limits: schema.serving.EngineLimits) -> None:
        """Sets the capacity of the caches.

        :param limits: properties of the engines.
        """
        if limits.kv_tokens:
            self._capacity_tokens = int(limits.kv_tokens * _SHARED_PARTS_SHARE)

    def record_prompt(
        self,
        worker_id: str,
        prompt: _calls.Prompt,
        now: float,
        ready_in_s: float = 0,
    ) -> None:
        """Records that a prompt was sent to a worker.

        :param worker_id: id of the worker.
        :param prompt: the prompt; its last part is not shared.
        :param now: monotonic time in seconds.
        :param ready_in_s: expected time until it is prefilled, in seconds.
        """
        for part in prompt.parts[:-1]:
            cached = CachedPart(
                worker=worker_id,
                part=part.id,
                tokens=part.tokens,
                ready_in_ms=int(ready_in_s * _MS_PER_S),
            )
            if self._is_report_due(cached, now):
                self._unsent.append(cached)
            self.record_parts((cached,), now)

    def _is_report_due(self, part: CachedPart, now: float) -> bool:
        """Returns whether other processes must be told of a use of a part.

        They need to know where it is, and only roughly how recently it was used.
        """
        key = (part.worker, part.part)
        cache = self._caches.get(part.worker)
        is_held = cache is not None and part.part in cache.parts
        reported_s = self._reported_s.get(key, float('-inf'))
        if is_held and now - reported_s < _REPORT_PERIOD_S:
            return False
        self._reported_s[key] = now
        return True

    def drop_pending_prompt(
        self, worker_id: str, prompt: _calls.Prompt, now: float
    ) -> None:
        """Records that a worker did not prefill a prompt.

        Parts that it held before stay.

        :param worker_id: id of the worker.
        :param prompt: the prompt.
        :param now: monotonic time in seconds.
        """
        cache = self._caches.get(worker_id) or _Cache()
        for part in prompt.parts[:-1]:
            known = cache.parts.get(part.id)
            if known is not None and known.ready_s > now:
                dropped = CachedPart(worker=worker_id, part=part.id)
                self._unsent.append(dropped)
                self.record_parts((dropped,), now)

    def record_parts(self, parts: tuple[CachedPart, ...], now: float) -> None:
        """Records parts that this or another process has sent to engines.

        :param parts: the parts; those without tokens are removed.
        :param now: monotonic time in seconds.
        """
        for one in parts:
            cache = self._caches.setdefault(one.worker, _Cache())
            if one.tokens:
                part = _Part(one.tokens, now + one.ready_in_ms / _MS_PER_S)
                cache.record(one.part, part, self._capacity_tokens)
            else:
                cache.remove(one.part)

    def record_list(
        self,
        worker_id: str,
        parts: tuple[schema.messages.HeldPart, ...],
        now: float,
    ) -> None:
        """Records parts that an engine has reported; no known part is removed.

        :param worker_id: id of the engine.
        :param parts: parts that are in its cache.
        :param now: monotonic time in seconds.
        """
        cache = self._caches.setdefault(worker_id, _Cache())
        for one in parts:
            cache.record_listed(one.part, _Part(one.tokens, now))

    def take_unsent_parts(self) -> tuple[CachedPart, ...]:
        """Returns the parts that were not yet sent to other processes."""
        unsent = tuple(self._unsent)
        self._unsent.clear()
        return unsent

    def list_parts(self, now: float) -> tuple[CachedPart, ...]:
        """Lists all parts, least recently used first, for another process.

        :param now: monotonic time in seconds.
        """
        return tuple(
            CachedPart(
                worker=worker_id,
                part=part_id,
                tokens=part.tokens,
                ready_in_ms=max(0, int((part.ready_s - now) * _MS_PER_S)),
            )
            for worker_id, cache in self._caches.items()
            for part_id, part in cache.parts.items()
        )

    def count_cached(
        self,
        worker_id: str,
        prompt: _calls.Prompt,
        ready_s: float | None = None,
    ) -> int:
        """Estimates the tokens of a prompt that a worker has in its cache.

        :param worker_id: id of the worker.
        :param prompt: the prompt. A part can be reused only if all parts before
            it are cached too.
        :param ready_s: monotonic time at which the parts must be prefilled, in
            order to be fetched by another worker; None also counts those that
            are prefilled before a prompt that is sent now.
        """
        cache = self._caches.get(worker_id)
        cached = 0
        if cache is None:
            return cached
        for part in prompt.parts[:-1]:
            known = cache.parts.get(part.id)
            if known is None:
                break
            if ready_s is not None and known.ready_s > ready_s:
                break
            cached += part.tokens
        return cached

    def count_each(
        self, worker_ids: list[str], prompt: _calls.Prompt, ready_s: float
    ) -> list[tuple[int, int]]:
        """Estimates the tokens of a prompt in the caches of several workers.

        :param worker_ids: ids of the workers.
        :param prompt: the prompt.
        :param ready_s: monotonic time at which parts must be prefilled, in order
            to be fetched by another worker.
        :returns: for each worker what :meth:`count_cached` returns without and
            with the time.
        """
        parts = [(part.id, part.tokens) for part in prompt.parts[:-1]]
        counts = []
        for worker_id in worker_ids:
            cache = self._caches.get(worker_id)
            cached = 0
            fetchable = 0
            is_ready = True
            for part_id, tokens in parts if cache else ():
                known = cache.parts.get(part_id)
                if known is None:
                    break
                cached += tokens
                is_ready = is_ready and known.ready_s <= ready_s
                if is_ready:
                    fetchable = cached
            counts.append((cached, fetchable))
        return counts

    def remove_worker(self, worker_id: str) -> None:
        """Removes the cache of a worker that is no longer listed."""
        self._caches.pop(worker_id, None)


def make_engine_caches() -> EngineCaches:
    """Makes an object without cached parts."""
    return EngineCaches()
