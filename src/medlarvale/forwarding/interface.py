"""Interfaces of the forwarding path to the platform, implemented in ``medlarvale.platform``."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractContextManager
from typing import Protocol

from multidict import CIMultiDict

from medlarvale.forwarding.messages import (
    ClientRequest,
    Dispatch,
    EngineReport,
    EngineStage,
    HandleId,
    HoldId,
    PrefillResult,
    PromptPartId,
    PublishedState,
    Server,
    StateChanges,
    StoreRevision,
)
from medlarvale.http_bodies import BodyFraming

# Shortest wait of a watch, for changes that have already been made.
NO_WAIT_MS = 1


class BackendAnswer(Protocol):
    """The answer of a backend server; its body has not been read yet.

    Attributes:
        status: HTTP status.
        headers: headers to forward.
        signed: whether it has the signature header that only backend servers set.
        event_stream: whether the body is an event stream.
        framing: what marks the end of the body.
    """

    status: int
    headers: CIMultiDict[str]
    signed: bool
    event_stream: bool
    framing: BodyFraming

    async def read(self) -> bytes:
        """Returns the complete body.

        Raises:
            BackendError: if it ends early.
        """

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            BackendError: if it ends early.
        """

    def close(self) -> None:
        """Closes the connection unless the body was read to its end."""


# Gets a server and the requests per second that it takes from all hosts; None without a limit.
LimitCallback = Callable[[Server, float | None], None]
LeavingCallback = Callable[[Server], None]
# Gets a server and the time in seconds for which it wants no requests, which may be infinite.
WaitCallback = Callable[[Server, float], None]


class BodyInProgress(Protocol):
    """A body of which a part has been read; implemented in ``body_memory``."""

    # Whether its connection was closed to make room for others.
    dropped: bool

    def add(self, size_bytes: int) -> None:
        """Counts a part that was read; drops the largest bodies if there is no room for it."""


class BodyMemory(Protocol):
    """Bounds the memory of all bodies that are being read; implemented in ``body_memory``."""

    def reading(self, close: Callable[[], None]) -> AbstractContextManager[BodyInProgress]:
        """Counts a body until the end of the block; ``close`` closes its connection."""


class Backends(Protocol):
    """Calls to backend servers."""

    def on_limit(self, callback: LimitCallback) -> None:
        """Registers a callback for the limit, or its absence, in each answer to a request."""

    def on_leaving(self, callback: LeavingCallback) -> None:
        """Registers a callback for each answer of a server that says that it is leaving."""

    def on_wait(self, callback: WaitCallback) -> None:
        """Registers a callback for each refusal of a server that wants no requests for a time."""

    async def send(
        self, server: Server, request: ClientRequest, dispatch: Dispatch
    ) -> BackendAnswer:
        """Sends a request and waits for the head of the answer.

        Counts it in ``request.possible_runs`` from the time at which the server may receive it,
        unless the server says that it has not run.

        Raises:
            NotSentError: the server has not received the request.
            RejectedError: the server reports that it has not run the request.
            LateAnswerError: the time of the request ended first, and it may have run.
            BackendError: the request may have run.
        """

    async def prefill(
        self,
        server: Server,
        request: ClientRequest,
        left_ms: float,
        priority: int | None = None,
    ) -> PrefillResult:
        """Prefills the prompt of a request; engines read urgent prompts first.

        Raises:
            NotSentError: the server has not received the call.
            RejectedError: the server rejected the call.
            BackendError: for any other failure.
        """

    async def acquire_hold(self, server: Server, tokens: int, ttl_ms: float) -> HoldId | None:
        """Reserves a slot and memory; returns None if there is not enough.

        Raises:
            BackendError: if the server does not answer.
        """

    async def release_hold(self, server: Server, hold: HoldId) -> None:
        """Releases reserved memory.

        Raises:
            BackendError: if the server does not answer.
        """

    async def release_handle(self, server: Server, handle: HandleId) -> None:
        """Releases the KV cache of a prefilled prompt that will not be used.

        Raises:
            BackendError: if the server does not answer.
        """

    async def cached_parts(self, server: Server) -> dict[PromptPartId, int]:
        """Returns the number of cached tokens by prompt part.

        Raises:
            BackendError: if the server does not answer.
        """

    async def probe(self, server: Server) -> None:
        """Opens and closes a connection.

        Raises:
            ServerDownError: the connection was refused.
            NotSentError: the server can't be reached.
        """

    async def is_same_instance(self, server: Server) -> bool:
        """Returns whether a server answers as the instance that an entry names.

        A connection alone doesn't show it: the listener of a killed process may accept until the
        system has ended the last of its connections.

        Raises:
            ServerDownError: no process accepts connections at its address.
            BackendError: it does not answer.
        """

    async def report(self, server: Server) -> EngineReport:
        """Returns the load of an engine.

        Raises:
            BackendError: if the server does not answer.
        """

    async def order_stage(
        self,
        server: Server,
        stage: EngineStage,
        coordinator: str,
        fencing: int,
        orders_accepted: int,
    ) -> bool:
        """Orders an engine to change its stage; returns whether it accepted.

        Args:
            server: the engine.
            stage: the new stage.
            coordinator: name of the host that sends the order.
            fencing: fencing number of that host.
            orders_accepted: the order is valid only if the engine has accepted this many so far.

        Raises:
            BackendError: if the server does not answer; it may have accepted the order.
        """


class StateSource(Protocol):
    """Published configuration and backend servers."""

    async def read(self) -> PublishedState:
        """Returns the complete published state.

        Raises:
            PublishedStateError: if it can't be read.
        """

    async def watch(self, after: StoreRevision, wait_ms: int) -> StateChanges:
        """Waits up to ``wait_ms`` for changes after a revision.

        Raises:
            HistoryGoneError: if the changes are no longer available.
            PublishedStateError: if they can't be read.
        """
