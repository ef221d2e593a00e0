"""Tests that the engine client follows the protocol and reports each kind of engine failure."""

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable

from aiohttp import web

from medlarvale.completions import engine_client, errors
from medlarvale.ids import AttemptNumber, RequestId, ServerId
from medlarvale.membership.servers import BackendServer
from medlarvale.settings.schema import PoolRole
from tests.completions.fakes import MODEL_SERVICE, OWNER, server

R1, FIRST = RequestId("r1"), AttemptNumber(1)
CONTEXT = engine_client.CallContext(OWNER, R1, FIRST, "00-aa-bb-01")
PREFILL = engine_client.PrefillCall(R1, FIRST, [1, 2], [3], "live", "slidsk")
RESERVE = engine_client.ReserveCall(R1, FIRST, 2, 2_000)
IMPORT = engine_client.ImportCall(R1, FIRST, "http://p1", "h")
DECODE = engine_client.DecodeCall(R1, FIRST, 1, 9)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class EngineClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handler: Handler
        self.seen: list[tuple[str, dict[str, str], dict[str, object]]] = []
        self.arrived, self.closed = asyncio.Event(), asyncio.Event()
        app = web.Application()
        app.router.add_post("/v1/{call}", self._handle)
        self.runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = self.runner.addresses[0][1]
        self.engine = server("d1", PoolRole.DECODE, MODEL_SERVICE, f"http://127.0.0.1:{port}")
        self.session = engine_client.new_engine_session()
        self.client = engine_client.HttpEngineClient(self.session)

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.runner.cleanup()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self.seen.append((request.path, dict(request.headers), await request.json()))
        self.arrived.set()
        return await self.handler(request)

    async def _call(self, name: str, engine: BackendServer) -> object:
        if name == "prefill":
            return await self.client.prefill(engine, CONTEXT, PREFILL)
        if name == "reserve":
            return await self.client.reserve(engine, CONTEXT, RESERVE)
        if name == "import":
            return await self.client.import_kv(engine, CONTEXT, IMPORT, ServerId("p1"))
        async with self.client.decode(engine, CONTEXT, DECODE) as stream:
            chunks = []
            while read := await stream.read():
                chunks += read
            return chunks

    async def test_chunks_are_read_whole_when_tcp_splits_the_stream(self) -> None:
        """Guards against chunks that are lost or truncated where TCP splits the stream."""
        lines = b"".join(
            json.dumps({"i": i, "tokens": [i, i + 1], "done": i == 5}).encode() + b"\n"
            for i in (1, 3, 5)
        )
        for step in (1, 7, len(lines)):
            with self.subTest(step=step):

                async def stream(request: web.Request, step: int = step) -> web.StreamResponse:
                    response = web.StreamResponse()
                    await response.prepare(request)
                    for start in range(0, len(lines), step):
                        await response.write(lines[start : start + step])
                    return response

                self.handler = stream
                chunks = await self._call("decode", self.engine)
                expected = [
                    engine_client.Chunk(1, [1, 2]),
                    engine_client.Chunk(3, [3, 4]),
                    engine_client.Chunk(5, [5, 6], True),
                ]
                self.assertEqual(chunks, expected)
        path, headers, body = self.seen[0]
        self.assertEqual(path, "/v1/decode")
        self.assertEqual((headers["X-Owner"], headers["X-Attempt"]), ("entry-1/7", "1"))
        self.assertEqual(headers["traceparent"], "00-aa-bb-01")
        self.assertEqual(body, {"request_id": "r1", "attempt": 1, "position": 1, "max_tokens": 9})

    async def test_failure_raises_the_error_of_the_failed_engine(self) -> None:
        """Guards against errors that name the wrong engine, and against unexpected exceptions."""

        def answer(status: int, body: bytes) -> Handler:
            async def handler(_: web.Request) -> web.StreamResponse:
                return web.Response(status=status, body=body)

            return handler

        async def hang_up(request: web.Request) -> web.StreamResponse:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        full = answer(409, b'{"error": {"code": "engine_full"}}')
        flat_full = answer(409, b'{"error": "engine_full"}')
        deep = b'{"future":' + b"[" * 20_000 + b"]" * 20_000 + b"}"
        table: list[tuple[str, Handler, type[errors.EngineFaultError]]] = [
            ("reserve", answer(409, deep), errors.EngineRefusedError),
            ("prefill", answer(200, deep), errors.EngineProtocolError),
            ("decode", answer(200, deep + b"\n"), errors.EngineProtocolError),
            ("reserve", full, errors.EngineFullError),
            ("reserve", flat_full, errors.EngineFullError),
            ("reserve", answer(409, b"{}"), errors.EngineRefusedError),
            ("prefill", answer(500, b"<html>"), errors.EngineRefusedError),
            ("prefill", answer(200, b'{"kv_handle": 1}'), errors.EngineProtocolError),
            ("prefill", hang_up, errors.EngineLostError),
            ("import", answer(502, b""), errors.TransferFailedError),
            ("import", hang_up, errors.EngineLostError),
            ("decode", answer(200, b'{"i": "x"}\n'), errors.EngineProtocolError),
            ("decode", answer(200, b'{"i": 1, "tok'), errors.EngineLostError),
            ("decode", hang_up, errors.EngineLostError),
        ]
        for name, handler, kind in table:
            with self.subTest(name=name, kind=kind.code):
                self.handler = handler
                with self.assertRaises(kind) as caught:
                    await self._call(name, self.engine)
                self.assertIs(type(caught.exception), kind)
                source = "p1" if kind is errors.TransferFailedError else "d1"
                self.assertEqual(caught.exception.server, source)
        unreachable = server("d2", PoolRole.DECODE, MODEL_SERVICE, "http://127.0.0.1:1")
        with self.assertRaises(errors.EngineUnreachableError):
            await self._call("prefill", unreachable)

    async def test_abandoned_call_closes_its_connection(self) -> None:
        """Guards against engine memory that abandoned calls and streams keep occupied.

        Leaving a stream or cancelling a call must close the connection, which makes the engine
        free the memory.
        """

        async def endless(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(b'{"i":1,"tokens":[1]}\n')
            try:
                await asyncio.Event().wait()
            finally:
                self.closed.set()
            return response

        self.handler = endless
        async with self.client.decode(self.engine, CONTEXT, DECODE) as stream:
            await stream.read()
        await asyncio.wait_for(self.closed.wait(), 5)
        self.closed.clear()
        self.arrived.clear()
        task = asyncio.ensure_future(self._call("prefill", self.engine))
        await asyncio.wait_for(self.arrived.wait(), 5)
        task.cancel()
        await asyncio.wait_for(self.closed.wait(), 5)
