"""Guards against final responses with an impossible status, which reached callers as answers."""

from __future__ import annotations

from unittest import mock

from tests.forwarding.test_cut_answers import PARSERS
from tests.platform.response_paths import BODY, HEADERS, ResponsePathsTestCase
from tests.platform.test_backends import RawServer

# Another operator's caller got a response with status 000 from a failing server.
STATUSES = ("000", "001", "099", "600", "999")
# Not requested, so that nothing says what follows on the connection.
SWITCHES = {
    "101": b"",
    "101 with an upgrade": b"Connection: upgrade\r\nUpgrade: websocket\r\n",
}
# Only a response with a valid status may promise that a request has not run.
REFUSAL = b"X-Not-Executed: 1\r\nMedlarvale-Relayed: not_run\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % len(BODY)


class InvalidStatusesTest(ResponsePathsTestCase):
    async def check(self, head: bytes, rest: bytes, name: str) -> None:
        for parser, kind in PARSERS.items():
            with mock.patch("aiohttp.client_proto.HttpResponseParser", kind):
                for path_name, path in self.paths.items():
                    sent = head + path.request_id + rest + LENGTH + BODY
                    raw_server = RawServer(sent, sent)
                    server = await raw_server.start()
                    self.addCleanup(raw_server.server.close)
                    with self.subTest(name, parser=parser, path=path_name):
                        port = int(server.address.rpartition(":")[2])
                        self.assertIsNone(await self.fails(path, port, b""))
                        # A call that may have run is not repeated.
                        self.assertEqual(len(raw_server.heads), 1)

    async def test_a_final_status_outside_200_to_599_is_a_broken_response(self) -> None:
        for status in STATUSES:
            head = b"HTTP/1.1 " + status.encode() + b" Status\r\n"
            await self.check(head, HEADERS, status)

    async def test_a_broken_response_promises_nothing(self) -> None:
        """Guards against a booking that is repeated because a broken response says "not run"."""
        for status in STATUSES:
            head = b"HTTP/1.1 " + status.encode() + b" Status\r\n"
            await self.check(head, REFUSAL, f"{status}, not run")

    async def test_an_unsolicited_101_is_a_broken_response(self) -> None:
        for name, upgrade in SWITCHES.items():
            head = b"HTTP/1.1 101 Switching Protocols\r\n"
            await self.check(head, HEADERS + upgrade, name)

    async def test_an_invalid_status_after_an_interim_response(self) -> None:
        for status in (b"000", b"600"):
            head = INTERIM + b"HTTP/1.1 " + status + b" Status\r\n"
            await self.check(head, HEADERS, f"103, {status!r}")
