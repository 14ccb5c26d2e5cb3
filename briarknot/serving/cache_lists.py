"""Decides which process reads the list of an engine's cache after a start.

Each process decides alike from the known gateways, so that one process reads each
list and sends it to all others. Nothing is read where another process already
knows the caches.
"""

import typing

import attrs

from briarknot import schema
from briarknot.serving import _rendezvous, _worker_starts

#: Time for the answers of processes that know the caches: the announcement of
#: this process takes 0.15 s, and a message to another region and back 0.12 s.
_ANSWER_S = 0.3
#: Time after which the next process in the order reads a list that has not
#: arrived. It exceeds the time limit of a call, 0.5 s, and the way of a message.
_RANK_DELAY_S = 1.0
#: Time after which lists are no longer read. Shared parts in use have been
#: prefilled again by then; nine processes in the order may be absent.
_MAX_LISTING_S = 10.0
#: Shortest time between two reads of an engine by this process, as engines
#: answer them beside their work.
_MIN_REPEAT_S = 30.0
#: Processes that read an engine's list in vain.
_MAX_FAILURES = 2
#: Time for the caches to arrive from a process that was asked for them.
_TRANSFER_S = 0.5
#: Uptime after which a process that has read no lists knows the caches from the
#: prompts that all processes have sent.
_SETTLED_S = 30.0

Workers = tuple[schema.serving.Worker, ...]


@attrs.frozen(eq=False)
class ListingOrder:
    """The order in which processes read the list of an engine.

    The first is of the engine's failure domain, and the next ones are of the
    others in turn, so that the loss of a domain delays a list by one step.

    :param host: host of this process.
    :param domain: its failure domain.
    :param hosts: hosts of all known processes by failure domain.
    """

    host: str
    domain: str
    hosts: dict[str, tuple[str, ...]]
    _ranks: dict[str, int] = attrs.field(factory=dict)

    def find_rank(self, engine: schema.serving.Worker) -> int:
        """Returns the number of processes before this one in the order.

        :param engine: the engine.
        """
        rank = self._ranks.get(engine.id)
        if rank is None:
            rank = self._compute_rank(engine)
            self._ranks[engine.id] = rank
        return rank

    def _compute_rank(self, engine: schema.serving.Worker) -> int:
        domains = sorted(
            _rendezvous.rank_names(engine.id, self.hosts),
            key=lambda domain: domain != engine.domain,
        )
        near = _rendezvous.rank_names(engine.id, self.hosts[self.domain])
        turn = near.index(self.host)
        position = domains.index(self.domain)
        return sum(
            min(len(self.hosts[domain]), turn + (index < position))
            for index, domain in enumerate(domains)
        )


