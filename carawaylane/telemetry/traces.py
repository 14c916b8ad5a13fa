"""Spans of a request, one for each hop, with W3C context."""

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
    """Register a maker of span exporters under a name for the settings."""

    def register(func: Callable[[], SpanExporter | None]) -> Any:
        _EXPORTERS[name] = func
        return func

    return register


def exporter_names() -> list[str]:
    """Return the names that the settings may choose."""
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
    """Maker of spans for one node."""

    def __init__(self, *, node: str, exporter_name: str, ratio: float) -> None:
        self._provider = TracerProvider(
            resource=Resource({'service.name': 'carawaylane', 'host': node}),
            sampler=ParentBased(TraceIdRatioBased(ratio)),
        )
        chosen = _EXPORTERS[exporter_name]()
        if chosen is not None:
            self._provider.add_span_processor(BatchSpanProcessor(chosen))
        self._tracer = self._provider.get_tracer('carawaylane')

    def start_span(self, name: str, parent: str) -> Span:
        """Return a started span below the given trace parent."""
        context = None
        if parent:
            context = _PROPAGATOR.extract({TRACEPARENT_HEADER: parent})
        return self._tracer.start_span(name, context=context)

    def close(self) -> None:
        """Send what is buffered."""
        self._provider.shutdown()


def traceparent_of(span: Span) -> str:
    """Return the trace parent to pass on to the next hop."""
    ctx = span.get_span_context()
    flags = f'{int(ctx.trace_flags):02x}'
    return f'00-{ctx.trace_id:032x}-{ctx.span_id:016x}-{flags}'
