"""HTTP application on the operators' port."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec
from aiohttp import web

from medlarvale.operators.fleet import FleetStatus
from medlarvale.operators.metrics import Metrics
from medlarvale.operators.status import NodeStatus
from medlarvale.operators.wall import CONTENT_SECURITY_POLICY, load_page

# Probes send no token. A browser cannot send one when it opens the wall page; the page contains
# no data and sends the token with its own status requests.
OPEN_PATHS = frozenset({"/healthz", "/readyz", "/wall"})
RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class OperatorsApp:
    """Builds the application.

    Args:
        token: bearer token of the operators.
        own_status: returns the status of this node.
        fleet_status: returns the status of all nodes.
        metrics: renders the Prometheus text.
        spans: returns the newest trace spans, each as a value that msgspec can encode.
        is_ready: returns whether the node accepts new work.
        drain: starts the planned stop; further calls have no effect.

    Raises:
        ValueError: if the token is empty.
    """

    def __init__(
        self,
        token: str,
        own_status: Callable[[], NodeStatus],
        fleet_status: Callable[[], Awaitable[FleetStatus]],
        metrics: Metrics,
        spans: Callable[[], Iterable[Any]],
        is_ready: Callable[[], bool],
        drain: Callable[[], None],
    ) -> None:
        if not token:
            raise ValueError("the operators' token is empty")
        self._token = token.encode()
        self._own_status = own_status
        self._fleet_status = fleet_status
        self._metrics = metrics
        self._spans = spans
        self._is_ready = is_ready
        self._drain = drain
        self._page = load_page()

    def build(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(middlewares=[self._check_token])
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/status", self._status)
        app.router.add_get("/metrics", self._render_metrics)
        app.router.add_get("/traces", self._traces)
        app.router.add_get("/wall", self._wall)
        app.router.add_post("/drain", self._start_drain)
        return app

    @web.middleware
    async def _check_token(
        self, request: web.Request, handler: RequestHandler
    ) -> web.StreamResponse:
        if request.path not in OPEN_PATHS and not self._has_token(request):
            return web.Response(
                status=401, text="unauthorized\n", headers={"WWW-Authenticate": "Bearer"}
            )
        response = await handler(request)
        response.headers["Cache-Control"] = "no-store"
        return response

    def _has_token(self, request: web.Request) -> bool:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        received = token.strip().encode(errors="surrogateescape")
        return scheme.lower() == "bearer" and hmac.compare_digest(received, self._token)

    async def _healthz(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, _request: web.Request) -> web.Response:
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _status(self, request: web.Request) -> web.Response:
        if request.query.get("fleet") == "1":
            return _json(await self._fleet_status())
        return _json(self._own_status())

    async def _render_metrics(self, _request: web.Request) -> web.Response:
        content_type = "text/plain; version=0.0.4; charset=utf-8"
        return web.Response(body=self._metrics.render(), headers={"Content-Type": content_type})

    async def _traces(self, _request: web.Request) -> web.Response:
        return _json(list(self._spans()))

    async def _wall(self, _request: web.Request) -> web.Response:
        headers = {"Content-Security-Policy": CONTENT_SECURITY_POLICY}
        return web.Response(text=self._page, content_type="text/html", headers=headers)

    async def _start_drain(self, _request: web.Request) -> web.Response:
        self._drain()
        return web.Response(status=202, text="draining\n")


def _json(value: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")
