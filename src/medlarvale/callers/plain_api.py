"""The endpoint for calls to plain services."""

from __future__ import annotations

import asyncio

from aiohttp import web

from medlarvale.callers.dependencies import REQUEST_ID, CallerDependencies
from medlarvale.callers.error_body import OUTCOME_HEADER, REQUEST_ID_HEADER
from medlarvale.callers.errors import IdempotencyKeyMissingError
from medlarvale.callers.validation import (
    check_forwarded_headers,
    deadline_ms,
    idempotency_key,
    read_body,
    service_path,
)
from medlarvale.callers.workspaces import WORKSPACE_HEADER
from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.http_bodies import FINAL_STATUSES
from medlarvale.ids import BookingKey, ServiceName, WorkspaceId
from medlarvale.operators.reports import RequestReport
from medlarvale.plain.client import end_to_end_headers
from medlarvale.plain.errors import PlainOutcomeUnknownError
from medlarvale.plain.messages import PlainAnswer, PlainCall
from medlarvale.settings.schema import Repeat, RetryPolicy, ServiceDeclaration
from medlarvale.tracing import TRACEPARENT, context_from, open_span, traceparent_of

# Headers that are meant for the entry host or set by it.
UNFORWARDED_HEADERS = frozenset(
    {
        "authorization",
        TRACEPARENT,
        WORKSPACE_HEADER.lower(),
        REQUEST_ID_HEADER.lower(),
        "x-deadline-ms",
        "x-priority",
        "expect",
    }
)


def allowed_repeat(policy: RetryPolicy | None, method: str, path: str) -> Repeat:
    """Returns whether a call may be repeated, by the first rule of the policy that matches.

    Args:
        path: decoded path below the service, without the query.
    """
    for rule in policy.rules if policy is not None else []:
        if (not rule.methods or method in rule.methods) and path.startswith(rule.path_prefix):
            return rule.repeat
    return Repeat.AT_MOST_ONCE


class PlainApi:
    """Handler of ``/services/{service}/{path}``."""

    def __init__(self, deps: CallerDependencies) -> None:
        self._deps = deps
        self._bookings: set[asyncio.Task[PlainAnswer]] = set()

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Forwards a call to a backend server and returns its response."""
        deps = self._deps
        workspace = deps.workspaces.workspace_of(request)
        name = request.match_info["service"]
        declaration = deps.workspaces.plain_service(workspace, name)
        service = ServiceName(name)
        check_forwarded_headers(request)
        target, path = service_path(request.raw_path, name)
        repeat = allowed_repeat(self._policy(declaration), request.method, path)
        key = idempotency_key(request)
        if repeat is Repeat.AT_MOST_ONCE and key is None:
            raise IdempotencyKeyMissingError(
                "this call may run at most once and needs an Idempotency-Key",
            )
        limit_ms = deadline_ms(request, deps.value("request_deadline_ms", service))
        max_bytes = deps.value("max_body_bytes", service)
        body = await read_body(request, max_bytes, deps.clock, deps.uploads)
        attributes = {"request_id": request[REQUEST_ID], "service": name, "workspace": workspace}
        parent = context_from(request.headers)
        with open_span(deps.tracer, "caller request", parent, attributes) as span:
            call = PlainCall(
                service=service,
                workspace=workspace,
                method=request.method,
                path=target,
                headers=_forwarded_headers(request, workspace, traceparent_of(span)),
                body=body,
                deadline_ms=limit_ms,
            )
            answer = await self._dispatch(
                request, call, key if repeat is not Repeat.FREELY else None
            )
        headers = end_to_end_headers(answer.headers)
        own_headers = {OUTCOME_HEADER.lower(), REQUEST_ID_HEADER.lower()}
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers=[pair for pair in headers if pair[0].lower() not in own_headers]
            + [
                (OUTCOME_HEADER, Outcome.ANSWERED.value),
                (REQUEST_ID_HEADER, request[REQUEST_ID]),
            ],
        )

    async def drain(self) -> None:
        """Waits for the bookings whose callers have disconnected."""
        while self._bookings:
            await asyncio.gather(*self._bookings, return_exceptions=True)

    def _policy(self, declaration: ServiceDeclaration) -> RetryPolicy | None:
        name = declaration.retry_policy
        return self._deps.settings.tree().retry_policies.get(name) if name else None

    async def _dispatch(
        self, request: web.Request, call: PlainCall, key: str | None
    ) -> PlainAnswer:
        """Runs a call, at most once if it has a key, and reports its outcome."""
        started_ms = self._deps.clock.now_ms()
        code, outcome, status = "", Outcome.ANSWERED, 0
        try:
            if key is None:
                answer = await self._deps.dispatcher.dispatch_idempotent(call)
            else:
                answer = await self._submit_booking(BookingKey(key), call)
            if answer.status not in FINAL_STATUSES:
                # Hosts that run an earlier build pass on what a server sends.
                raise PlainOutcomeUnknownError(f"a response with status {answer.status:03}")
            status = answer.status
            return answer
        except MedlarvaleError as error:
            code, outcome = error.code, error.outcome
            raise
        except BaseException as error:
            gone = isinstance(error, asyncio.CancelledError)
            code, outcome = "caller_gone" if gone else MedlarvaleError.code, Outcome.UNKNOWN
            raise
        finally:
            self._report(request, call, started_ms, code, outcome, status)

    async def _submit_booking(self, key: BookingKey, call: PlainCall) -> PlainAnswer:
        """Submits a booking, which continues if the caller disconnects, because the caller may
        request its verdict later with the same key."""
        task = asyncio.ensure_future(self._deps.bookings.submit(key, call))
        self._bookings.add(task)
        task.add_done_callback(self._discard_booking)
        return await asyncio.shield(task)

    def _discard_booking(self, task: asyncio.Task[PlainAnswer]) -> None:
        self._bookings.discard(task)
        if not task.cancelled():
            # If the caller has disconnected, asyncio would log the exception as never retrieved.
            task.exception()

    def _report(
        self,
        request: web.Request,
        call: PlainCall,
        started_ms: float,
        code: str,
        outcome: Outcome,
        status: int,
    ) -> None:
        total_ms = self._deps.clock.now_ms() - started_ms
        target_ms = self._deps.value("ttft_target_ms", call.service)
        self._deps.observer.request_finished(
            RequestReport(
                request_id=request[REQUEST_ID],
                service=call.service,
                workspace=call.workspace,
                failure_domain=self._deps.failure_domain,
                outcome=outcome,
                code=code,
                within_targets=not code and status < 500 and total_ms <= target_ms,
                ttft_ms=total_ms,
                total_ms=total_ms,
            )
        )


def _forwarded_headers(
    request: web.Request, workspace: WorkspaceId, traceparent: str
) -> list[tuple[str, str]]:
    headers = [
        pair
        for pair in end_to_end_headers(request.headers.items())
        if pair[0].lower() not in UNFORWARDED_HEADERS
    ]
    headers.append((WORKSPACE_HEADER, workspace))
    headers.append((REQUEST_ID_HEADER, request[REQUEST_ID]))
    if traceparent:
        headers.append((TRACEPARENT, traceparent))
    return headers
