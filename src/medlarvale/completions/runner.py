"""Runs model requests and tracks those in progress."""

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
    """Runs the model requests of one host."""

    def __init__(self, deps: RequestPathDependencies) -> None:
        self._deps = deps
        self._runs: dict[RequestId, tuple[ServiceName, RequestRun]] = {}

    async def run(self, request: ModelRequest, sink: TokenSink) -> Completion:
        """Runs a request and delivers its tokens to ``sink``, each once and in order.

        Cancelling the call cancels the request at every engine of its current attempt.

        Raises:
            MedlarvaleError: the answer is incomplete; see the outcome of the error.
        """
        attributes: dict[str, str | int] = {
            "request_id": request.request_id,
            "service": request.service,
            "workspace": request.workspace,
            "prompt_tokens": len(request.prompt_tokens),
        }
        parent = context_from({TRACEPARENT: request.traceparent})
        with open_span(self._deps.tracer, "caller request", parent, attributes) as span:
            return await self._run(request, sink, child_context(span), span)

    def running(self, service: ServiceName) -> list[RequestId]:
        """Returns the requests of a service whose reservations have to be renewed."""
        return [
            request for request, (run_service, _) in self._runs.items() if run_service == service
        ]

    def is_running(self, request_id: RequestId, attempt: AttemptNumber) -> bool:
        """Returns whether an attempt is the current one of a request in progress.

        The placement scheduler's sweep checks this before it cancels a request that seems idle.
        """
        found = self._runs.get(request_id)
        return found is not None and found[1].attempt.number == attempt

    def count(self) -> int:
        """Returns the number of requests in progress."""
        return len(self._runs)

    async def drain(self) -> None:
        """Waits for the pending cancellations of ended requests."""
        await self._deps.cleanup.drain()

    async def _run(
        self, request: ModelRequest, sink: TokenSink, parent: Context, span: Span
    ) -> Completion:
        run = RequestRun(self._deps, request, sink, parent)

        def make_deadline_error() -> MedlarvaleError:
            return DeadlineExceededError() if run.dispatched else DeadlineBeforeStartError()

        self._runs[request.request_id] = (request.service, run)
        code, outcome = "", Outcome.ANSWERED
        try:
            async with deadline(self._deps.clock, request.deadline_ms, make_deadline_error):
                return await run.execute()
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
            self._deps.observer.request_finished(
                run.account.report(
                    request_id=request.request_id,
                    service=request.service,
                    workspace=request.workspace,
                    failure_domain=self._failure_domain(run),
                    outcome=outcome,
                    code=code,
                    prompt_tokens=len(request.prompt_tokens),
                    output_tokens=len(run.sequence.tokens),
                    now_ms=self._deps.clock.now_ms(),
                    targets=LatencyTargets(
                        self._deps.value("ttft_target_ms", request.service),
                        self._deps.value("tbt_target_ms", request.service),
                    ),
                )
            )

    def _failure_domain(self, run: RequestRun) -> FailureDomain:
        server = run.attempt.decode
        engine = self._deps.directory.get(server) if server is not None else None
        return engine.failure_domain if engine is not None else self._deps.failure_domain
