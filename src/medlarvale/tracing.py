"""Traces with one span for each hop of a request and no spans for single tokens."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio
from opentelemetry.trace import Span, StatusCode, Tracer, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

DEFAULT_RING_SPANS = 2_000
TRACEPARENT = "traceparent"

_PROPAGATOR = TraceContextTextMapPropagator()


class SpanRing(SpanProcessor):
    """Keeps the newest finished spans for the operators' port; ending a span costs one append.

    Args:
        capacity: number of spans kept.
    """

    def __init__(self, capacity: int = DEFAULT_RING_SPANS) -> None:
        self._spans: deque[ReadableSpan] = deque(maxlen=capacity)

    def on_end(self, span: ReadableSpan) -> None:
        """Keeps a finished span; drops the oldest one if the ring is full."""
        self._spans.append(span)

    def spans(self) -> list[ReadableSpan]:
        """Returns the kept spans, oldest first."""
        return list(self._spans)


class JsonLinesExporter(SpanExporter):
    """Appends each span as one line of JSON to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Writes a batch; called in the thread of the batch processor."""
        self._file.write("".join(f"{span.to_json(indent=None)}\n" for span in spans))
        self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        self._file.close()


class Tracing:
    """The tracer of one host and the processors of its spans.

    Args:
        host: name of the host, an attribute of every span.
        ring_spans: number of spans kept in memory.
        path: file to which finished spans are appended as JSON lines, or None.
        sample_ratio: share of traces recorded for callers without a valid traceparent; with one,
            its sampled flag decides.
    """

    def __init__(
        self,
        host: str,
        *,
        ring_spans: int = DEFAULT_RING_SPANS,
        path: Path | None = None,
        sample_ratio: float = 1.0,
    ) -> None:
        self.ring = SpanRing(ring_spans)
        self._provider = TracerProvider(
            sampler=ParentBasedTraceIdRatio(sample_ratio),
            resource=Resource({"service.name": "medlarvale", "host.name": host}),
            shutdown_on_exit=False,
        )
        self._provider.add_span_processor(self.ring)
        if path is not None:
            self._provider.add_span_processor(BatchSpanProcessor(JsonLinesExporter(path)))
        self.tracer = self._provider.get_tracer("medlarvale")

    def shutdown(self) -> None:
        """Exports the remaining spans and closes the exporters."""
        self._provider.shutdown()


def span_as_json(span: ReadableSpan) -> dict[str, object]:
    """Returns a span in the JSON form that the operators' port serves."""
    result: dict[str, object] = json.loads(span.to_json(indent=None))
    return result


def context_from(headers: Mapping[str, str]) -> Context:
    """Returns the caller's trace context, empty if traceparent is missing or malformed."""
    value = headers.get(TRACEPARENT)
    carrier = {TRACEPARENT: value} if value else {}
    return _PROPAGATOR.extract(carrier, context=Context())


def traceparent_of(span: Span) -> str:
    """Returns the traceparent header that makes ``span`` the parent of the next hop."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, context=set_span_in_context(span, Context()))
    return carrier.get(TRACEPARENT, "")


@contextmanager
def open_span(
    tracer: Tracer, name: str, parent: Context, attributes: Mapping[str, str | int] | None = None
) -> Iterator[Span]:
    """Runs a block in a span; an exception marks the span as failed and is re-raised.

    The span does not become the current span of the task: parents are passed explicitly, because
    several tasks work on one request.
    """
    span = tracer.start_span(name, context=parent, attributes=attributes)
    try:
        yield span
    except BaseException as error:
        span.set_status(StatusCode.ERROR, f"{type(error).__name__}: {error}")
        raise
    finally:
        span.end()


def child_context(span: Span) -> Context:
    """Returns the context for child spans of ``span``."""
    return set_span_in_context(span, Context())
