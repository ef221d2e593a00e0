"""Forwards calls to plain services: safe calls may be retried, all others run at most once."""

from __future__ import annotations

import asyncio
import math

import msgspec
from multidict import CIMultiDict

from medlarvale.forwarding.answer_ends import still_serves
from medlarvale.forwarding.context import ForwardingContext, end_ms
from medlarvale.forwarding.errors import (
    BackendError,
    CrashingRequestError,
    LateAnswerError,
    NotSentError,
    OutcomeUnknownError,
    OverloadedError,
    RejectedError,
    RequestTimeoutError,
    UnprovenEndError,
)
from medlarvale.forwarding.events import read_answer
from medlarvale.forwarding.guarded_run import GuardedRun
from medlarvale.forwarding.messages import ClientRequest, Dispatch, Route, RouteKind
from medlarvale.forwarding.servers import ServerLoad
from medlarvale.http_bodies import BodyFraming
from medlarvale.ids import ServerId, ServiceName
from medlarvale.logs import Event, log_warning

# A server that is full completes a few calls in this time.
RETRY_AFTER_MS = 250
# Number of servers that could not be reached or rejected a call after which it is refused as not
# run.
MAX_NOT_RUN = 3
# After this share of the target latency, a server that has not answered is checked, and a safe call
# is also sent to another server.
HEDGE_SHARE = 0.8
# Time between further looks at whether such servers can be reached.
CHECK_PERIOD_MS = 200.0


class Reply(msgspec.Struct):
    """A complete answer of a backend server."""

    status: int
    headers: CIMultiDict[str]
    body: bytes
    server: ServerId


class PlainForwarder:
    """Forwards calls; answers are read completely before they are returned."""

    def __init__(self, context: ForwardingContext) -> None:
        self._context = context

    async def forward(self, request: ClientRequest, route: Route, service: ServiceName) -> Reply:
        """Returns the answer of a backend server.

        Raises:
            OverloadedError: the call has not run and will not.
            OutcomeUnknownError: the call may have run, but its answer is lost.
            RequestTimeoutError: the call timed out and may have run.
        """
        run = _PlainRun(self._context, request, route, service)
        try:
            return await run.run()
        finally:
            run.cancel()


