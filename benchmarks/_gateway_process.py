"""Gateway process of the measurement ``gateway_request``.

It runs the serving code of a gateway in front of workers that its one argument
names, and tells its CPU time to whoever connects to its control port.
"""

import asyncio
import functools
import gc
import sys
import time

import orjson

from briarknot import platform, schema, telemetry
from briarknot.gateway import (  # noqa: F401 - fill the handlers
    _context,
    _generation,
    _plain,
    _requests,
)

_SERVING = schema.serving
_Kind = _SERVING.RequestKind
_FLUSH_PERIOD_S = 0.2
_BODY_BYTES = 1 << 20
#: Paths of the routes, by the kind of their requests.
PATHS = {
    _Kind.IDEMPOTENT: '/plain/',
    _Kind.NON_IDEMPOTENT: '/once/',
    _Kind.GENERATION: '/streams/',
}


def _make_manifest() -> _SERVING.Manifest:
    return _SERVING.Manifest(
        version=1,
        routes=tuple(
            _SERVING.Route(
                name=kind.value,
                host='127.0.0.1',
                path_prefix=path,
                kind=kind,
                timeout_s=30.0,
                target_s=1.0,
                max_attempts=2,
                max_silence_s=2.0,
                resumable=True,
                destinations=(
                    _SERVING.Destination(
                        service=_name_service(kind), weight=1.0
                    ),
                ),
            )
            for kind, path in PATHS.items()
        ),
        services=(_SERVING.Service(name='p'), _SERVING.Service(name='g')),
        limits=_SERVING.ClientLimits(body_bytes=_BODY_BYTES),
    )


def _name_service(kind: _Kind) -> str:
    return 'g' if kind == _Kind.GENERATION else 'p'


def _make_worker(number: int, port: int, stage: str) -> _SERVING.Worker:
    return _SERVING.Worker(
        id=f'worker-{number}',
        service='p' if stage == 'none' else 'g',
        address=f'127.0.0.1:{port}',
        domain='a',
        slots=64,
        stage=_SERVING.Stage(stage),
    )


def _make_context(settings: schema.settings.GatewaySettings):
    context = _context.make_context(settings, platform.make_worker_calls())
    context.fleet.apply_manifest(_make_manifest())
    context.fleet.apply_workers(
        tuple(
            _make_worker(number, settings.metrics_port, stage)
            for number, stage in enumerate(
                ('none', 'none', 'none', 'prefill', 'decode', 'decode')
            )
        ),
        time.monotonic(),
        after_outage=False,
    )
    context.notify_if_ready()
    return context


def _log_lines(count: int) -> None:
    for number in range(count):
        _context.REQUESTS.labels('idempotent', 'completed').inc()
        telemetry.log_event(
            'request_ended',
            request=f'request-{number}',
            route='route',
            rank=1,
            outcome='completed',
            attempts=1,
            seconds=0.0123,
            status=200,
            sends=1,
        )


async def _control(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Logs the number of lines that is asked for, and answers the CPU time."""
    while line := await reader.readline():
        started_s = time.process_time()
        _log_lines(int(line))
        answer = [started_s, time.process_time()]
        writer.write(orjson.dumps(answer) + b'\n')
    writer.close()


async def _serve(settings: schema.settings.GatewaySettings) -> None:
    lines = telemetry.set_up_json_logs('briarknot-gateway', settings.host)
    context = _make_context(settings)
    ingress = platform.make_ingress(
        settings,
        functools.partial(_requests.serve_call, context),
        lambda: True,
        lambda: _BODY_BYTES,
    )
    await ingress.start()
    await asyncio.start_server(_control, '127.0.0.1', settings.peer_port)
    while True:
        await asyncio.sleep(_FLUSH_PERIOD_S)
        lines.flush()


def main() -> None:
    """Serves until it is ended."""
    # As in the program: what was imported isn't collected again.
    gc.freeze()
    settings = schema.from_plain(
        schema.settings.GatewaySettings, orjson.loads(sys.argv[1])
    )
    asyncio.run(_serve(settings))


if __name__ == '__main__':
    main()
