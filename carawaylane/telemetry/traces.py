"""Trace spans of requests, one for each hop, with W3C trace context."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from opentelemetry.sdk.trace.export import SpanExporter
    from opentelemetry.trace import Span

TRACEPARENT_HEADER = 'traceparent'

_EXPORTERS: dict[str, Callable[[], SpanExporter | None]] = {}
_PROPAGATOR = TraceContextTextMapPropagator()


def exporter(name: str) -> Callable[[Any], Any]:
    """Register a factory of span exporters under its name in the settings."""

    def register(func: Callable[[], SpanExporter | None]) -> Any:
        _EXPORTERS[name] = func
        return func

    return register


def exporter_names() -> list[str]:
    """Return the names of the registered exporters."""
    return sorted(_EXPORTERS)


@exporter('none')
def _no_exporter() -> None:
    return None


@exporter('console')
def _console_exporter() -> SpanExporter:
    return ConsoleSpanExporter(
        formatter=lambda span: span.to_json(indent=None) + '\n'
    )


class Tracer:
    """Creates the trace spans of one node."""

    def __init__(self, *, node: str, exporter_name: str, ratio: float) -> None:
        self._provider = TracerProvider(
            resource=Resource({'service.name': 'carawaylane', 'host': node}),
            sampler=ParentBased(TraceIdRatioBased(ratio)),
        )
        span_exporter = _EXPORTERS[exporter_name]()
        if span_exporter is not None:
            self._provider.add_span_processor(
                BatchSpanProcessor(span_exporter)
            )
        self._tracer = self._provider.get_tracer('carawaylane')

    def start_span(self, name: str, parent: str) -> Span:
        """Start a span; `parent` is a traceparent header, or empty."""
        context = None
        if parent:
            context = _PROPAGATOR.extract({TRACEPARENT_HEADER: parent})
        return self._tracer.start_span(name, context=context)

    def close(self) -> None:
        """Export the buffered spans and shut down."""
        self._provider.shutdown()


def traceparent_of(span: Span) -> str:
    """Return the traceparent header of a span for the next hop."""
    span_context = span.get_span_context()
    flags = f'{int(span_context.trace_flags):02x}'
    return (
        f'00-{span_context.trace_id:032x}-{span_context.span_id:016x}-{flags}'
    )
