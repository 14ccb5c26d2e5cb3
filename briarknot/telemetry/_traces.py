"""Spans for each hop of a request."""

import collections.abc
import contextlib
import importlib

from opentelemetry import propagate, trace

from briarknot import schema


def set_up_traces(
    program: str, host: str, settings: schema.settings.Tracing
) -> None:
    """Installs the tracer of the process.

    :param program: name of the program.
    :param host: name of the host.
    :param settings: exporter, target, and sampled share.
    """
    # Programs without traces must not spend start-up time on the SDK.
    exporters = importlib.import_module('briarknot.telemetry._exporters')
    exporters.install_tracer(program, host, settings)


def shut_down_traces() -> None:
    """Exports the buffered spans and shuts the tracer down."""
    shut_down = getattr(trace.get_tracer_provider(), 'shutdown', None)
    if shut_down is not None:
        shut_down()


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