class _PlainRun:
    """One call with its attempts."""

    def __init__(
        self, context: ForwardingContext, request: ClientRequest, route: Route, service: ServiceName
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        self._end_ms = end_ms(request, route)
        self._budget = context.budget(service)
        self._budget.record_request()
        self._guarded = GuardedRun(context.guard, context.clock, request, route, service)
        self._tried: set[ServerId] = set()
        self._sends = 0
        self._not_run = 0
        self._in_progress: dict[asyncio.Task[Reply], ServerLoad] = {}
        self._failed_reply: Reply | None = None
        # Whether the call has been sent to another server because of a slow answer.
        self._hedged = False

    def cancel(self) -> None:
        """Cancels the attempts in progress."""
        for task in self._in_progress:
            task.cancel()

    async def run(self) -> Reply:
        """Returns the first acceptable answer; see ``PlainForwarder.forward``."""
        while not self._start_attempt() and await self._wait_for_server():
            pass
        while self._in_progress:
            done = await self._wait()
            if not done and self._left_ms() <= 0:
                raise self._error(RequestTimeoutError("no answer within the route timeout"))
            if not done:
                self._check_servers()
                if self._is_retryable() and (not self._hedged or self._all_suspect()):
                    self._hedged = True
                    self._start_another()
            for task in done:
                reply = self._finish(task)
                if reply is not None:
                    return reply
        if self._failed_reply is not None:
            return self._failed_reply
        if self._left_ms() <= 0:
            raise self._error(RequestTimeoutError("no answer within the route timeout"))
        raise self._error(OutcomeUnknownError("the answer of the backend server was lost"))

    def _error(self, unknown: Exception) -> Exception:
        if self._request.possible_runs:
            return unknown
        wait_ms = self._context.servers.admission_wait_ms(
            self._service, self._context.clock.now_ms()
        )
        retry_after_ms = max(RETRY_AFTER_MS, int(wait_ms)) if wait_ms < math.inf else RETRY_AFTER_MS
        return OverloadedError("no backend server accepted the call", retry_after_ms=retry_after_ms)

    def _left_ms(self) -> float:
        return self._end_ms - self._context.clock.now_ms()

    def _is_retryable(self) -> bool:
        return self._route.kind is RouteKind.SAFE

    async def _wait(self) -> set[asyncio.Task[Reply]]:
        wait_ms = self._left_ms()
        elapsed_ms = self._context.clock.now_ms() - self._request.received_ms
        hedge_ms = HEDGE_SHARE * self._route.target_latency_ms - elapsed_ms
        wait_ms = min(wait_ms, hedge_ms if hedge_ms > 0 else CHECK_PERIOD_MS)
        done, _ = await asyncio.wait(
            self._in_progress,
            timeout=max(0.0, wait_ms) / 1000.0,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return done

    def _all_suspect(self) -> bool:
        """Returns whether none of the servers that have the call can be reached."""
        return all(load.suspect for load in self._in_progress.values())

    def _check_servers(self) -> None:
        """Asks for a check of the servers that have not answered yet."""
        for load in self._in_progress.values():
            self._context.servers.request_check(load, self._context.clock.now_ms())

    def _start_attempt(self) -> bool:
        """Sends the call to the least loaded untried server; returns False if there is none."""
        context = self._context
        try:
            self._guarded.check()
        except CrashingRequestError as error:
            log_warning(Event.ATTEMPT_FAILED, request=self._request.request_id, error=error.message)
            return False
        candidates = self._untried()
        if not candidates:
            return False
        load = context.servers.order_by_load(candidates)[0]
        self._tried.add(load.server.server)
        self._sends += 1
        load.in_flight += 1
        context.servers.limits.take(load.server)
        task = asyncio.get_running_loop().create_task(self._attempt(load))
        self._in_progress[task] = load
        return True

    def _untried(self) -> list[ServerLoad]:
        return self._context.servers.candidates(
            self._service, self._context.clock.now_ms(), excluded=self._tried
        )

    async def _wait_for_server(self) -> bool:
        """Waits for a server that may get the call soon; returns False if that is too late."""
        clock, servers = self._context.clock, self._context.servers
        wait_ms = servers.admission_wait_ms(self._service, clock.now_ms(), self._tried)
        if not 0.0 < wait_ms < min(self._left_ms(), self._longest_wait_ms()):
            return False
        await clock.sleep_ms(min(wait_ms, CHECK_PERIOD_MS))
        return True

    def _longest_wait_ms(self) -> float:
        """Returns the wait for a server after which the call would be refused instead."""
        target_ms, now_ms = self._route.target_latency_ms, self._context.clock.now_ms()
        longest_ms = target_ms - (now_ms - self._request.received_ms)
        if self._context.servers.asked_wait_ms(self._service, now_ms):
            # No server can serve the call earlier, but one may still do in the caller's time.
            return max(longest_ms, self._left_ms() - target_ms)
        return longest_ms

    def _start_another(self) -> bool:
        """Retries the call if the attempts, the time left and the retry budget permit."""
        return (
            self._sends < self._route.max_attempts
            and self._left_ms() > 0
            and bool(self._untried())
            and self._budget.spend_retry()
            and self._start_attempt()
        )

    async def _attempt(self, load: ServerLoad) -> Reply:
        try:
            answer = await self._context.backends.send(
                load.server, self._request, Dispatch(self._left_ms())
            )
            try:
                body = await read_answer(answer)
                if answer.framing is BodyFraming.CLOSE:
                    await self._check_end(load)
                reply = Reply(answer.status, answer.headers, body, load.server.server)
            finally:
                answer.close()
            if not answer.signed and answer.status < 300:
                raise BackendError("successful answer without a signature")
            return reply
        finally:
            load.in_flight -= 1

    async def _check_end(self, load: ServerLoad) -> None:
        """Raises UnprovenEndError if a server that has ended its connection is gone."""
        if not await still_serves(self._context.backends, load.server):
            raise UnprovenEndError("the server was gone after an answer without a length")

    def _finish(self, task: asyncio.Task[Reply]) -> Reply | None:
        """Returns the answer of a finished attempt, or None after trying to retry it."""
        load = self._in_progress.pop(task)
        error = task.exception()
        if error is None:
            return self._accept_or_retry(task.result(), load)
        if not isinstance(error, BackendError):
            raise error
        log_warning(
            Event.ATTEMPT_FAILED,
            request=self._request.request_id,
            server=load.server.server,
            attempt=self._sends,
            after_ms=int(self._context.clock.now_ms() - self._request.received_ms),
            error=str(error),
        )
        now_ms = self._context.clock.now_ms()
        if isinstance(error, NotSentError | RejectedError):
            # The call has not run there, so it does not count towards the maximum.
            self._sends -= 1
            self._not_run += 1
            if isinstance(error, NotSentError):
                self._context.servers.note_unreachable(load, now_ms, error.message)
                if self._not_run < MAX_NOT_RUN and self._left_ms() > 0:
                    self._start_attempt()
            elif self._not_run < MAX_NOT_RUN:
                self._start_another()
        elif isinstance(error, LateAnswerError):
            # The request's own time is over, which tells nothing about the server.
            load.note_answer(failed=True)
            self._context.servers.request_check(load, now_ms)
        else:
            load.note_answer(failed=True)
            self._guarded.note_broken(load.server)
            self._context.servers.note_failure(load, now_ms, error.message)
            if self._is_retryable():
                self._start_another()
        return None

    def _accept_or_retry(self, reply: Reply, load: ServerLoad) -> Reply | None:
        failed = reply.status >= 500
        self._guarded.note_clean()
        self._context.servers.note_success(load, self._context.clock.now_ms())
        load.note_answer(failed)
        if not failed or not self._is_retryable():
            return reply
        self._failed_reply = reply
        self._start_another()
        return None
