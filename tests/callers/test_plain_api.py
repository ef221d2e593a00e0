"""Tests of calls to plain services and of their retry policy."""

import asyncio

import msgspec

from medlarvale.callers.plain_api import allowed_repeat
from medlarvale.plain.errors import PlainTimeoutError
from medlarvale.plain.messages import PlainAnswer, PlainCall
from medlarvale.settings.schema import Repeat
from tests.callers.support import CallerTestCase
from tests.completions.fakes import TREE

KEY = {"Idempotency-Key": "0197-key"}


class PlainApiTest(CallerTestCase):
    async def send(self, method: str, path: str, **options: object) -> tuple[int, str, str]:
        """Sends a call; returns status, error code and outcome."""
        url = f"{self.url}/services/udlaan-app{path}"
        async with self.session.request(method, url, **options) as answer:  # type: ignore[arg-type]
            body = await answer.json() if answer.status >= 400 else {"error": {"code": ""}}
            return answer.status, body["error"]["code"], answer.headers["X-Outcome"]

    async def test_only_lookups_are_sent_as_repeatable_calls(self) -> None:
        """Guards against a booking that is dispatched as a repeatable call."""
        policy = TREE.retry_policies["lookups"]
        table = [
            ("GET", "/stock/7", Repeat.FREELY),
            ("POST", "/stock/search", Repeat.FREELY),
            ("POST", "/stock", Repeat.AT_MOST_ONCE),
            ("DELETE", "/stock/7", Repeat.AT_MOST_ONCE),
            ("GET", "/reservations", Repeat.AT_MOST_ONCE),
        ]
        for method, path, repeat in table:
            with self.subTest(method=method, path=path):
                self.assertIs(allowed_repeat(policy, method, path), repeat)
                self.assertIs(allowed_repeat(None, method, path), Repeat.AT_MOST_ONCE)
                if repeat is Repeat.AT_MOST_ONCE:
                    answer = await self.send(method, path)
                    self.assertEqual(answer, (400, "idempotency_key_missing", "not_run"))
                answer = await self.send(method, path, headers=KEY)
                self.assertEqual(answer, (201, "", "answered"))
        self.assertEqual((len(self.plain.idempotent_calls), len(self.plain.booked)), (2, 3))

    async def test_private_headers_are_not_forwarded(self) -> None:
        """Guards against API keys and hop-by-hop headers that reach backend servers."""
        headers = {"Connection": "x-hop", "X-Hop": "1", "X-Own": "2", "X-Deadline-Ms": "700"}
        url = f"{self.url}/services/udlaan-app/stock/a%20b?q=1"
        async with self.session.get(url, headers=headers) as answer:
            self.assertEqual(await answer.read(), b"done")
            self.assertEqual(answer.headers.getall("Set-Cookie"), ["a=1", "b=2"])
        call = self.plain.idempotent_calls[0]
        self.assertEqual(msgspec.msgpack.decode(msgspec.msgpack.encode(call), type=PlainCall), call)
        names = {name.lower() for name, _ in call.headers}
        self.assertEqual((call.path, call.deadline_ms), ("/stock/a%20b?q=1", 700))
        self.assertLessEqual({"x-own", "x-workspace", "traceparent", "x-request-id"}, names)
        self.assertFalse({"x-hop", "connection", "x-deadline-ms", "host"} & names)

    async def test_booking_finishes_after_disconnect(self) -> None:
        """Guards against a booking that is aborted because its caller disconnected."""
        self.plain.release = asyncio.Event()
        task = asyncio.ensure_future(self.send("POST", "/reservations", headers=KEY))
        await asyncio.wait_for(self.plain.started.wait(), 5)
        task.cancel()
        async with asyncio.timeout(5):
            while not self.path.observer.reports:  # noqa: ASYNC110 - the fake has no event
                await asyncio.sleep(0.001)
        self.assertEqual(self.path.observer.reports[0].code, "caller_gone")
        self.plain.release.set()
        await self.server.cleanup()
        self.assertEqual(self.plain.finished_bookings, ["0197-key"])

    async def test_errors_keep_their_outcome(self) -> None:
        """Guards against an error reported to the caller with a different outcome."""
        for error, expected in [
            (PlainTimeoutError(), (504, "plain_timeout", "unknown")),
            (RuntimeError("x"), (500, "internal_error", "unknown")),
        ]:
            self.plain.error = error
            self.assertEqual(await self.send("GET", "/stock"), expected)
            self.assertEqual(self.path.observer.reports[-1].code, expected[1])

    async def test_an_impossible_status_reaches_no_caller(self) -> None:
        """Guards against the answer of a server that a peer of an earlier build has accepted."""
        for status in (0, 99, 101, 600, 999):
            with self.subTest(status):
                self.plain.answer = PlainAnswer(status, [], b"done")
                answer = await self.send("GET", "/stock")
                self.assertEqual(answer, (502, "plain_outcome_unknown", "unknown"))
