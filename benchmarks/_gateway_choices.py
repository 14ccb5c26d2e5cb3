"""Slopes of the choices of a gateway, measured in this process.

The views are those of a gateway of a large fleet: half of the engines hold the
shared parts of a prompt, transfers between engines are known, and other gateways
have work at each engine.
"""

import collections.abc
import random
import time

import attrs

from benchmarks import _slopes
from briarknot import schema, serving
from briarknot.gateway import (
    _context,
    _prefill,
    _requests,
    _send_permits,
    _stream_versions,
)

_Stage = schema.serving.Stage
_WORKERS = (45, 150, 600)
_DOMAINS = 6
_GATEWAYS = 90
_CHOICES = 24
_ROUNDS = 3
_SHARED_TOKENS = 6000
_OWN_TOKENS = 400
#: Every third engine prefills, and every second one of a stage holds the parts.
_PREFILL_PERIOD = 3
_HOLDER_PERIOD = 2
_NOW = 1000.0
_LIMITS = schema.serving.EngineLimits(
    kv_tokens=600_000, kv_token_bytes=20_000, link_bits_per_s=4e11
)
_LOAD = serving.Load(running=2, waiting=0, slots=8)
_Choose = collections.abc.Callable[[], object]


@attrs.frozen
class _Gateway:
    """What a gateway knows when it chooses.

    :param context: state of the process, without its connections.
    :param fleet: workers of a service with engines and of a plain service.
    :param load: prompts at the engines.
    :param records: load and health of workers.
    :param topology: distances between failure domains.
    :param source: source of randomness.
    """

    context: _context.Context
    fleet: serving.Fleet
    load: serving.PromptLoad
    records: serving.WorkerRecords
    topology: serving.Topology
    source: random.Random

    def place(self, key: str) -> serving.Placement | None:
        """Chooses the engine that prefills a prompt.

        :param key: id of its shared part.
        """
        view = serving.PlacementView(
            load=self.load,
            worker_records=self.records,
            topology=self.topology,
            prefills=self.fleet.list_usable('lm', _Stage.PREFILL, _NOW),
            decodes=self.fleet.list_usable('lm', _Stage.DECODE, _NOW),
            target_s=0.8,
            limits=_LIMITS,
            event_gap_s=0.3,
            random_source=self.source,
            processes=_GATEWAYS,
        )
        policy = serving.PLACEMENT_POLICIES.get('predicted')
        return policy(view, _make_prompt(key), _NOW)

    def choose_decode(self) -> schema.serving.Worker:
        """Chooses the engine that generates."""
        view = serving.DecodeView(
            self.records,
            self.topology,
            self.source,
            self.load,
            0.3,
            _GATEWAYS,
        )
        decodes = self.fleet.list_usable('lm', _Stage.DECODE, _NOW)
        policy = serving.DECODE_POLICIES.get('least_tokens')
        return policy(view, decodes, None, _NOW)

    def choose_plain(self) -> schema.serving.Worker:
        """Chooses a worker of the plain service."""
        view = serving.PlainView(self.records, self.topology, self.source)
        policy = serving.PLAIN_POLICIES.get('least_cost')
        return policy(view, self.fleet.list_usable('plain'), _NOW)

    def list_candidates(self) -> object:
        """Lists the candidates for a prompt, and their limits."""
        context = self.context
        request = _requests.Request(
            call=None,
            route=schema.serving.Route(),
            service=schema.serving.Service(name='lm'),
            responder=None,
            deadline_s=_NOW,
        )
        prefills, decodes = (
            _prefill.list_unblocked(context, request, stage, [])
            for stage in (_Stage.PREFILL, _Stage.DECODE)
        )
        _send_permits.list_waits_s(context, request)
        return _stream_versions.list_continued(prefills, decodes)


def _make_prompt(key: str) -> serving.Prompt:
    parts = (
        schema.serving.PromptPart(id=key, tokens=_SHARED_TOKENS),
        schema.serving.PromptPart(id='own', tokens=_OWN_TOKENS),
    )
    return serving.Prompt(
        parts=parts, tokens=_SHARED_TOKENS + _OWN_TOKENS, output_tokens=200
    )


def _make_workers(count: int, versions: int) -> tuple[schema.serving.Worker]:
    engines = (
        schema.serving.Worker(
            id=f'lm-{number}',
            service='lm',
            domain=f'd{number % _DOMAINS}',
            slots=16,
            stage=_Stage.DECODE if number % _PREFILL_PERIOD else _Stage.PREFILL,
            born_ms=number + 1,
            version=f'v{number // _PREFILL_PERIOD % versions}',
        )
        for number in range(count)
    )
    plain = (
        schema.serving.Worker(
            id=f'plain-{number}',
            service='plain',
            domain=f'd{number % _DOMAINS}',
            slots=8,
            born_ms=number + 1,
        )
        for number in range(count)
    )
    return (*engines, *plain)


def _make_gateway(count: int, versions: int) -> _Gateway:
    context = _context.make_context(
        schema.settings.GatewaySettings(host='gateway', domain='d0'), None
    )
    gateway = _Gateway(
        context,
        context.fleet,
        context.prompt_load,
        context.worker_records,
        serving.Topology(
            'd0', {f'd{number}': f'r{number % 2}' for number in range(_DOMAINS)}
        ),
        random.Random(1),
    )
    workers = _make_workers(count, versions)
    gateway.fleet.apply_workers(workers, _NOW, after_outage=False)
    engines = workers[:count]
    sums = tuple(
        schema.messages.WorkerWork(
            worker=one.id,
            tokens=gateway.source.randrange(9000),
            streams=gateway.source.randrange(8),
        )
        for one in engines
    )
    gateway.load.work.apply_fleet_work(
        schema.messages.FleetWork(
            relay='relay', sequence=1, processes=_GATEWAYS, workers=sums
        ),
        'gateway',
        _NOW,
    )
    prompt = _make_prompt('held')
    for number, engine in enumerate(engines):
        if number // _PREFILL_PERIOD % _HOLDER_PERIOD:
            gateway.load.caches.record_prompt(engine.id, prompt, _NOW)
    for worker in workers:
        record = gateway.records.get(worker.id)
        record.record_answer(gateway.source.random(), is_error=False)
        record.record_load(_LOAD, _NOW)
    return gateway


def _time_choice(choose: _Choose) -> float:
    """Returns the CPU time of a choice in its fastest round, in seconds."""
    choose()
    rounds = []
    for _ in range(_ROUNDS):
        started = time.process_time()
        for _ in range(_CHOICES):
            choose()
        rounds.append((time.process_time() - started) / _CHOICES)
    return min(rounds)


def _list_choices(count: int) -> dict[str, _Choose]:
    gateway = _make_gateway(count, versions=1)
    updated = _make_gateway(count, versions=2)
    return {
        'placement': lambda: gateway.place('held'),
        'placement, two versions': lambda: updated.place('held'),
        'placement, new part': lambda: gateway.place('new'),
        'candidates': gateway.list_candidates,
        'decode choice': gateway.choose_decode,
        'plain choice': gateway.choose_plain,
    }


@_slopes.MEASUREMENTS.register('gateway_choice')
def measure_gateway_choice() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures the choices of a gateway against the workers of a service."""
    points: dict[str, list[_slopes.Point]] = {}
    for count in _WORKERS:
        for name, choose in _list_choices(count).items():
            point = _slopes.Point(count, _time_choice(choose))
            points.setdefault(name, []).append(point)
    for name, measured in points.items():
        yield _slopes.fit_slope(f'gateway {name}', 'workers', 'CPU s', measured)
