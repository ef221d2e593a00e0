"""Tests of calls beside connections and servers that are silent for good."""

from __future__ import annotations

import asyncio
import time
import unittest

import msgspec

from medlarvale.forwarding.errors import (
    BackendError,
)
from medlarvale.forwarding.messages import Dispatch
from medlarvale.platform.backends import HttpBackends
from medlarvale.platform.connections import RequestConnection, new_session
from tests.forwarding.fakes import (
    APP,
    make_request,
    make_server,
)


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancelled_request_leaves_no_connection(self) -> None:
        """Guards against connections to servers that read no more, which stay open with what is
        unsent of a body long after their requests."""
        ended = asyncio.Event()
        release = asyncio.Event()

        class Connection(RequestConnection):
            def connection_lost(self, exc: BaseException | None) -> None:
                ended.set()
                super().connection_lost(exc)

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await release.wait()
            writer.transport.abort()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with new_session(Connection) as session, new_session() as calls:
            entry = make_server("s1", service=APP)
            entry = msgspec.structs.replace(entry, address=address)
            request = make_request(body=b"x" * (8 * 1024 * 1024))
            began = time.monotonic()
            with self.assertRaises(BackendError):
                await HttpBackends(session, calls).send(entry, request, Dispatch(300.0))
            try:
                async with asyncio.timeout(5.0):
                    await ended.wait()
            except TimeoutError:
                self.fail(f"still open after {time.monotonic() - began:.1f} s")
            finally:
                release.set()
                await asyncio.sleep(0.1)
        server.close()


if __name__ == "__main__":
    unittest.main()
