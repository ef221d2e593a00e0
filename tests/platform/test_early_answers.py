"""Guards against answers to a long upload that arrive while it is still being written.

A server of another system answered with a 200 without a length, sent a part of its body and reset
the connection. The caller got that part as a complete response.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct

import uvloop

from tests.platform.response_paths import BODY, HEADERS, ResponsePathsTestCase

MIB = 1024 * 1024
# More than the buffers of both sockets take, and less.
UPLOADS = (MIB, 4 * MIB)
# Time in which the caller reads a part of an answer before the reset.
READ_S = 0.02
LIMIT_S = 10.0
# The body is whole in the first, so that only the reset shows that it may not be.
FRAMINGS: dict[str, tuple[bytes, bytes]] = {
    "no length": (b"\r\n", BODY),
    "length": (b"Content-Length: %d\r\n\r\n" % (len(BODY) + 1), BODY),
    "chunked": (b"Transfer-Encoding: chunked\r\n\r\n", b"%x\r\n%s\r\n" % (len(BODY), BODY)),
}
OK = b"HTTP/1.1 200 OK\r\n" + HEADERS
WHOLE = b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY


class EarlyServer:
    """Server that answers after the head of a request.

    Attributes:
        received: bytes after the first head of each connection.
        answered: set when the caller has the answer.
        ended: set when a connection has ended.
    """

    def __init__(self, sent: bytes, pause_s: float = 0.0, *, rest: str = "reset") -> None:
        self._sent, self._pause_s, self._rest = sent, pause_s, rest
        self.received: list[bytes] = []
        self.answered, self.ended = asyncio.Event(), asyncio.Event()

    async def start(self) -> int:
        # A small buffer, so that the rest of an upload stays with its sender.
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        listener.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve, sock=listener, limit=4_096)
        return int(listener.getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = len(self.received)
        self.received.append(b"")
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._sent)
            await writer.drain()
            await asyncio.sleep(self._pause_s)
            if self._rest == "reset":
                linger = struct.pack("ii", 1, 0)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            elif self._rest == "read":
                while part := await reader.read(65_536):
                    self.received[number] += part
                    if b"HTTP/1.1\r\n" in part:
                        writer.write(self._sent)
            else:
                # Reads nothing more; only what it writes shows that the connection is gone.
                await self.answered.wait()
                await self._gone(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.ended.set()
            writer.close()

    async def _gone(self, writer: asyncio.StreamWriter) -> None:
        connection = writer.get_extra_info("socket")
        while not connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            writer.write(b" ")
            await writer.drain()
            await asyncio.sleep(READ_S)


class EarlyAnswersTest(ResponsePathsTestCase):
    async def start(self, server: EarlyServer) -> int:
        port = await server.start()
        self.addCleanup(server.server.close)
        return port

    async def check_reset(self, framing: str) -> None:
        head, body = FRAMINGS[framing]
        for (name, path), size, pause_s in itertools.product(
            self.paths.items(), UPLOADS, (0.0, READ_S)
        ):
            if not path.uploads and size != UPLOADS[0]:
                continue
            port = await self.start(EarlyServer(OK + path.request_id + head + body, pause_s))
            with self.subTest(name, framing=framing, size=size, pause_s=pause_s):
                self.assertIsNone(await self.fails(path, port, bytes(size)))

    async def test_a_reset_ends_no_answer_without_a_length(self) -> None:
        await self.check_reset("no length")

    async def test_a_reset_ends_no_answer_with_a_length(self) -> None:
        await self.check_reset("length")

    async def test_a_reset_ends_no_answer_in_chunks(self) -> None:
        await self.check_reset("chunked")

    async def test_the_rest_of_an_upload_is_right_or_its_connection_ends(self) -> None:
        """Guards against a request that is sent in the middle of the body of another one."""
        for (name, path), size in itertools.product(self.paths.items(), UPLOADS):
            if not path.uploads:
                continue
            with self.subTest(name, size=size):
                early = EarlyServer(OK + path.request_id + WHOLE, rest="read")
                port = await self.start(early)
                upload = bytes(itertools.islice(itertools.cycle(b"abcdefg"), size))
                async with asyncio.timeout(LIMIT_S):
                    await path.run(port, upload)
                    await path.run(port, b"")
                body, _, next_request = early.received[0].partition(b"POST ")
                if name == "product's prefill":
                    # Its body is encoded from tokens.
                    self.assertEqual(body.endswith(b"}"), bool(next_request))
                else:
                    self.assertEqual(body, upload if next_request else upload[: len(body)])

    async def test_an_upload_that_nobody_reads_keeps_no_connection(self) -> None:
        """Guards against connections that stay open, with the rest of an upload in memory, for as
        long as a server likes."""
        for name, path in self.paths.items():
            if not path.uploads:
                continue
            with self.subTest(name):
                early = EarlyServer(OK + path.request_id + WHOLE, rest="ignore")
                port = await self.start(early)
                async with asyncio.timeout(LIMIT_S):
                    await path.run(port, bytes(UPLOADS[1]))
                    early.answered.set()
                    await early.ended.wait()


class EarlyAnswersWithUvloopTest(EarlyAnswersTest):
    """The same with the event loop of the hosts, whose transports report resets in other ways."""

    def _setupAsyncioRunner(self) -> None:  # noqa: N802 - name of the base class
        runner = asyncio.Runner(debug=False, loop_factory=uvloop.new_event_loop)
        self._asyncioRunner = runner
