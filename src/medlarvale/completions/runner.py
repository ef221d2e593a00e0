"""Runs model requests and keeps those that are under way."""

from __future__ import annotations

import asyncio

from opentelemetry.context import Context
from opentelemetry.trace import Span

from medlarvale.completions.accounting import LatencyTargets
from medlarvale.completions.dependencies import RequestPathDependencies
from medlarvale.completions.errors import (
    CallerGoneError,
    DeadlineBeforeStartError,
    DeadlineExceededError,
)
from medlarvale.completions.request import Completion, ModelRequest, TokenSink
from medlarvale.completions.request_run import RequestRun
from medlarvale.completions.watchdog import deadline
from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.ids import AttemptNumber, FailureDomain, RequestId, ServiceName
from medlarvale.logs import Event, log_warning
from medlarvale.tracing import TRACEPARENT, child_context, context_from, open_span


class CompletionRunner:
    """The model request path of one host."""

    def __init__(self, parts: RequestPathDependencies) -> None:
        self._parts = parts
        self._runs: dict[RequestId, tuple[ServiceName, RequestRun]] = {}

    async def run(self, request: ModelRequest, sink: TokenSink) -> Completion:
        """Runs a request and hands its tokens to ``sink``, each once and in order.

        Cancelling the call cancels the request at every engine of its attempt.

        Raises:
            MedlarvaleError: the answer is not whole; the error's outcome says what is true.
        """
        attributes: dict[str, str | int] = {
            "request_id": request.request_id,
            "service": request.service,
            "workspace": request.workspace,
            "prompt_tokens": len(request.prompt_tokens),
        }
        parent = context_from({TRACEPARENT: request.traceparent})
        with open_span(self._parts.tracer, "caller request", parent, attributes) as span:
            return await self._run(request, sink, child_context(span), span)

    def running(self, service: ServiceName) -> list[RequestId]:
        """Returns the requests of a service whose reservations have to be renewed."""
        return [request for request, (of, _) in self._runs.items() if of == service]

    def is_running(self, request_id: RequestId, attempt: AttemptNumber) -> bool:
        """Tells whether an attempt is the current one of a request under way.

        The booker's sweep asks this before it cancels a request that seems idle.
        """
        found = self._runs.get(request_id)
        return found is not None and found[1].attempt.number == attempt

    def count(self) -> int:
        """Returns the number of requests under way."""
        return len(self._runs)

    async def drain(self) -> None:
        """Waits for the cancels that follow requests which have ended."""
        await self._parts.cleanup.drain()

    async def _run(
        self, request: ModelRequest, sink: TokenSink, parent: Context, span: Span
    ) -> Completion:
        run = RequestRun(self._parts, request, sink, parent)

        def late() -> MedlarvaleError:
            return DeadlineExceededError() if run.dispatched else DeadlineBeforeStartError()

        self._runs[request.request_id] = (request.service, run)
        code, outcome = "", Outcome.ANSWERED
        try:
            async with deadline(self._parts.clock, request.deadline_ms, late):
                return await run.drive()
        except asyncio.CancelledError:
            code, outcome = CallerGoneError.code, CallerGoneError.outcome
            raise
        except MedlarvaleError as error:
            code, outcome = error.code, error.outcome
            run.account.waited_for = getattr(error, "waited_for", [])
            event = Event.REQUEST_REFUSED if outcome is Outcome.NOT_RUN else Event.REQUEST_FAILED
            log_warning(event, request_id=request.request_id, code=code)
            raise
        except Exception:
            code, outcome = MedlarvaleError.code, MedlarvaleError.outcome
            raise
        finally:
            del self._runs[request.request_id]
            span.set_attributes(
                {"output_tokens": len(run.sequence.tokens), "code": code, "outcome": outcome.value}
            )
            self._parts.observer.request_finished(
                run.account.report(
                    request_id=request.request_id,
                    service=request.service,
                    workspace=request.workspace,
                    failure_domain=self._domain(run),
                    outcome=outcome,
                    code=code,
                    prompt_tokens=len(request.prompt_tokens),
                    output_tokens=len(run.sequence.tokens),
                    now_ms=self._parts.clock.now_ms(),
                    targets=LatencyTargets(
                        self._parts.value("ttft_target_ms", request.service),
                        self._parts.value("tbt_target_ms", request.service),
                    ),
                )
            )

    def _domain(self, run: RequestRun) -> FailureDomain:
        server = run.attempt.decode
        engine = self._parts.directory.get(server) if server is not None else None
        return engine.failure_domain if engine is not None else self._parts.failure_domain
