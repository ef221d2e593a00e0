"""TCP relay that tests interrupt, delay and restore through an HTTP control port."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from aiohttp import web

from medlarvale.clock import Clock, SystemClock
from medlarvale.standins.engine_errors import BadRequestError
from medlarvale.standins.http_answers import answer, answer_errors, decode_body
from medlarvale.standins.serving import Address, announce, serve, stop_event

READ_BYTES = 65_536
# Maximum number of delayed bytes; beyond it the sender is blocked, as by a full TCP window.
MAX_DELAYED_BYTES = 4_194_304


class LinkMode(enum.Enum):
    """How the link handles bytes.

    ``hold`` buffers them until the link is restored, as TCP does during a short partition.
    ``drop`` reads and discards them; a connection that lost bytes is closed when the link is
    restored, because its stream is incomplete. ``close`` closes all connections and rejects new
    ones.
    """

    PASS = "pass"
    HOLD = "hold"
    DROP = "drop"
    CLOSE = "close"


class Direction(enum.Enum):
    """Bytes that a mode applies to."""

    BOTH = "both"
    TO_TARGET = "to-target"
    FROM_TARGET = "from-target"


class LinkState(msgspec.Struct, frozen=True):
    """Requested state of a link; ``delay_ms`` is added in each direction.

    Attributes:
        direction: bytes that ``hold`` and ``drop`` apply to; the others pass. No connection is
            opened meanwhile, as that takes packets in both directions.
    """

    mode: LinkMode
    delay_ms: float = 0.0
    direction: Direction = Direction.BOTH


PASSING = LinkState(LinkMode.PASS)


class LinkReport(msgspec.Struct, frozen=True):
    """State of a link and its totals since its start."""

    mode: LinkMode
    delay_ms: float
    connections: int
    bytes_passed: int
    bytes_dropped: int


class DelayedBytes(msgspec.Struct, frozen=True):
    """Bytes that are forwarded at ``due_ms`` or later; empty data marks the end of the stream."""

    due_ms: float
    data: bytes


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset, so that its peer does not see a regular end."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Connection:
    """One relayed connection."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]) -> None:
        self.writers = writers
        self.lost_bytes = False

    def abort(self) -> None:
        """Resets both sides."""
        for writer in self.writers:
            reset(writer)


class Link:
    """Relays TCP connections to ``target``.

    Args:
        state: first state of the link.
    """

    def __init__(self, target: Address, clock: Clock, state: LinkState = PASSING) -> None:
        self.target = target
        self._clock = clock
        self._state = state
        self._changed = asyncio.Condition()
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._bytes_passed = 0
        self._bytes_dropped = 0

    async def set_state(self, state: LinkState) -> None:
        """Interrupts, delays or restores the link."""
        self._state = state
        for connection in list(self._connections):
            restored = state.mode in (LinkMode.PASS, LinkMode.HOLD)
            if state.mode is LinkMode.CLOSE or (restored and connection.lost_bytes):
                connection.abort()
        async with self._changed:
            self._changed.notify_all()

    def report(self) -> LinkReport:
        """Returns the state of the link."""
        return LinkReport(
            self._state.mode,
            self._state.delay_ms,
            len(self._connections),
            self._bytes_passed,
            self._bytes_dropped,
        )

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Starts to relay a connection."""
        task = asyncio.get_running_loop().create_task(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Ends all connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._accept(reader, writer)
        except OSError:
            # One side has disconnected; the relay closes the other side.
            pass
        finally:
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A connection opened while the link is interrupted gets no answer until it is restored.
        await self._wait_while(LinkMode.DROP, LinkMode.HOLD)
        if self._state.mode is LinkMode.CLOSE:
            reset(writer)
            return
        target_reader, target_writer = await asyncio.open_connection(
            self.target.host, self.target.port
        )
        connection = Connection((writer, target_writer))
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                to_target, from_target = Direction.TO_TARGET, Direction.FROM_TARGET
                group.create_task(self._pump(connection, reader, target_writer, to_target))
                group.create_task(self._pump(connection, target_reader, writer, from_target))
        except* OSError:
            pass
        finally:
            self._connections.discard(connection)
            target_writer.transport.abort()

    async def _pump(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        """Forwards bytes in one direction; reads and writes overlap, so a delay costs no rate."""
        delayed_queue: asyncio.Queue[DelayedBytes] = asyncio.Queue(MAX_DELAYED_BYTES // READ_BYTES)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read(reader, delayed_queue, direction))
            group.create_task(self._write(connection, delayed_queue, writer, direction))

    async def _read(
        self,
        reader: asyncio.StreamReader,
        delayed_queue: asyncio.Queue[DelayedBytes],
        direction: Direction,
    ) -> None:
        while True:
            await self._wait_while(LinkMode.HOLD, direction=direction)
            data = await reader.read(READ_BYTES)
            await delayed_queue.put(DelayedBytes(self._clock.now_ms() + self._state.delay_ms, data))
            if not data:
                return

    async def _write(
        self,
        connection: Connection,
        delayed_queue: asyncio.Queue[DelayedBytes],
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while True:
            delayed = await delayed_queue.get()
            await self._clock.sleep_ms(delayed.due_ms - self._clock.now_ms())
            await self._wait_while(LinkMode.HOLD, direction=direction)
            if self._mode(direction) is LinkMode.DROP:
                self._bytes_dropped += len(delayed.data)
                connection.lost_bytes = True
                # The end of a stream is lost as well: neither side notices the other closing.
                if not delayed.data:
                    await self._wait_while(LinkMode.DROP, direction=direction)
                    connection.abort()
                    return
                continue
            if not delayed.data:
                writer.write_eof()
                return
            writer.write(delayed.data)
            await writer.drain()
            self._bytes_passed += len(delayed.data)

    async def _wait_while(self, *modes: LinkMode, direction: Direction = Direction.BOTH) -> None:
        async with self._changed:
            await self._changed.wait_for(lambda: self._mode(direction) not in modes)

    def _mode(self, direction: Direction) -> LinkMode:
        """Returns the mode for a direction; for both, the one that either has."""
        only = self._state.direction
        applies = Direction.BOTH in (only, direction) or only is direction
        return self._state.mode if applies else LinkMode.PASS


def build_control(link: Link) -> web.Application:
    """Returns the application of the control port with ``GET /link`` and ``POST /link``."""

    async def set_state(request: web.Request) -> web.StreamResponse:
        state = await decode_body(request, LinkState)
        if state.delay_ms < 0:
            raise BadRequestError("delay_ms must not be negative")
        await link.set_state(state)
        return answer(link.report())

    async def report(request: web.Request) -> web.StreamResponse:
        return answer(link.report())

    application = web.Application(middlewares=[answer_errors])
    application.add_routes([web.get("/link", report), web.post("/link", set_state)])
    return application


@asynccontextmanager
async def relay(link: Link, address: Address) -> AsyncIterator[Address]:
    """Accepts connections for a link and yields the listening address."""
    server = await asyncio.start_server(link.accept, address.host, address.port)
    try:
        yield Address(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()
        await link.stop()


async def run_link(name: str, listen: Address, control: Address, target: Address) -> None:
    """Runs a link until SIGTERM or SIGINT; announces its relay port and then its control port."""
    stopped = stop_event()
    link = Link(target, SystemClock())
    async with relay(link, listen) as bound, serve(build_control(link), control) as control_bound:
        announce(name, str(bound))
        announce(f"{name}-control", f"http://{control_bound}")
        await stopped.wait()
