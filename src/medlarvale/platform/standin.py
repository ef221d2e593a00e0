"""Stand-in for the users' platform on loopback: store, plain servers and engines.

It implements the part of the published protocol that the forwarding path uses. The events of a
stream depend only on the id of the attempt that began it and on the engine's software version, so
that tests can check complete responses.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import socket
import time
from base64 import b64encode
from collections import Counter
from contextlib import AsyncExitStack
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.http import StreamWriter
from aiohttp.typedefs import Middleware
from multidict import CIMultiDictProxy

from medlarvale.forwarding.messages import DEFAULT_HEARTBEAT_MS
from medlarvale.http_bodies import BodyFraming
from medlarvale.ids import RequestId
from medlarvale.standins.serving import Address, serve

# Port 0 lets the operating system choose a port.
LOOPBACK = Address("127.0.0.1", 0)
EVENT_COUNT = 8
FIRST_SOFTWARE = "v1"
# Names the host in its calls to servers, which tests set.
SENDER = "Test-Sender"


def stream_body(
    request_id: str, first: int = 1, last: int = EVENT_COUNT, software: str = FIRST_SOFTWARE
) -> bytes:
    """Returns the encoded events ``first`` to ``last`` of a request's stream."""
    shown = request_id.encode("utf-8", "surrogateescape")
    return b"".join(
        b"id: %d\ndata: %s %d %s\n\n" % (number, shown, number, software.encode())
        for number in range(first, last + 1)
    )


