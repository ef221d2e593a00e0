"""Each path on which this program reads responses of servers, as a call to one address."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
from multidict import CIMultiDict

from medlarvale.clock import SystemClock
from medlarvale.completions import engine_client
from medlarvale.completions.errors import EngineFaultError
from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.forwarding.errors import (
    BackendError,
    NotSentError,
    PublishedStateError,
    RejectedError,
)
from medlarvale.forwarding.messages import Dispatch, EngineStage
from medlarvale.forwarding.peer_sender import HttpPeerSender
from medlarvale.ids import AttemptNumber, RequestId
from medlarvale.membership.servers import ServerDirectory
from medlarvale.plain.client import PlainClient, new_plain_session
from medlarvale.platform.backends import HttpBackends
from medlarvale.platform.connections import BackendConnection, new_session
from medlarvale.platform.store import PlatformStore
from medlarvale.settings.schema import PoolRole
from medlarvale.tracing import Tracing
from tests.completions.fakes import (
    DOMAIN,
    MODEL_SERVICE,
    OWNER,
    PLAIN_SERVICE,
    REGION,
    FakeGuard,
    FakeSettings,
    server,
)
from tests.forwarding.fakes import make_request
from tests.plain.test_client import call as plain_call
from tests.platform.test_backends import server_at

LEFT_MS = 10_000.0
CONTEXT = engine_client.CallContext(OWNER, RequestId("r1"), AttemptNumber(1), "")
# Headers of a successful response on each path. Only responses to requests carry an id.
HEADERS = b"X-Response-Signature: s\r\nMedlarvale-Relayed: server\r\n"
REQUEST_ID = b"X-Request-Id: q1\r\n"
PREFILLED = engine_client.Prefilled("k1", 1, 0, 1.0, 5)
# Fits each call, so that only the framing or the status can show that an answer is broken.
BODY = (
    b'{"Hold":"h1","KvHandle":"k1","held":[],"Stage":"decode","Busy":false,"Sequence":1,'
    b'"Queued":0,"Running":0,"KvUsed":0,"KvTotal":9,"transfer_ms":1.0,'
    + (msgspec.json.encode(PREFILLED)[1:])
)


class Path(NamedTuple):
    """A call.

    Attributes:
        run: makes the call to a port with a body, if it carries one, and returns what it got.
        uploads: whether the size of its body can be chosen.
        request_id: header with the id of its request, if it has one.
    """

    run: Callable[[int, bytes], Awaitable[object]]
    uploads: bool
    request_id: bytes = b""


def may_have_run(error: Exception) -> bool:
    """Returns whether an error reports a failure after which the call may have run."""
    if isinstance(error, BackendError):
        return not isinstance(error, NotSentError | RejectedError)
    if isinstance(error, MedlarvaleError):
        return error.outcome is Outcome.UNKNOWN and error.http_status == 502
    return False


class ResponsePathsTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        requests, calls = new_session(), new_session(BackendConnection)
        engines, plain = engine_client.new_engine_session(), new_plain_session()
        for session in (requests, calls, engines, plain):
            self.addAsyncCleanup(session.close)
        self.backends = HttpBackends(requests, calls)
        self.calls = calls
        self.sender = HttpPeerSender()
        self.addAsyncCleanup(self.sender.close)
        self.engines = engine_client.HttpEngineClient(engines)
        self.directory = ServerDirectory()
        self.plain = PlainClient(
            session=plain,
            directory=self.directory,
            settings=FakeSettings(),
            region=REGION,
            failure_domain=DOMAIN,
            guard=FakeGuard(),
            clock=SystemClock(),
            tracer=Tracing("entry-1").tracer,
        )
        self.paths: dict[str, Path] = {
            "plain call": Path(self.send, True, REQUEST_ID),
            "stream": Path(self.stream, True, REQUEST_ID),
            "prefill": Path(self.prefill, True, REQUEST_ID),
            "hold": Path(
                lambda port, _: self.backends.acquire_hold(server_at(port), 9, 9.0), False
            ),
            "report": Path(lambda port, _: self.backends.report(server_at(port)), False),
            "cache list": Path(lambda port, _: self.backends.cached_parts(server_at(port)), False),
            "order": Path(self.order, False),
            "instance": Path(
                lambda port, _: self.backends.is_same_instance(self.engine(port)), False
            ),
            "relay": Path(self.relay, True),
            "product's booking": Path(self.book, True),
            "product's lookup": Path(self.look_up, True),
            "product's prefill": Path(self.engine_prefill, True),
            "product's reservation": Path(self.reserve, False),
            "product's stream": Path(self.decode, False),
            "store": Path(self.read_store, False),
        }

    def engine(self, port: int) -> Any:
        return msgspec.structs.replace(server_at(port), stage=EngineStage.DECODE)

    def request(self, body: bytes) -> Any:
        return make_request(body=body, headers=CIMultiDict({"X-Request-Id": "q1"}))

    async def send(self, port: int, body: bytes) -> bytes:
        request = self.request(body)
        try:
            answer = await self.backends.send(server_at(port), request, Dispatch(LEFT_MS))
            return await answer.read()
        except BackendError:
            # A call that may not be repeated is only known to be unsent if this is 0.
            self.assertEqual(request.possible_runs, 1)
            raise

    async def stream(self, port: int, body: bytes) -> bytes:
        answer = await self.backends.send(server_at(port), self.request(body), Dispatch(LEFT_MS))
        try:
            return b"".join([chunk async for chunk in answer.chunks()])
        finally:
            answer.close()

    async def prefill(self, port: int, body: bytes) -> object:
        return await self.backends.prefill(server_at(port), self.request(body), LEFT_MS)

    async def order(self, port: int, _: bytes) -> object:
        return await self.backends.order_stage(server_at(port), EngineStage.DECODE, "a1", 1, 0)

    async def relay(self, port: int, body: bytes) -> bytes:
        request = self.request(b"")
        try:
            answer = await self.sender.send(f"127.0.0.1:{port}", body, LEFT_MS, request)
            return await answer.read()
        except BackendError:
            self.assertEqual(request.possible_runs, 1)
            raise

    def use_plain(self, port: int) -> None:
        address = f"http://127.0.0.1:{port}"
        self.directory.replace([server("s1", PoolRole.PLAIN, PLAIN_SERVICE, address)])

    async def book(self, port: int, body: bytes) -> object:
        self.use_plain(port)
        return await self.plain.dispatch_once(msgspec.structs.replace(plain_call(), body=body))

    async def look_up(self, port: int, body: bytes) -> object:
        self.use_plain(port)
        call = msgspec.structs.replace(plain_call(), body=body)
        return await self.plain.dispatch_idempotent(call)

    def product_engine(self, port: int) -> Any:
        return server("d1", PoolRole.DECODE, MODEL_SERVICE, f"http://127.0.0.1:{port}")

    async def engine_prefill(self, port: int, body: bytes) -> object:
        tokens = [7] * (len(body) // 2)
        call = engine_client.PrefillCall(RequestId("r1"), AttemptNumber(1), tokens, [], "live", "m")
        return await self.engines.prefill(self.product_engine(port), CONTEXT, call)

    async def reserve(self, port: int, _: bytes) -> object:
        call = engine_client.ReserveCall(RequestId("r1"), AttemptNumber(1), 2, 2_000)
        return await self.engines.reserve(self.product_engine(port), CONTEXT, call)

    async def decode(self, port: int, _: bytes) -> object:
        call = engine_client.DecodeCall(RequestId("r1"), AttemptNumber(1), 1, 9)
        async with self.engines.decode(self.product_engine(port), CONTEXT, call) as stream:
            return await stream.read()

    async def read_store(self, port: int, _: bytes) -> object:
        try:
            return await PlatformStore(self.calls, f"127.0.0.1:{port}").read()
        except PublishedStateError as error:
            raise BackendError(str(error)) from error

    async def fails(self, path: Path, port: int, body: bytes) -> str | None:
        """Returns None if a call fails as one that may have run, or else what it did."""
        try:
            async with asyncio.timeout(LEFT_MS / 1000.0):
                return f"took it for an answer: {await path.run(port, body)!r}"
        except TimeoutError:
            return "did not end"
        except (MedlarvaleError, EngineFaultError) as error:
            return None if may_have_run(error) else f"reported {error!r}"
