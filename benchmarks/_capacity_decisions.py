"""Slopes of decisions and documents, measured in this process."""

import asyncio
import collections.abc
import gc
import hashlib
import time

import attrs
import psutil

from benchmarks import _slopes
from briarknot import admission, document, journal, planning, routing, schema
from briarknot.config import _delta
from briarknot.entry import _identity
from briarknot.journal import _batches

_DOMAIN = 'domain-0'
_MODELS = 12
_CHOICES = 300
_REQUESTS = 2000
_RECORDS = (250, 1000, 4000)
_ENGINES = (8, 32, 120)
_ACCOUNTS = (1000, 4000, 16000)
_MEBIBYTE = 2**20


def make_document(engines: int, accounts: int) -> schema.fleet.Fleet:
    """Makes a document of a given size.

    :param engines: engines of one failure domain.
    :param accounts: accounts.
    """
    return schema.fleet.Fleet(
        name='size',
        domains=(schema.fleet.Domain(name=_DOMAIN, region='r'),),
        ranks=(
            schema.fleet.Rank(name='urgent', worth=10, floor_share=0.3),
            schema.fleet.Rank(name='ordinary', worth=3, floor_share=0.2),
            schema.fleet.Rank(name='waiting', floor_share=0.1),
        ),
        models=tuple(
            schema.fleet.Model(name=f'model-{number}')
            for number in range(_MODELS)
        ),
        engines=tuple(
            schema.fleet.Engine(
                name=f'engine-{number}',
                domain=_DOMAIN,
                url=f'http://127.0.0.1:{20000 + number}',
                model='model-0',
            )
            for number in range(engines)
        ),
        accounts=tuple(
            schema.fleet.Account(
                name=f'account-{number}',
                key_hashes=(hashlib.sha256(b'%d' % number).hexdigest(),),
            )
            for number in range(accounts)
        ),
    )


def _get_memory_mib() -> float:
    gc.collect()
    return psutil.Process().memory_info().rss / _MEBIBYTE


@_slopes.MEASUREMENTS.register('document')
def measure_document() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures decoding a document against its number of accounts."""
    seconds, memory, sizes = [], [], []
    for accounts in _ACCOUNTS:
        text = document.write_text(make_document(120, accounts))
        before = _get_memory_mib()
        started = time.process_time()
        result = document.read_text(schema.fleet.Fleet, text, 'size.json')
        seconds.append(_slopes.Point(accounts, time.process_time() - started))
        memory.append(_slopes.Point(accounts, _get_memory_mib() - before))
        sizes.append(_slopes.Point(accounts, len(text)))
        if result.value is None:
            raise RuntimeError(result.findings[0])
    yield _slopes.fit_slope('document read', 'accounts', 'CPU s', seconds)
    yield _slopes.fit_slope('document memory', 'accounts', 'MiB', memory)
    yield _slopes.fit_slope('document text', 'accounts', 'bytes', sizes)


@_slopes.MEASUREMENTS.register('difference')
def measure_difference() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures an update of one account against the number of accounts."""
    encoding, applying, sizes = [], [], []
    for accounts in _ACCOUNTS:
        before = make_document(120, accounts)
        changed = attrs.evolve(before.accounts[-1], max_streams=3)
        after = attrs.evolve(before, accounts=(*before.accounts[:-1], changed))
        started = time.process_time()
        body = _delta.encode_delta(_delta.make_delta(before, after, 'base'))
        encoded_at = time.process_time()
        applied = _delta.apply_delta(before, _delta.decode_delta(body))
        _identity.make_directory(applied)
        routing.make_view(before, _DOMAIN).apply_document(applied)
        ended = time.process_time()
        encoding.append(_slopes.Point(accounts, encoded_at - started))
        applying.append(_slopes.Point(accounts, ended - encoded_at))
        sizes.append(_slopes.Point(accounts, len(body)))
    yield _slopes.fit_slope('difference made', 'accounts', 'CPU s', encoding)
    yield _slopes.fit_slope('difference taken', 'accounts', 'CPU s', applying)
    yield _slopes.fit_slope('difference text', 'accounts', 'bytes', sizes)


@_slopes.MEASUREMENTS.register('choice')
def measure_choice() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures the choice of an engine against the domain's engines."""
    points = []
    for engines in _ENGINES:
        view = routing.make_view(make_document(engines, 1), _DOMAIN)
        for engine in view.engines:
            report = schema.endpoints.LoadReport(
                model='model-0@1',
                running=4,
                kv_blocks_total=512,
                kv_blocks_free=400,
                prefill_tokens_per_s=8000,
                decode_tokens_per_s=40,
            )
            view.apply_report(engine.engine.name, report, 0)
        router = routing.make_router('least_work', 1)
        work = routing.make_estimator().estimate(
            'a', 'text', 'model-0', (), 500, 100
        )
        started = time.process_time()
        for _ in range(_CHOICES):
            router.choose_engine(view, work, 1)
        elapsed = (time.process_time() - started) / _CHOICES
        points.append(_slopes.Point(engines, elapsed))
    yield _slopes.fit_slope('engine choice', 'engines', 'CPU s', points)