@attrs.define(eq=False)
class CacheListing:
    """What a process knows of the reads of engines' lists after its start."""

    _made_s: float
    _begun_s: float = float('inf')
    _is_enabled: bool = False
    _is_told: bool = False
    _is_ended: bool = False
    _listed: set[str] = attrs.field(factory=set)
    _failures: dict[str, set[str]] = attrs.field(factory=dict)
    _read_s: dict[str, float] = attrs.field(factory=dict)
    _seen_s: dict[str, float] = attrs.field(factory=dict)
    _sources: dict[str, frozenset[str]] = attrs.field(factory=dict)
    _knowing: list[str] = attrs.field(factory=list)
    _asked: set[str] = attrs.field(factory=set)
    _asked_s: float = float('-inf')

    @property
    def is_enabled(self) -> bool:
        """Whether this process reads lists after its start."""
        return self._is_enabled

    @property
    def is_told(self) -> bool:
        """Whether a process that knows the caches has sent them."""
        return self._is_told

    @property
    def listed(self) -> tuple[str, ...]:
        """Engines and their starts whose lists are known."""
        return tuple(self._listed)

    def enable(self) -> None:
        """Records that this process reads lists after its start."""
        self._is_enabled = True

    def begin(self, now: float) -> None:
        """Records that the engines and the other processes are known.

        :param now: time in seconds.
        """
        self._begun_s = min(self._begun_s, now)

    def end(self) -> None:
        """Records that this process reads no more lists."""
        self._is_ended = True

    def knows_caches(self, now: float) -> bool:
        """Returns whether a process that starts need not read lists.

        :param now: time in seconds.
        """
        if self._is_enabled:
            return self._is_told or self._is_ended
        return now - self._made_s >= _SETTLED_S

    def record_status(
        self, host: str, listed: typing.Iterable[str], *, is_known: bool
    ) -> None:
        """Records what another process knows and has not sent.

        :param host: host of the process.
        :param listed: engines and starts whose lists it knows.
        :param is_known: whether it knows the caches.
        """
        if not is_known:
            self._sources[host] = frozenset(listed)
        elif host not in self._knowing:
            self._knowing.append(host)

    def record_parts(
        self, listed: typing.Iterable[str], *, is_known: bool
    ) -> None:
        """Records that another process has sent the parts that it knows.

        :param listed: engines and starts whose lists are among them.
        :param is_known: whether it knows the caches.
        """
        self._listed.update(listed)
        self._is_told = self._is_told or is_known

    def record_list(self, start: str) -> None:
        """Records that the list of an engine is known.

        :param start: the engine and its start.
        """
        self._listed.add(start)

    def record_failure(self, start: str, host: str) -> None:
        """Records that a process has read the list of an engine in vain.

        :param start: the engine and its start.
        :param host: host of the process, whose message may arrive twice.
        """
        self._failures.setdefault(start, set()).add(host)

    def choose_source(self, now: float) -> str | None:
        """Chooses a process to ask for the parts that it knows.

        One that knows the caches usually sends them by itself. One that knows
        lists that this process has missed is asked at once.

        :param now: time in seconds.
        :returns: the host; None for no process.
        """
        if self._is_told or now - self._asked_s < _TRANSFER_S:
            return None
        sources = [
            host
            for host, listed in self._sources.items()
            if not listed <= self._listed
        ]
        if self._knowing:
            is_due = now - self._begun_s >= _ANSWER_S
            sources = self._knowing if is_due else []
        for host in sources:
            if host not in self._asked:
                self._asked.add(host)
                self._asked_s = now
                return host
        return None

    def take_due(
        self, engines: Workers, order: ListingOrder, now: float
    ) -> Workers:
        """Returns the engines whose lists this process must read now.

        :param engines: engines that accept requests.
        :param order: order of the processes.
        :param now: time in seconds.
        """
        is_early = now - self._begun_s < _ANSWER_S
        if is_early or self._knowing or self._is_told:
            return ()
        due = tuple(
            engine
            for engine in engines
            if self._is_open(engine) and self._is_turn(engine, order, now)
        )
        self._read_s.update({engine.id: now for engine in due})
        return due

    def is_over(self, engines: Workers, now: float) -> bool:
        """Returns whether nothing is left to read.

        :param engines: engines that accept requests.
        :param now: time in seconds.
        """
        waited_s = now - self._begun_s
        if self._is_told or waited_s >= _MAX_LISTING_S:
            return True
        if waited_s < _ANSWER_S or self._knowing:
            return False
        return not any(self._is_open(engine) for engine in engines)

    def _is_turn(
        self, engine: schema.serving.Worker, order: ListingOrder, now: float
    ) -> bool:
        """Returns whether the processes before this one have had their turn.

        The turns of an engine that starts during the listing begin when it is
        first seen. Otherwise several processes would read it at the same time.
        """
        start = _worker_starts.name_start(engine)
        seen_s = self._seen_s.setdefault(start, now)
        read_s = self._read_s.get(engine.id, float('-inf'))
        if now - read_s < _MIN_REPEAT_S:
            return False
        return order.find_rank(engine) <= int((now - seen_s) / _RANK_DELAY_S)

    def _is_open(self, engine: schema.serving.Worker) -> bool:
        """Returns whether a list is neither known nor given up."""
        start = _worker_starts.name_start(engine)
        failures = len(self._failures.get(start, ()))
        return start not in self._listed and failures < _MAX_FAILURES


def make_cache_listing(now: float) -> CacheListing:
    """Makes the state of a process that has just started.

    :param now: time in seconds.
    """
    return CacheListing(now)
