"""Exporters of spans, and the tracer that uses them.

Only programs that export spans import this module: the SDK takes a third of a
second of processor time at start.
"""

import typing

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export, sampling

from briarknot import registry, schema

_Exporter = schema.settings.TraceExporter
_ExporterFactory = typing.Callable[[str], tuple[export.SpanExporter, ...]]

#: Factories of span exporters, by the name in the settings.
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


def install_tracer(
    program: str, host: str, settings: schema.settings.Tracing
) -> None:
    """Installs the tracer of the process.

    :param program: name of the program.
    :param host: name of the host.
    :param settings: exporter, target, and sampled share.
    """
    exporters = EXPORTERS.get(settings.exporter)(settings.target)
    # Without an exporter, spans only carry the context; recording them took an
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
