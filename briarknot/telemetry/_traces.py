"""Spans for each hop of a request."""

import collections.abc
import contextlib
import typing

from opentelemetry import propagate, trace
from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export, sampling

from briarknot import registry, schema

_Exporter = schema.settings.TraceExporter
_ExporterFactory = typing.Callable[[str], tuple[export.SpanExporter, ...]]

#: Make span exporters from a target, by the name in the settings.
EXPORTERS: registry.Registry[_ExporterFactory] = registry.Registry('exporter')


@EXPORTERS.register(_Exporter.NONE)
def make_no_exporter(target: str) -> tuple[export.SpanExporter, ...]:
    """Makes none; spans then carry only the context."""
    return ()


@EXPORTERS.register(_Exporter.FILE)
def make_file_exporter(target: str) -> tuple[export.SpanExporter, ...]:
    """Writes one JSON object per line to a file.

    :param target: path of the file.
    """
    exporter = export.ConsoleSpanExporter(
        out=open(target, 'a', buffering=1, encoding='utf-8'),  # noqa: WPS515
        formatter=_format_span,
    )
    return (exporter,)


@EXPORTERS.register(_Exporter.OTLP)
def make_otlp_exporter(target: str) -> tuple[export.SpanExporter, ...]:
    """Sends spans by OTLP over HTTP.

    :param target: URL of the collector.
    """
    return (trace_exporter.OTLPSpanExporter(endpoint=target),)


def _format_span(span: sdk_trace.ReadableSpan) -> str:
    line = span.to_json(indent=None)
    return f'{line}\n'


def set_up_traces(
    program: str, host: str, settings: schema.settings.Tracing
) -> None:
    """Installs the tracer of the process.

    :param program: name of the program.
    :param host: name of the host.
    :param settings: exporter, target, and sampled share.
    """
    exporters = EXPORTERS.get(settings.exporter)(settings.target)
    # Spans that nobody exports only carry the context; recording them took an
    # eighth of the time of a short stream.
    share = settings.sample_share if exporters else 0
    provider = sdk_trace.TracerProvider(
        resource=resources.Resource.create(
            {
                'service.name': program,
                'host.name': host,
            }
        ),
        sampler=sampling.ParentBasedTraceIdRatio(share),
    )
    for exporter in exporters:
        provider.add_span_processor(export.BatchSpanProcessor(exporter))
    trace.set_tracer_provider(provider)


def shut_down_traces() -> None:
    """Exports what is buffered."""
    provider = trace.get_tracer_provider()
    if isinstance(provider, sdk_trace.TracerProvider):
        provider.shutdown()


@contextlib.contextmanager
def make_span(
    name: str,
    headers: collections.abc.Mapping[str, str] | None = None,
    **attributes: str | float,
) -> collections.abc.Iterator[trace.Span]:
    """Opens a span for a hop.

    :param name: name of the hop: entry, claim, queue, attempt, and so on.
    :param headers: headers of an incoming request, with ``traceparent``.
    :param attributes: attributes of the span.
    """
    context = propagate.extract(headers) if headers is not None else None
    tracer = trace.get_tracer('briarknot')
    with tracer.start_as_current_span(
        name, context=context, attributes=attributes
    ) as span:
        yield span


def inject_context(headers: dict[str, str]) -> dict[str, str]:
    """Adds ``traceparent`` of the current span to headers and returns them."""
    propagate.inject(headers)
    return headers