@_slopes.MEASUREMENTS.register('admission')
def measure_admission() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures admission against the accounts with open requests."""
    points = [
        _slopes.Point(accounts, asyncio.run(_time_admission(accounts)))
        for accounts in (10, 100, 1000)
    ]
    yield _slopes.fit_slope('admission', 'accounts', 'CPU s', points)


async def _time_admission(accounts: int) -> float:
    gate = admission.make_admission(
        'ranked',
        make_document(8, 1),
        admission.Capacity(work_per_s=1000, concurrent=_REQUESTS * 2),
    )
    started = time.process_time()
    tickets = [
        gate.submit(
            admission.AdmissionRequest(
                account=f'account-{number % accounts}',
                rank='ordinary',
                work_s=0.1,
            ),
            0,
        )
        for number in range(_REQUESTS)
    ]
    for ticket in tickets:
        if isinstance(ticket, admission.Ticket):
            gate.finish(ticket, 1)
    return (time.process_time() - started) / _REQUESTS


@_slopes.MEASUREMENTS.register('planner')
def measure_planner() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures a role decision against the domain's engines."""
    points = []
    for engines in _ENGINES:
        fleet = make_document(engines, 1)
        planner = planning.make_planner('two_window')
        snapshot = planning.Snapshot(
            engines=tuple(
                planning.EngineState(
                    name=engine.name,
                    group=engine.group,
                    model=engine.model,
                    role=engine.role,
                    report=schema.endpoints.LoadReport(),
                )
                for engine in fleet.engines
            ),
            demands=(
                planning.PoolDemand(
                    group='default',
                    model='model-0',
                    short=planning.Demand(prefill=2, decode=5),
                    long=planning.Demand(prefill=2, decode=5),
                ),
            ),
        )
        started = time.process_time()
        for second in range(_CHOICES):
            planner.choose_change(snapshot, second)
        elapsed = (time.process_time() - started) / _CHOICES
        points.append(_slopes.Point(engines, elapsed))
    yield _slopes.fit_slope('role decision', 'engines', 'CPU s', points)


@_slopes.MEASUREMENTS.register('journal')
def measure_journal() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures size and cost of journal batches against their records."""
    sizes, seconds = [], []
    for count in _RECORDS:
        started = time.process_time()
        lines = [
            _batches.encode_record(_make_record(number))
            for number in range(count)
        ]
        encoded = _batches.encode_batch('host-0', '202612040000', lines, ())
        seconds.append(_slopes.Point(count, time.process_time() - started))
        sizes.append(_slopes.Point(count, len(encoded)))
    yield _slopes.fit_slope('journal batch', 'records', 'bytes', sizes)
    yield _slopes.fit_slope('journal encoding', 'records', 'CPU s', seconds)


def _make_record(number: int) -> schema.records.RequestRecord:
    attempt = schema.records.Attempt(
        endpoint=f'engine-{number % 120}',
        start_s=0.01 + number / 1e5,
        end_s=2.5 + number / 1e4,
        choice=(
            f'least_work chose engine-{number % 120} of 10 candidates: score '
            f'{number / 7e4:.3f} s, best 0.313 s; queue 0.000 s, prefill '
            f'{number / 9e4:.3f} s with 0 tokens cached, hand-over 0.000 s, '
            'interference 0.000 s, penalty factor 1.0'
        ),
        outcome='completed',
        tokens=number % 300,
    )
    return schema.records.RequestRecord(
        request_id=journal.make_request_id('host-0', 1.7e9 + number),
        host='host-0',
        domain=_DOMAIN,
        received_s=1.7e9 + number,
        account=f'account-{number % 1000}',
        kind='completion',
        target='model-0',
        rank='ordinary',
        revision=7,
        queue_reason='a slot was free',
        attempts=(attempt,),
        first_token_s=0.3 + number / 1e5,
        total_s=2.5 + number / 1e4,
        prompt_tokens=number,
        output_tokens=number % 300,
        outcome='completed',
    )


@_slopes.MEASUREMENTS.register('messages')
def measure_messages() -> collections.abc.Iterator[_slopes.Slope]:
    """Measures the bytes of load messages against their number."""
    message = schema.messages.EngineLoad(
        engine='engine-100',
        report=schema.endpoints.LoadReport(
            model='model-0@1', instance='0123456789abcdef0123456789abcdef'
        ),
    )
    size = len(schema.encode(message))
    points = [_slopes.Point(count, count * size) for count in (1, 2, 3)]
    yield _slopes.fit_slope('load message', 'messages', 'bytes', points)
    started = time.process_time()
    for _ in range(_REQUESTS):
        schema.decode(schema.encode(message))
    elapsed = time.process_time() - started
    points = [
        _slopes.Point(count, count * elapsed / _REQUESTS) for count in (1, 2, 3)
    ]
    yield _slopes.fit_slope('load message codec', 'messages', 'CPU s', points)
