"""Data, counters and faults of the platform stand-in."""

import asyncio

import attrs
import orjson
from aiohttp import web

from briarknot import schema
from briarknot_standins.platform import _config, _stats, _store

_HOSTS_TABLE = 'hosts'


@attrs.define(eq=False)
class Platform:
    """The platform's data, counters and faults.

    :param config: configuration.
    """

    config: _config.PlatformConfig
    tables: _store.Tables = attrs.field(factory=_store.Tables, init=False)
    hosts: _store.Hosts = attrs.field(factory=_store.Hosts, init=False)
    objects: dict[str, bytes] = attrs.field(factory=dict, init=False)
    stats: _stats.Stats = attrs.field(factory=_stats.Stats, init=False)
    faults: _config.Faults = attrs.field(init=False)
    reads: _stats.RateLimit = attrs.field(init=False)
    writes: _stats.RateLimit = attrs.field(init=False)
    #: Held while one chunk of weights is sent, so that downloads share the
    #: rate.
    weights_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock, init=False)

    @faults.default
    def _make_faults(self) -> _config.Faults:
        return _config.Faults(host_lag_s=self.config.host_lag_s)

    @reads.default
    def _make_reads(self) -> _stats.RateLimit:
        return _stats.RateLimit(self.config.reads_per_s)

    @writes.default
    def _make_writes(self) -> _stats.RateLimit:
        return _stats.RateLimit(self.config.writes_per_s)

    def admit_read(self) -> bool:
        """Counts a read and returns whether it is within the limit."""
        admitted = self.reads.try_acquire()
        self.stats.reads += admitted
        self.stats.reads_refused += not admitted
        return admitted

    def admit_write(self) -> bool:
        """Returns whether a write is within the limit."""
        admitted = self.writes.try_acquire()
        self.stats.writes_refused += not admitted
        return admitted

    def count_response_bytes(self, response: web.StreamResponse) -> None:
        """Counts the bytes of a response; weights are not counted."""
        if isinstance(response, web.Response) and response.body:
            self.stats.bytes_out += len(response.body)

    def list_rows(
        self, table: str, start: str, end: str
    ) -> dict[str, _store.Row]:
        """Returns rows by key; hosts are the rows of the table ``hosts``."""
        if table != _HOSTS_TABLE:
            return self.tables.list_rows(
                table, start, end, self.faults.stale_reads
            )
        return {
            host.host: _store.Row(orjson.dumps(schema.to_plain(host)), 1)
            for host in self.hosts.read(self.faults.host_lag_s)
        }

    def store_object(self, name: str, body: bytes) -> None:
        """Stores an object and replaces an existing one of this name."""
        replaced = len(self.objects.get(name, b''))
        self.objects[name] = body
        self.stats.objects = len(self.objects)
        self.stats.object_bytes += len(body) - replaced

    def consume_lost_answer(self) -> bool:
        """Returns whether the answer to this write is lost, and counts it."""
        if not self.faults.lose_answers:
            return False
        left = self.faults.lose_answers - 1
        self.faults = attrs.evolve(self.faults, lose_answers=left)
        self.stats.answers_lost += 1
        return True
