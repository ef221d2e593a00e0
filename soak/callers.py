"""Callers, who retry at any host, and take up their streams there when a connection breaks."""

from __future__ import annotations

import asyncio
import time
from http import HTTPStatus

import aiohttp

from medlarvale.ids import HostId, RequestId
from medlarvale.platform.headers import SIGNATURE
from scripts.forward_hosts import ForwardHost
from soak.fleet import Fleet
from soak.plan import AttemptPlan, ExchangePlan
from soak.records import (
    Attempt,
    AttemptEnd,
    Exchange,
    Route,
    SpoiledAnswerError,
    parse_event,
)

CONNECT_S = 1.0
# A caller gives a stream up after this time without an event.
SILENCE_S = 2.0
MIN_LEFT_MS = 300.0
REFUSALS = frozenset((408, 421, 429, 503))
# Longest wait that a refusal may ask for, as a share of the time left.
RETRY_AFTER_SHARE = 1.0 / 3.0


class Callers:
    """Callers of one run.

    Args:
        fleet: hosts that they call.
        name: prefix of the ids of their requests.
    """

    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name
        self._kept = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._new = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, force_close=True))
        self._count = 0
        self.exchanges: list[Exchange] = []

    async def close(self) -> None:
        """Closes all connections."""
        await self._kept.close()
        await self._new.close()

    async def exchange(self, plan: ExchangePlan) -> None:
        """Calls until the answer is complete, may not be asked for again or would be too late."""
        exchange = Exchange(plan.route, prompt=plan.prompt)
        self.exchanges.append(exchange)
        end_s = time.monotonic() + plan.deadline_ms / 1000.0
        for attempt_plan in plan.attempts:
            await asyncio.sleep(attempt_plan.wait_s * self._fleet.waits)
            left_ms = (end_s - time.monotonic()) * 1000.0 - attempt_plan.late_s * 1000.0
            if left_ms < MIN_LEFT_MS:
                return
            retry_after_s = await self._attempt(exchange, attempt_plan, end_s)
            if not _may_retry(exchange):
                return
            left_s = max(0.0, end_s - time.monotonic())
            await asyncio.sleep(min(retry_after_s, left_s * RETRY_AFTER_SHARE))

    async def _attempt(self, exchange: Exchange, plan: AttemptPlan, end_s: float) -> float:
        """Makes one attempt; returns the time in s to wait before the next."""
        stated_ms = (end_s - time.monotonic()) * 1000.0
        await asyncio.sleep(plan.late_s)
        host = self._fleet.choose_host(plan.host)
        attempt = self._new_attempt(exchange, host, (end_s - time.monotonic()) * 1000.0)
        headers = {
            "Host": "callers.example",
            "X-Request-Id": attempt.request,
            "X-Deadline-Ms": str(int(stated_ms)),
            "X-Token-Counts": "100,30",
        }
        if exchange.prompt is not None:
            # All prompts begin with the same part.
            headers["X-Prompt-Prefix"] = f"{0:08x}:40,{exchange.prompt + 1:08x}:60"
        if exchange.began_as is not None:
            headers |= {"Resumes": exchange.began_as, "Last-Event-Id": str(attempt.resume_after)}
        url = f"http://{self._fleet.front(host)}/{exchange.route.value}/1"
        timeout = aiohttp.ClientTimeout(
            total=max(0.1, end_s - time.monotonic()),
            sock_connect=CONNECT_S,
            sock_read=SILENCE_S if exchange.route is Route.CHAT else None,
        )
        session = self._kept if plan.kept else self._new
        retry_after_s = 0.0
        try:
            async with session.post(
                url, headers=headers, data=attempt.request.encode(), timeout=timeout
            ) as response:
                attempt.status = response.status
                retry_after_s = float(response.headers.get("Retry-After", "0"))
                attempt.end = await self._read(response, exchange, attempt, plan.read_events)
        except TimeoutError:
            in_time = time.monotonic() < end_s - MIN_LEFT_MS / 1000.0
            attempt.end = AttemptEnd.SILENT if in_time else AttemptEnd.OUT_OF_TIME
        except aiohttp.ClientError:
            attempt.end = AttemptEnd.CUT
        except SpoiledAnswerError as error:
            attempt.end, attempt.spoiled = AttemptEnd.FAILED, str(error)
        attempt.ended_at_s = self._fleet.now_s()
        if attempt.software is not None:
            attempt.serving = attempt.serving and self._fleet.serving(attempt.software)
        return retry_after_s

    def _new_attempt(self, exchange: Exchange, host: ForwardHost, left_ms: float) -> Attempt:
        self._count += 1
        attempt = Attempt(
            RequestId(f"{self._name}-{self._count}"),
            HostId(host.name),
            self._fleet.now_s(),
            left_ms,
        )
        if exchange.events:
            last = exchange.events[-1]
            attempt.resume_after, attempt.software = last.number, last.software
            attempt.serving = self._fleet.serving(last.software)
        exchange.attempts.append(attempt)
        return attempt

    async def _read(
        self,
        response: aiohttp.ClientResponse,
        exchange: Exchange,
        attempt: Attempt,
        read_events: int | None,
    ) -> AttemptEnd:
        if response.status != 200:
            return AttemptEnd.REFUSED if response.status in REFUSALS else AttemptEnd.FAILED
        if SIGNATURE not in response.headers:
            raise SpoiledAnswerError("no signature")
        if exchange.route is not Route.CHAT:
            body = await response.read()
            if body != b"ok:" + attempt.request.encode():
                raise SpoiledAnswerError(repr(body[:80]))
            return AttemptEnd.COMPLETE
        buffer = b""
        async for data in response.content.iter_any():
            *blocks, buffer = (buffer + data).split(b"\n\n")
            for block in blocks:
                attempt.events.append(parse_event(block))
                exchange.began_as = exchange.began_as or attempt.request
                if len(attempt.events) == read_events:
                    return AttemptEnd.LEFT
        if buffer:
            raise SpoiledAnswerError(f"complete after {buffer[:80]!r}")
        return AttemptEnd.COMPLETE


def _may_retry(exchange: Exchange) -> bool:
    """Returns whether a caller may send a request again: one that may run once, after a refusal."""
    end = exchange.attempts[-1].end
    if end is AttemptEnd.COMPLETE or exchange.attempts[-1].status == HTTPStatus.NOT_FOUND:
        return False
    return exchange.route is not Route.BOOK or end is AttemptEnd.REFUSED
