"""Interfaces to the platform that the forwarding path uses; ``medlarvale.platform`` has them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

from multidict import CIMultiDict

from medlarvale.forwarding.messages import (
    Changes,
    ClientRequest,
    Dispatch,
    EngineReport,
    EngineStage,
    HandleId,
    HoldId,
    PrefillResult,
    PromptPartId,
    Published,
    Server,
    StoreRevision,
)


class BackendAnswer(Protocol):
    """The answer of a backend server, whose body is still to be read.

    Attributes:
        status: HTTP status.
        headers: headers to pass on.
        signed: whether it bears the mark of a backend server's own answer.
        event_stream: whether the body is a series of events.
    """

    status: int
    headers: CIMultiDict[str]
    signed: bool
    event_stream: bool

    async def read(self) -> bytes:
        """Returns the whole body.

        Raises:
            BackendError: if it ends early.
        """

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            BackendError: if it ends early.
        """

    def close(self) -> None:
        """Drops the connection unless the body was read to its end."""


class Backends(Protocol):
    """Calls to backend servers."""

    async def send(
        self, server: Server, request: ClientRequest, dispatch: Dispatch
    ) -> BackendAnswer:
        """Sends a request and waits for the head of the answer.

        Raises:
            NotSentError: the server has not seen the request.
            RejectedError: the server says that it has not run it.
            BackendError: the request may have run.
        """

    async def prefill(
        self, server: Server, request: ClientRequest, left_ms: float
    ) -> PrefillResult:
        """Has the prompt of a request read.

        Raises:
            NotSentError: the server has not seen the call.
            RejectedError: the server refuses it.
            BackendError: for any other failure.
        """

    async def acquire_hold(self, server: Server, tokens: int, ttl_ms: float) -> HoldId | None:
        """Reserves a slot and memory; returns None if there is no room.

        Raises:
            BackendError: if the server does not answer.
        """

    async def release_hold(self, server: Server, hold: HoldId) -> None:
        """Gives reserved memory back.

        Raises:
            BackendError: if the server does not answer.
        """

    async def release_handle(self, server: Server, handle: HandleId) -> None:
        """Frees the KV cache of a prompt that is not going to be used.

        Raises:
            BackendError: if the server does not answer.
        """

    async def cached_parts(self, server: Server) -> dict[PromptPartId, int]:
        """Returns the tokens of each part of a prompt that an engine keeps.

        Raises:
            BackendError: if the server does not answer.
        """

    async def probe(self, server: Server) -> None:
        """Opens and closes a connection.

        Raises:
            NotSentError: the server takes none.
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
            fencing: fencing number of the giver.
            orders_accepted: the order holds only if the engine has accepted this many so far.

        Raises:
            BackendError: if the server does not answer; it may have accepted.
        """


class StateSource(Protocol):
    """Configuration and backend servers as the platform publishes them."""

    async def read(self) -> Published:
        """Returns everything.

        Raises:
            PublishedStateError: if it can't be read.
        """

    async def watch(self, after: StoreRevision, wait_ms: int) -> Changes:
        """Waits up to ``wait_ms`` for changes after a revision.

        Raises:
            HistoryGoneError: if the changes are no longer known.
            PublishedStateError: if they can't be read.
        """