class StandinStore:
    """Metadata store whose items can be read and watched; each change increments the revision."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 1
        self.down = False
        # Changes up to this revision are no longer available to watches.
        self.forgotten = 0
        self.address = ""
        self._changed = asyncio.Condition()

    def application(self, *middlewares: Middleware) -> web.Application:
        """Returns the HTTP application of the store.

        Args:
            middlewares: faults of its answers.
        """
        app = web.Application(middlewares=middlewares)
        app.router.add_get("/kv-range", self.read_range)
        app.router.add_get("/kv-watch", self.watch)
        return app

    async def set_down(self, down: bool) -> None:
        """Starts or ends an outage and wakes the waiting watches."""
        self.down = down
        async with self._changed:
            self._changed.notify_all()

    async def put(self, key: str, value: dict[str, Any]) -> None:
        """Writes an item."""
        await self.put_bytes(key, json.dumps(value).encode())

    async def put_bytes(self, key: str, data: bytes) -> None:
        """Writes an item with any value."""
        self.revision += 1
        self.items[key] = (data, self.revision)
        self.history.append(self._item(key))
        async with self._changed:
            self._changed.notify_all()

    async def delete(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.items.pop(key, None)
        self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})
        async with self._changed:
            self._changed.notify_all()

    def _item(self, key: str) -> dict[str, Any]:
        data, revision = self.items[key]
        return {"Key": key, "Value": b64encode(data).decode(), "Revision": revision, "Lease": 0}

    async def read_range(self, request: web.Request) -> web.Response:
        """Returns all items."""
        if self.down:
            return web.Response(status=503)
        items = [self._item(key) for key in sorted(self.items)]
        return web.json_response({"items": items, "HasMore": False, "CurrentRev": self.revision})

    async def watch(self, request: web.Request) -> web.Response:
        """Waits for changes after a revision and returns them, or none after the wait time."""
        after = int(request.query["after"])
        if after < self.forgotten and not self.down:
            return web.Response(status=410)

        def events() -> list[dict[str, Any]]:
            return [event for event in self.history if event["Revision"] > after]

        if not events() and not self.down:
            try:
                async with asyncio.timeout(int(request.query["WaitMs"]) / 1000.0), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                pass
        if self.down:
            return web.Response(status=503)
        return web.json_response({"events": events(), "CurrentRev": self.revision})


class Arrival(msgspec.Struct):
    """A request that reached a server, with its id.

    Attributes:
        server: name of the server.
        at_s: when it arrived, on the clock of the loop as all times of it.
        read_prompt: whether it only had its prompt read.
        work_s: how long its run lasts unless something ends it; 0 if it does not run.
        ended_s: when the server was done with it.
    """

    server: str
    service: str
    request: RequestId
    at_s: float
    read_prompt: bool = False
    work_s: float = 0.0
    ended_s: float = math.inf


# Key of the arrival of a request that a stream answers.
ARRIVAL = "arrival"


class StandinServer:
    """Backend server: an engine if ``stage`` is set, otherwise a plain server.

    Attributes:
        runs: ids of the requests that started to run.
        cancelled: ids of the requests whose stream was cancelled.
        break_after: number of events after which the next stream is reset; None for no reset.
        framing: what marks the end of its answers to requests; only CHUNKED and CLOSE.
        stops_in_time: whether a stream ends, with its last chunk, at the deadline of its request.
        end_after: number of events after which the connection of the next stream ends in order, as
            that of a process that is killed; None if it doesn't.
        delay_s: duration of a plain call, or time between two events of a stream.
        event_count: number of events of a stream.
        slots: number of concurrent runs in its entry.
        full: whether it refuses all reservations.
        limit: limit in the answers; None to name none.
        says_leaving: whether all its answers say that it is leaving.
        close_every: each answer of this number ends its connection; None for no such answer.
        software: version of its software.
        born_ms: Unix time of its start in ms.
        cached: tokens of the prompt parts in its KV cache, by id.
        arrived: times in s at which requests arrived, on the clock of the loop.
        arrivals: all that arrived with an id, also if it was rejected as meant for another server.
        retry_after: time for which it turns away what it gets and wants nothing; None to accept it.
        turns_holds_away: whether ``retry_after`` is for reservations too.
        calls: time and sender of all that it got, and whether it asked for no more.
        heads: path and headers of all that it got.
    """

    def __init__(
        self,
        name: str,
        service: str,
        stage: str | None,
        domain: str = "a",
        software: str = FIRST_SOFTWARE,
    ) -> None:
        self.name, self.service, self.stage, self.domain = name, service, stage, domain
        self.software = software
        self.born_ms = time.time_ns() // 1_000_000
        self.cached: dict[str, int] = {}
        self.state = "ready"
        self.runs: list[str] = []
        self.cancelled: list[str] = []
        self.prefills = 0
        self.holds: set[str] = set()
        self.handles: set[str] = set()
        self.break_after: int | None = None
        self.framing = BodyFraming.CHUNKED
        self.end_after: int | None = None
        self.stops_in_time = False
        self.delay_s = 0.0
        self._silent_since_s, self._silent_s = math.inf, 0.0
        self.event_count = EVENT_COUNT
        self.slots = 8
        self.full = False
        self.limit: str | None = None
        self.says_leaving = False
        self.retry_after: str | None = None
        self.turns_holds_away = True
        self.calls: list[tuple[float, str, bool]] = []
        self.heads: list[tuple[str, CIMultiDictProxy[str]]] = []
        self.close_every: int | None = None
        self._answers = 0
        self.arrived: list[float] = []
        self.arrivals: list[Arrival] = []
        self.address = ""
        self._numbers = itertools.count(1)
        self.servers_by_address: dict[str, StandinServer] = {}

    def application(self) -> web.Application:
        """Returns the HTTP application of the server."""
        app = web.Application()
        app.router.add_post("/hold-take", self._acquire_hold)
        app.router.add_get("/report", self._report)
        app.router.add_get("/kv-list", self._list_cached)
        app.router.add_delete("/hold-drop/{hold}", self._release_hold)
        app.router.add_delete("/kv-handle/{handle}", self._release_handle)
        app.router.add_route("*", "/{path:.*}", self._serve)
        app.on_response_prepare.append(self._mark_answer)
        return app

    async def _mark_answer(self, request: web.Request, response: web.StreamResponse) -> None:
        self._answers += 1
        self.heads.append((request.path, request.headers))
        asks = response.status == 503 and "Retry-After" in response.headers
        now_s = asyncio.get_running_loop().time()
        self.calls.append((now_s, request.headers.get(SENDER, ""), asks))
        if self.says_leaving:
            response.headers["Server-Leaving"] = "1"
        if self.framing is BodyFraming.CLOSE and "X-Response-Signature" in response.headers:
            self._end_with_connection(response)
        if self.close_every is not None and self._answers % self.close_every == 0:
            response.force_close()
            response.headers["Connection"] = "close"

    def _end_with_connection(self, response: web.StreamResponse) -> None:
        """Takes length and chunks from a response whose head has not been written yet."""
        writer = response._payload_writer
        assert isinstance(writer, StreamWriter)
        writer.chunked, writer.length = False, None
        response.headers.popall("Transfer-Encoding", None)
        response.headers.popall("Content-Length", None)
        response.headers["Connection"] = "close"
        response.force_close()

    def start_anew(self) -> None:
        """Forgets what a process that has ended held."""
        self.born_ms = time.time_ns() // 1_000_000
        self._silent_since_s, self._silent_s = math.inf, 0.0
        self.holds.clear()
        self.handles.clear()
        self.cached.clear()

    def stop_heartbeats(self) -> None:
        """Counts no heartbeats from now on."""
        self._silent_since_s = time.time()

    def resume_heartbeats(self) -> None:
        """Counts heartbeats again, without those missed meanwhile."""
        if self._silent_since_s < math.inf:
            self._silent_s += time.time() - self._silent_since_s
            self._silent_since_s = math.inf

    def entry(self, heartbeat_s: float) -> dict[str, Any]:
        """Returns the server's entry in the store.

        Args:
            heartbeat_s: time between two heartbeats that it counts.
        """
        counted_until_s = min(time.time(), self._silent_since_s) - self._silent_s
        age_s = counted_until_s - self.born_ms / 1000.0
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.domain,
            "Version": self.software,
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Sequence": 1 + int(max(0.0, age_s) / heartbeat_s),
            "born": self.born_ms,
        }
        return entry | ({"Stage": self.stage} if self.stage else {})

    def _turn_away(self, retry_after: str) -> web.Response:
        return web.Response(status=503, headers={"X-Not-Executed": "1", "Retry-After": retry_after})

    async def _acquire_hold(self, request: web.Request) -> web.Response:
        if self.retry_after is not None and self.turns_holds_away:
            return self._turn_away(self.retry_after)
        if self.full:
            return web.Response(status=503)
        hold = f"hold-{next(self._numbers)}"
        self.holds.add(hold)
        return web.json_response({"Hold": hold})

    async def _report(self, request: web.Request) -> web.Response:
        if request.headers.get("X-Expected-Instance") != self.name:
            return web.Response(status=421, headers={"X-Instance-Id": self.name})
        return web.json_response(
            {
                "Stage": self.stage,
                "Busy": False,
                "Sequence": 0,
                "Queued": 0,
                "Running": 0,
                "KvUsed": 0,
                "KvTotal": 0,
                "born": self.born_ms,
            }
        )

    async def _list_cached(self, request: web.Request) -> web.Response:
        held = [["", part, tokens, "m"] for part, tokens in self.cached.items()]
        return web.json_response({"epoch": 1, "Next": 0, "held": held})

    async def _release_hold(self, request: web.Request) -> web.Response:
        self.holds.discard(request.match_info["hold"])
        return web.Response()

    async def _release_handle(self, request: web.Request) -> web.Response:
        self.handles.discard(request.match_info["handle"])
        return web.Response()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        loop, request_id = asyncio.get_running_loop(), request.headers.get("X-Request-Id")
        arrival = Arrival(self.name, self.service, RequestId(request_id or ""), loop.time())
        if request_id is not None:
            self.arrivals.append(arrival)
        try:
            return await self._serve_arrival(request, request_id, arrival)
        finally:
            arrival.ended_s = loop.time()

    async def _serve_arrival(
        self, request: web.Request, request_id: str | None, arrival: Arrival
    ) -> web.StreamResponse:
        if request.headers.get("X-Expected-Instance") != self.name:
            return web.Response(status=421, headers={"X-Instance-Id": self.name})
        if request_id is None:
            return web.Response(status=400, headers={"X-Not-Executed": "1"})
        self.arrived.append(arrival.at_s)
        if self.retry_after is not None:
            return self._turn_away(self.retry_after)
        if self.stage is None:
            arrival.work_s = self.delay_s
            return await self._plain(request, request_id)
        if request.headers.get("X-Serving-Stage") == "prefill":
            arrival.read_prompt = True
            return await self._prefill()
        if self.stage != "decode":
            return web.Response(status=421)
        request[ARRIVAL] = arrival
        return await self._decode(request, request_id)

    async def _plain(self, request: web.Request, request_id: str) -> web.Response:
        self.runs.append(request_id)
        await asyncio.sleep(self.delay_s)
        body = await request.read()
        return web.Response(body=b"ok:" + body, headers=self._signed(request_id))

    def _signed(self, request_id: str) -> dict[str, str]:
        signed = {"X-Request-Id": request_id, "X-Response-Signature": f"{self.name}.{request_id}"}
        return signed | self._limited()

    def _limited(self) -> dict[str, str]:
        return {} if self.limit is None else {"Server-Limit": self.limit}

    async def _prefill(self) -> web.Response:
        self.prefills += 1
        handle = f"kv-{self.name}-{next(self._numbers)}"
        self.handles.add(handle)
        return web.json_response(
            {"KvHandle": handle, "Tokens": 10, "Version": 1}, headers=self._limited()
        )

    async def _decode(self, request: web.Request, request_id: str) -> web.StreamResponse:
        source = request.headers.get("X-Kv-Source", "")
        address, _, handle = source.partition("/")
        if source:
            peer = self.servers_by_address.get(address)
            if peer is None or handle not in peer.handles:
                return web.Response(status=503, headers={"X-Not-Executed": "1"})
            peer.handles.discard(handle)
        self.holds.discard(request.headers.get("X-Kv-Hold", ""))
        self.runs.append(request_id)
        part, _, tokens = (
            request.headers.get("X-Prompt-Prefix", "").rpartition(",")[2].partition(":")
        )
        if part:
            self.cached[part] = int(tokens)
        began_as = request.headers.get("Resumes", request_id)
        last = request.headers.get("Last-Event-Id", "")
        first = 1 + (int(last) if last.isascii() and last.isdigit() and len(last) < 20 else 0)
        request[ARRIVAL].work_s = self.delay_s * (self.event_count + 1 - first)
        response = web.StreamResponse(
            headers=self._signed(request_id) | {"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        cut_after, self.break_after = self.break_after, None
        end_after, self.end_after = self.end_after, None
        limit_s = math.inf
        if self.stops_in_time:
            limit_s = time.monotonic() + int(request.headers["X-Deadline-Ms"]) / 1000.0
        try:
            for number in range(first, self.event_count + 1):
                if end_after is not None and number > end_after:
                    assert request.transport is not None
                    request.transport.close()
                    break
                if cut_after is not None and number > cut_after:
                    await response.write(self._event(began_as, number)[:9])
                    assert request.transport is not None
                    request.transport.abort()
                    break
                await response.write(self._event(began_as, number))
                left_s = limit_s - time.monotonic()
                await asyncio.sleep(max(0.0, min(self.delay_s, left_s)))
                if left_s < self.delay_s:
                    break
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        return response

    def _event(self, request_id: str, number: int) -> bytes:
        return stream_body(request_id, number, number, self.software)


class StandinPlatform:
    """Store and backend servers of a plain service ``app`` and a model service ``llm``.

    Attributes:
        timeout_ms: timeout of all routes.
        target_latency_ms: target latency of all routes.
        resumable: whether streams may be resumed.
        max_attempts: most servers on which a request may run.
        workspaces: workspaces of the configuration, as the store lists them.
        public_routes: names of the routes that need no API key.
        heartbeat_s: time between two heartbeats of a server, which its entry counts without being
            published for them. A host whose parameters name none assumes the default.
    """

    def __init__(self) -> None:
        self.resumable, self.max_attempts = True, 2
        self.timeout_ms = 3_000
        self.target_latency_ms = 500
        self.workspaces: list[dict[str, Any]] = []
        self.public_routes: frozenset[str] = frozenset()
        self.heartbeat_s = DEFAULT_HEARTBEAT_MS / 1000.0
        self.store = StandinStore()
        self._stack = AsyncExitStack()
        self._stacks: dict[str, AsyncExitStack] = {}
        self._bound: dict[str, Address] = {}
        self._by_address: dict[str, StandinServer] = {}
        self.servers = {
            name: StandinServer(name, service, stage)
            for name, service, stage in (
                ("s1", "app", None),
                ("s2", "app", None),
                ("p1", "llm", "prefill"),
                ("d1", "llm", "decode"),
                ("d2", "llm", "decode"),
            )
        }

    @property
    def address(self) -> str:
        """Address of the store."""
        return self.store.address

    async def start(self, *middlewares: Middleware) -> None:
        """Starts the store and the servers, and publishes the servers in the store.

        Args:
            middlewares: faults of the store's answers.
        """
        store = self.store.application(*middlewares)
        bound = await self._stack.enter_async_context(serve(store, LOOPBACK))
        self.store.address = str(bound)
        for server in self.servers.values():
            await self._start_server(server)

    async def _start_server(self, server: StandinServer) -> None:
        self._stacks[server.name] = await self._stack.enter_async_context(AsyncExitStack())
        self._bound[server.name] = await self._listen(server, LOOPBACK)
        server.address = str(self._bound[server.name])
        server.servers_by_address = self._by_address
        self._by_address[server.address] = server
        await self.publish(server)

    async def _listen(self, server: StandinServer, address: Address) -> Address:
        stack = self._stacks[server.name]
        return await stack.enter_async_context(serve(server.application(), address))

    async def release(self, name: str, service: str, stage: str | None, software: str) -> None:
        """Adds a server with another software version."""
        await self.add(StandinServer(name, service, stage, software=software))

    async def add(self, server: StandinServer) -> None:
        """Starts a server and publishes it in the store."""
        self.servers[server.name] = server
        await self._start_server(server)

    async def kill(self, name: str) -> None:
        """Stops a server without notice; its connections end in order, as the system ends them."""
        await self._stacks[name].aclose()
        # Until it starts again, its port refuses connections and nobody else gets it.
        kept = self._stacks[name].enter_context(socket.socket())
        kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        kept.bind((self._bound[name].host, self._bound[name].port))

    async def restart(self, name: str) -> None:
        """Starts a server that was killed at its address, as another process under its name."""
        server = self.servers[name]
        server.start_anew()
        await self._stacks[name].aclose()
        await self._listen(server, self._bound[name])
        if name in self.servers:
            await self.publish(server)

    async def drain(self, name: str) -> None:
        """Announces that a server leaves."""
        self.servers[name].state = "draining"
        await self.publish(self.servers[name])

    async def remove(self, name: str) -> None:
        """Removes a server that has left."""
        del self.servers[name]
        await self.store.delete(f"servers/{name}")

    def runs(self) -> Counter[str]:
        """Returns how many times each request ran."""
        return Counter(run for server in self.servers.values() for run in server.runs)

    async def publish(self, server: StandinServer) -> None:
        """Writes the current entry of a server to the store."""
        await self.store.put(f"servers/{server.name}", server.entry(self.heartbeat_s))

    async def close(self) -> None:
        """Stops the store and the servers."""
        await self.store.set_down(True)
        await self._stack.aclose()

    async def configure(self, version: int, **routes: str) -> None:
        """Publishes a configuration.

        Args:
            routes: ``name="kind service"`` for a route at ``/name/``.
        """
        decoded_routes = []
        for name, text in routes.items():
            kind, service = text.split()
            decoded_routes.append(
                {
                    "Name": name,
                    "Host": "callers.example",
                    "PathPrefix": f"/{name}/",
                    "Kind": kind,
                    "TimeoutMs": self.timeout_ms,
                    "TargetLatencyMs": self.target_latency_ms,
                    "Service": service,
                    "MaxAttempts": self.max_attempts,
                    "Resumable": self.resumable,
                    "Public": name in self.public_routes,
                }
            )
        engine = {"Slots": 8, "KvTokenCapacity": 60000, "KvHoldS": 0.5, "HoldMs": 2000.0}
        await self.store.put(
            "op/config",
            {
                "Version": version,
                "Routes": decoded_routes,
                "Tenants": self.workspaces,
                "Services": [
                    {"Name": "llm", "MaxConns": 360, "Engine": engine},
                    {"Name": "app", "MaxConns": 100},
                ],
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 1000,
                    "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000,
                },
            },
        )
