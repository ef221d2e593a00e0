"""Stand-in for the platform: its configuration service and host list, with faults."""

from __future__ import annotations

import asyncio
import enum
from collections import deque

import msgspec
from aiohttp import web

from medlarvale.clock import Clock
from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    HostId,
    ListVersion,
    PoolName,
    ServerId,
    ServiceName,
)
from medlarvale.settings.schema import PoolRole

CALLS_PER_S = 2_000
MAX_VALUE_BYTES = 1_000_000
# Upper bound on the wait time of a watch; a longer requested wait is shortened to it.
MAX_WAIT_MS = 60_000
# Leaves room for the JSON around the largest value in a control call.
MAX_CONTROL_BYTES = MAX_VALUE_BYTES + 100_000


class MemberState(enum.Enum):
    """State of a host or server in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(msgspec.Struct, frozen=True):
    """An entry host in the list."""

    host: HostId
    peer_address: str
    failure_domain: FailureDomain
    state: MemberState = MemberState.LIVE


class ListedServer(msgspec.Struct, frozen=True):
    """A backend server in the list."""

    server: ServerId
    address: str
    service: ServiceName
    pool: PoolName
    role: PoolRole
    failure_domain: FailureDomain
    state: MemberState = MemberState.LIVE


class HostList(msgspec.Struct, frozen=True):
    """Body of ``GET /hosts``."""

    version: ListVersion
    entry_hosts: list[ListedHost]
    backend_servers: list[ListedServer]


class ConfigValue(msgspec.Struct, frozen=True):
    """Body of ``GET /config``; the tree is returned exactly as it was published."""

    version: ConfigVersion
    tree: msgspec.Raw


class PublishTree(msgspec.Struct, tag="publish_tree", tag_field="kind", frozen=True):
    """Control call: publishes a tree without validating it.

    Attributes:
        version: version of the tree; the next version if omitted.
    """

    tree: msgspec.Raw
    version: ConfigVersion | None = None


class PublishHosts(msgspec.Struct, tag="publish_hosts", tag_field="kind", frozen=True):
    """Control call: publishes a host list under the next version."""

    entry_hosts: list[ListedHost]
    backend_servers: list[ListedServer]


class SetFaults(msgspec.Struct, tag="set_faults", tag_field="kind", frozen=True):
    """Control call: replaces all faults; omitted faults are switched off.

    Attributes:
        down: connections to the configuration service and the host list are dropped.
        stale_version: version that the configuration service returns instead of the newest one.
        list_lag_ms: delay after which a published host list becomes visible.
        calls_per_s: limit on calls to the configuration service.
    """

    down: bool = False
    stale_version: ConfigVersion | None = None
    list_lag_ms: int = 0
    calls_per_s: int = CALLS_PER_S


Control = PublishTree | PublishHosts | SetFaults


class ControlAnswer(msgspec.Struct, frozen=True):
    """Versions after a control call; None if nothing has been published yet."""

    config_version: ConfigVersion | None
    list_version: ListVersion | None


class ControlRefusedError(ValueError):
    """A control call is invalid; it changed nothing."""


class CallLimiter:
    """Limits calls in a sliding window of one second; a watch counts as long as it waits.

    Args:
        calls_per_s: maximum number of calls, including waiting watches.
    """

    def __init__(self, calls_per_s: int = CALLS_PER_S) -> None:
        self.calls_per_s = calls_per_s
        self.waiting = 0
        self._ended_ms: deque[float] = deque()

    def start(self, now_ms: float) -> bool:
        """Returns whether a call is admitted; it counts until one second after ``end``."""
        while self._ended_ms and self._ended_ms[0] <= now_ms - 1_000.0:
            self._ended_ms.popleft()
        if self.waiting + len(self._ended_ms) >= self.calls_per_s:
            return False
        self.waiting += 1
        return True

    def end(self, now_ms: float) -> None:
        """Ends an admitted call."""
        self.waiting -= 1
        self._ended_ms.append(now_ms)


class PlatformState:
    """Published values and active faults of the platform; free of I/O."""

    def __init__(self) -> None:
        self.faults = SetFaults()
        self._values: dict[ConfigVersion, ConfigValue] = {}
        self._lists: list[tuple[float, HostList]] = []

    @property
    def newest_version(self) -> ConfigVersion | None:
        """The version of the tree that was published last."""
        return next(reversed(self._values), None)

    @property
    def list_version(self) -> ListVersion | None:
        """The version of the host list that was published last."""
        return self._lists[-1][1].version if self._lists else None

    def value(self) -> ConfigValue | None:
        """Returns the value that the configuration service currently returns."""
        version = self.faults.stale_version
        if version is None:
            version = self.newest_version
        return None if version is None else self._values[version]

    def hosts(self, now_ms: float) -> HostList | None:
        """Returns the visible host list, which is the newest one older than the lag."""
        shown = [
            listed
            for published_ms, listed in self._lists
            if published_ms + self.faults.list_lag_ms <= now_ms
        ]
        return shown[-1] if shown else None

    def apply(self, control: Control, now_ms: float) -> None:
        """Applies a control call.

        Raises:
            ControlRefusedError: the value is too large or the version is not possible.
        """
        if isinstance(control, PublishTree):
            self._publish_tree(control)
        elif isinstance(control, PublishHosts):
            self._publish_hosts(control, now_ms)
        else:
            if control.stale_version is not None and control.stale_version not in self._values:
                raise ControlRefusedError(f"version {control.stale_version} was never published")
            self.faults = control

    def _publish_tree(self, control: PublishTree) -> None:
        newest = self.newest_version or 0
        version = ConfigVersion(newest + 1) if control.version is None else control.version
        if version <= newest:
            raise ControlRefusedError(f"version {version} is not newer than version {newest}")
        # Copies the raw value, which refers to the whole body of the control call.
        tree = msgspec.Raw(bytes(control.tree))
        if len(bytes(tree)) > MAX_VALUE_BYTES:
            raise ControlRefusedError(f"the tree is larger than {MAX_VALUE_BYTES} bytes")
        self._values[version] = ConfigValue(version, tree)

    def _publish_hosts(self, control: PublishHosts, now_ms: float) -> None:
        version = ListVersion((self.list_version or 0) + 1)
        listed = HostList(version, control.entry_hosts, control.backend_servers)
        self._lists.append((now_ms, listed))


class PlatformServer:
    """HTTP interface of the platform.

    Args:
        state: published values and active faults.
        clock: time source.
    """

    def __init__(self, state: PlatformState, clock: Clock) -> None:
        self.state = state
        self.limiter = CallLimiter()
        self._clock = clock
        self._changed = asyncio.Event()
        self._control_decoder = msgspec.json.Decoder(Control)

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=MAX_CONTROL_BYTES)
        app.router.add_get("/config", self._get_config)
        app.router.add_get("/config/watch", self._watch_config)
        app.router.add_get("/hosts", self._get_hosts)
        app.router.add_post("/control", self._control)
        return app

    async def _get_config(self, request: web.Request) -> web.Response:
        self._drop_if_down(request)
        if not self.limiter.start(self._clock.now_ms()):
            return web.Response(status=429)
        self.limiter.end(self._clock.now_ms())
        return _json_or_empty(self.state.value())

    async def _watch_config(self, request: web.Request) -> web.Response:
        """Answers 200 with a version newer than ``after``, or 204 after the wait time."""
        self._drop_if_down(request)
        try:
            after = int(request.query["after"])
            wait_ms = min(int(request.query["wait_ms"]), MAX_WAIT_MS)
        except (KeyError, ValueError):
            return web.Response(status=400, text="after and wait_ms must be integers")
        if not self.limiter.start(self._clock.now_ms()):
            return web.Response(status=429)
        try:
            return _json_or_empty(await self._wait_newer(request, after, wait_ms))
        finally:
            self.limiter.end(self._clock.now_ms())

    async def _wait_newer(
        self, request: web.Request, after: int, wait_ms: int
    ) -> ConfigValue | None:
        timeout = asyncio.ensure_future(self._clock.sleep_ms(wait_ms))
        try:
            while True:
                self._drop_if_down(request)
                value = self.state.value()
                if value is not None and value.version > after:
                    return value
                if timeout.done():
                    return None
                changed = asyncio.ensure_future(self._changed.wait())
                await asyncio.wait({timeout, changed}, return_when=asyncio.FIRST_COMPLETED)
                changed.cancel()
        finally:
            timeout.cancel()

    async def _get_hosts(self, request: web.Request) -> web.Response:
        self._drop_if_down(request)
        return _json_or_empty(self.state.hosts(self._clock.now_ms()))

    async def _control(self, request: web.Request) -> web.Response:
        try:
            control = self._control_decoder.decode(await request.read())
            self.state.apply(control, self._clock.now_ms())
        except (msgspec.MsgspecError, ControlRefusedError) as error:
            return web.Response(status=400, text=str(error))
        if isinstance(control, SetFaults):
            self.limiter.calls_per_s = control.calls_per_s
        self._changed.set()
        self._changed = asyncio.Event()
        return _json_or_empty(ControlAnswer(self.state.newest_version, self.state.list_version))

    def _drop_if_down(self, request: web.Request) -> None:
        if self.state.faults.down:
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPServiceUnavailable


def _json_or_empty(value: msgspec.Struct | None) -> web.Response:
    if value is None:
        return web.Response(status=204)
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")
