"""Stand-ins for the platform's store and for workers, which follow PROTOCOL.md.

They run in the process of a case's script. Every request that arrives at a worker is recorded with
its time, so that a case judges only what clients, workers and the platform can see.
"""

from __future__ import annotations

import asyncio
import base64
import json
import math
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from aiohttp import web

MAX_PAGE_ITEMS = 500


class Record:
    """Collects what happened, and writes it at the end.

    Args:
        path: the file; it is overwritten.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the time since the start of the script."""
        return time.monotonic() - self._start_s

    def note(self, text: str) -> None:
        """Adds a line with the time."""
        self._lines.append(f"{self.now_s():8.3f} {text}")

    def write(self) -> None:
        """Writes the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Store:
    """The platform's metadata store: items, pages and watches; it loses nothing.

    Attributes:
        cut_watches_on_delete: whether watches that wait are cut when a key is deleted, before
            they have answered.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._waiting: dict[int, asyncio.BaseTransport] = {}
        self.cut_watches_on_delete = False

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_get("/kv-key", self._key)
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        return app

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Writes an item; the return is the acknowledgement."""
        self._revision += 1
        created = self._items.get(key, {}).get("Created", self._revision)
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._items[key] = {
            "Key": key,
            "Value": text,
            "Revision": self._revision,
            "Created": created,
            "Lease": 0,
        }
        self._publish(dict(self._items[key]))

    def delete(self, key: str) -> None:
        """Removes an item; the return is the acknowledgement."""
        self._revision += 1
        self._items.pop(key, None)
        if self.cut_watches_on_delete:
            for transport in self._waiting.values():
                transport.close()
        self._publish({"Key": key, "Revision": self._revision, "Deleted": True})

    def _publish(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _key(self, request: web.Request) -> web.Response:
        item = self._items.get(request.query["Key"])
        if item is None:
            return web.json_response({"CurrentRev": self._revision}, status=404)
        return web.json_response(item | {"CurrentRev": self._revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query.get("PathPrefix", ""), request.query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        page = [self._items[key] for key in keys[:MAX_PAGE_ITEMS]]
        more = len(keys) > MAX_PAGE_ITEMS
        return web.json_response({"items": page, "HasMore": more, "CurrentRev": self._revision})

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query.get("PathPrefix", ""), int(request.query["after"])

        def events() -> list[dict[str, Any]]:
            return [
                event
                for event in self._history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]

        if not events():
            if request.transport is not None:
                self._waiting[id(request)] = request.transport
            try:
                async with asyncio.timeout(int(request.query["WaitMs"]) / 1000.0):
                    await self._changed.wait()
            except TimeoutError:
                pass
            finally:
                self._waiting.pop(id(request), None)
        return web.json_response({"events": events(), "CurrentRev": self._revision})


class Worker:
    """A worker: a plain one, or an engine if ``stage`` is set.

    Attributes:
        runs: ids of the requests that began to run here, in order.
        arrivals: time and id of each request that arrived, rejected ones too.
        orders: time, holder, fence and status of each order that arrived.
        on_run: called when a request begins to run.

    Args:
        record: gets a line for each event.
        now_s: time of the script.
        store: gets the entry.
        workers: all workers by address, for the transfer of memory between engines.
    """

    step_ms = 200.0
    events = 7
    prefill_tokens_per_ms = 55.0
    report_lag_s = 0.9
    switch_s = 6.0
    handle_s = 0.5
    capacity_tokens = 59_496
    work_s = 0.06

    def __init__(
        self,
        record: Record,
        store: Store,
        workers: dict[str, Worker],
        service: str,
        zone: str,
        stage: str | None = None,
        slots: int = 6,
    ) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.service, self.zone, self.stage, self.slots = service, zone, stage, slots
        self.address = ""
        self.state = "ready"
        self.runs: list[str] = []
        self.arrivals: list[tuple[float, str]] = []
        self.orders: list[tuple[float, str, int, int]] = []
        self.on_run: Callable[[Worker, web.Request], None] = lambda worker, request: None
        self._record, self._store, self._workers = record, store, workers
        self._sequence = 0
        self._beats = 0
        self._highest_fence = -1
        self._busy = False
        self._running = 0
        self._used_tokens = 0
        self._holds: dict[str, tuple[int, float]] = {}
        self._handles: dict[str, float] = {}
        self._cached: dict[str, int] = {}
        self._prefilling = asyncio.Lock()
        # Set while no request runs.
        self._idle = asyncio.Event()
        self._idle.set()
        self._switching: asyncio.Task[None] | None = None
        self._born_ms = time.time_ns() // 1_000_000
        # Time and values of each change of what is reported.
        self._reports = [(-math.inf, self._snapshot())]

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=1 << 23)
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._order)
        app.router.add_post("/hold-take", self._hold_take)
        app.router.add_delete("/hold-drop/{hold}", self._hold_drop)
        app.router.add_delete("/kv-handle/{handle}", self._handle_drop)
        app.router.add_get("/kv-list", self._kv_list)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    def publish(self) -> None:
        """Writes the entry to the store."""
        self._beats += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Sequence": self._beats,
            "born": self._born_ms,
        }
        if self.stage is not None:
            models = [{"Name": "m", "Version": 1, "Adapters": []}]
            entry |= {"Stage": self.stage, "Models": models}
        self._store.put(f"servers/{self.id}", entry)

    def leave(self) -> None:
        """Reports that the worker leaves; it goes on with what runs there."""
        self.state = "draining"
        self.publish()
        self._record.note(f"{self.id} is draining")

    def _now_s(self) -> float:
        return self._record.now_s()

    def _is_other(self, request: web.Request) -> web.Response | None:
        expected = request.headers.get("X-Expected-Instance", self.id)
        if expected == self.id:
            return None
        return web.Response(status=421, headers={"X-Instance-Id": self.id})

    def _snapshot(self) -> dict[str, Any]:
        return {
            "Stage": self.stage,
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Busy": self._busy,
            "Sequence": self._sequence,
            "Queued": 0,
            "Running": self._running,
            "KvUsed": self._used_tokens,
            "KvTotal": self.capacity_tokens,
            "KvHandles": len(self._handles),
        }

    async def _report(self, request: web.Request) -> web.Response:
        other = self._is_other(request)
        if other is not None:
            return other
        # The values are as of some hundred ms ago.
        seen_s = self._now_s() - self.report_lag_s
        known = [values for at_s, values in self._reports if at_s <= seen_s]
        return web.json_response(known[-1])

    def _note_change(self) -> None:
        self._reports.append((self._now_s(), self._snapshot()))

    async def _order(self, request: web.Request) -> web.Response:
        other = self._is_other(request)
        if other is not None:
            return other
        order = await request.json()
        holder, fence = order.get("Holder"), order.get("Fence")
        status = self._decide_order(order)
        self.orders.append((self._now_s(), str(holder), int(fence or 0), status))
        self._record.note(f"order at {self.id}: {json.dumps(order)} -> {status}")
        return web.Response(status=status)

    def _decide_order(self, order: dict[str, Any]) -> int:
        fence = order.get("Fence")
        if order.get("Op") != "Stage" or not order.get("Holder") or fence is None:
            return 400
        if fence < self._highest_fence:
            return 412
        self._highest_fence = fence
        if self._busy or order.get("Precondition", self._sequence) != self._sequence:
            return 409
        if order["Stage"] == self.stage:
            return 200
        self._note_change()
        self._busy = True
        self._sequence += 1
        self._note_change()
        self._switching = asyncio.get_running_loop().create_task(self._switch(order["Stage"]))
        return 202

    async def _switch(self, stage: str) -> None:
        await self._idle.wait()
        await asyncio.sleep(self.switch_s)
        self.stage, self._busy = stage, False
        self._cached.clear()
        self._note_change()
        self.publish()

    def _free_tokens(self) -> int:
        now_s = self._now_s()
        self._holds = {hold: held for hold, held in self._holds.items() if held[1] > now_s}
        return self.capacity_tokens - self._used_tokens - sum(t for t, _ in self._holds.values())

    async def _hold_take(self, request: web.Request) -> web.Response:
        wanted = await request.json()
        taken = self._running + len(self._holds) >= self.slots
        if taken or wanted["Tokens"] > self._free_tokens():
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        hold = secrets.token_hex(8)
        self._holds[hold] = (wanted["Tokens"], self._now_s() + wanted["TtlMs"] / 1000.0)
        return web.json_response({"Hold": hold})

    async def _hold_drop(self, request: web.Request) -> web.Response:
        self._holds.pop(request.match_info["hold"], None)
        return web.Response()

    async def _handle_drop(self, request: web.Request) -> web.Response:
        self._handles.pop(request.match_info["handle"], None)
        return web.Response()

    async def _kv_list(self, request: web.Request) -> web.Response:
        held = [["", part, tokens, "m"] for part, tokens in self._cached.items()]
        return web.json_response({"epoch": 1, "Next": 1, "held": held})

    def _rejected(self, request_id: str, status: int = 503) -> web.Response:
        headers = {"X-Not-Executed": "1", "X-Request-Id": request_id}
        return web.Response(status=status, headers=headers)

    def _signed(self, request_id: str) -> dict[str, str]:
        return {"X-Request-Id": request_id, "X-Response-Signature": f"{self.id}.{request_id}"}

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        self.arrivals.append((self._now_s(), request_id))
        other = self._is_other(request)
        if other is not None:
            return other
        if not request_id:
            return self._rejected("", 400)
        if self.stage is None:
            return await self._run_plain(request, request_id)
        if self._busy:
            return self._rejected(request_id)
        if request.headers.get("X-Serving-Stage") == "prefill":
            return await self._prefill(request)
        if self.stage != "decode":
            return web.Response(status=421, headers=self._rejected(request_id).headers)
        return await self._decode(request, request_id)

    def _begin_run(self) -> None:
        self._running += 1
        self._idle.clear()

    def _end_run(self) -> None:
        self._running -= 1
        if not self._running:
            self._idle.set()

    def _note_run(self, request: web.Request, request_id: str) -> None:
        self.runs.append(request_id)
        left_ms = request.headers.get("X-Deadline-Ms")
        self._record.note(f"run {request_id} at {self.id}, deadline {left_ms} ms")
        self.on_run(self, request)

    async def _run_plain(self, request: web.Request, request_id: str) -> web.StreamResponse:
        body = await request.read()
        if self._running >= self.slots + 24:
            return self._rejected(request_id)
        self._begin_run()
        try:
            self._note_run(request, request_id)
            await asyncio.sleep(self.work_s)
        finally:
            self._end_run()
        return web.Response(body=b"ok:" + body, headers=self._signed(request_id))

    async def _prefill(self, request: web.Request) -> web.Response:
        tokens = int(request.headers["X-Token-Counts"].partition(",")[0])
        async with self._prefilling:
            await asyncio.sleep(tokens / self.prefill_tokens_per_ms / 1000.0)
        handle = secrets.token_hex(6)
        self._handles[handle] = self._now_s() + self.handle_s
        return web.json_response({"KvHandle": handle, "Tokens": tokens, "Version": 1})

    def _take_handle(self, source: str) -> bool:
        address, _, handle = source.partition("/")
        peer = self._workers.get(address)
        return peer is not None and peer._handles.pop(handle, 0.0) > self._now_s()

    async def _decode(self, request: web.Request, request_id: str) -> web.StreamResponse:
        prompt, _, output = request.headers["X-Token-Counts"].partition(",")
        tokens = int(prompt) + int(output)
        self._holds.pop(request.headers.get("X-Kv-Hold", ""), None)
        source = request.headers.get("X-Kv-Source")
        if source is not None and not self._take_handle(source):
            return self._rejected(request_id)
        if self._running >= self.slots or tokens > self._free_tokens():
            return self._rejected(request_id)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        self._begin_run()
        self._used_tokens += tokens
        try:
            if source is None:
                await asyncio.sleep(2.0 * int(prompt) / self.prefill_tokens_per_ms / 1000.0)
            self._note_run(request, request_id)
            part, _, part_tokens = (
                request.headers.get("X-Prompt-Prefix", "").rpartition(",")[2].partition(":")
            )
            if part:
                self._cached[part] = int(part_tokens)
            headers = self._signed(request_id) | {"Content-Type": "text/event-stream"}
            response = web.StreamResponse(headers=headers | {"X-Weight-Versions": "1"})
            await response.prepare(request)
            for number in range(first, self.events + 1):
                await response.write(b"id: %d\ndata: %s\n\n" % (number, request_id.encode()))
                await asyncio.sleep(self.step_ms / 1000.0)
            return response
        finally:
            self._end_run()
            self._used_tokens -= tokens
