"""Decoding of the platform's store entries: the configuration and the backend servers."""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec

from medlarvale.errors import DECODE_ERRORS, MedlarvaleError
from medlarvale.forwarding.messages import (
    MAX_ADDRESS_CHARS,
    Amount,
    Capacity,
    Count,
    EngineStage,
    EngineTraits,
    Quota,
    QuotaUnit,
    RequestLimits,
    Route,
    RouteKind,
    RouteTable,
    Server,
    ServerState,
    Service,
    Target,
    Workspace,
    is_usable_address,
    is_usable_id,
)
from medlarvale.ids import (
    ConfigVersion,
    FailureDomain,
    KeyDigest,
    ServerId,
    ServiceName,
    SoftwareVersion,
    WorkspaceId,
)

CONFIG_KEY = "op/config"
SERVER_PREFIX = "servers/"

# Error messages name at most this much of an id.
MAX_SHOWN_CHARS = 100
MAX_NAME_CHARS = 1_024

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
_RequiredName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
_Address = Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_CHARS)]

ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}


class EntryError(MedlarvaleError):
    """A store entry is invalid."""

    code = "store_entry_invalid"


class _TargetFields(msgspec.Struct, rename="pascal"):
    service: str
    weight: Amount


class _RouteFields(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Amount
    target_latency_ms: Amount
    priority: Count = 5
    # A route has one Service, or several with weights in Split.
    service: str = ""
    split: list[_TargetFields] = []
    max_attempts: Count = 1
    resumable: bool = False
    gap_target_ms: Amount = 0.0
    public: bool = False


class _EngineFields(msgspec.Struct, rename="pascal", kw_only=True):
    slots: Capacity
    memory_tokens: Capacity = msgspec.field(name="KvTokenCapacity")
    # Despite its name, KvHoldS concerns no hold: it is how long a prefill's KV cache is kept.
    # HoldMs is the longest duration of a reservation.
    handle_ttl_s: Amount = msgspec.field(name="KvHoldS", default=0.5)
    hold_ttl_ms: Amount = msgspec.field(name="HoldMs", default=0.0)
    switch_s: Amount = 0.0


class _ServiceFields(msgspec.Struct, rename="pascal"):
    name: str
    max_connections: Count = msgspec.field(name="MaxConns")
    engine: _EngineFields | None = None


class _LimitFields(msgspec.Struct, rename="pascal"):
    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: Amount
    idle_timeout_ms: Amount


class _WorkspaceFields(msgspec.Struct, rename="pascal"):
    name: _RequiredName
    api_keys: list[str] = []
    priority: Count | None = None
    unit: str = ""
    plain_tokens: Count = 0
    rate_per_s: Amount = 0.0
    burst: Amount = 0.0


class _ConfigFields(msgspec.Struct, rename="pascal"):
    version: Count
    routes: list[_RouteFields]
    services: list[_ServiceFields]
    limits: _LimitFields
    workspaces: list[_WorkspaceFields] = msgspec.field(name="Tenants", default_factory=list)


class _ServerFields(msgspec.Struct, rename="pascal", kw_only=True):
    service: _RequiredName
    address: _Address
    failure_domain: _Name = msgspec.field(name="Zone")
    slots: Count
    state: ServerState
    stage: EngineStage | None = None
    cold_left_ms: Amount = 0.0
    # Version of the software; the versions of the weights are in Models.
    software: _Name = msgspec.field(name="Version", default="")
    # Start time of the server.
    born_ms: Count = msgspec.field(name="born", default=0)
    heartbeats: Count = msgspec.field(name="Sequence", default=0)


_config_decoder = msgspec.json.Decoder(_ConfigFields)
_server_decoder = msgspec.json.Decoder(_ServerFields)


def decode_config(value: bytes) -> RouteTable:
    """Returns the configuration in an entry.

    Raises:
        EntryError: if the entry is invalid.
    """
    try:
        fields = _config_decoder.decode(value)
        return RouteTable(
            ConfigVersion(fields.version),
            tuple(_to_route(route) for route in fields.routes),
            {ServiceName(service.name): _to_service(service) for service in fields.services},
            RequestLimits(
                fields.limits.max_header_bytes,
                fields.limits.max_body_bytes,
                fields.limits.header_timeout_ms,
                fields.limits.idle_timeout_ms,
            ),
            tuple(map(_to_workspace, fields.workspaces)),
        )
    except (*DECODE_ERRORS, KeyError) as error:
        raise EntryError(f"{CONFIG_KEY}: {error}") from error


def _to_route(fields: _RouteFields) -> Route:
    targets = tuple(Target(ServiceName(part.service), part.weight) for part in fields.split)
    return Route(
        fields.name,
        fields.host.lower(),
        fields.path_prefix,
        ROUTE_KINDS[fields.kind],
        fields.timeout_ms,
        fields.target_latency_ms,
        fields.priority,
        targets or (Target(ServiceName(fields.service), 1.0),),
        max(1, fields.max_attempts),
        fields.resumable,
        fields.gap_target_ms,
        fields.public,
    )


def key_digest(key: str) -> KeyDigest:
    """Returns the digest by which an API key is compared; the key itself is not kept."""
    return KeyDigest(hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest())


def _to_workspace(fields: _WorkspaceFields) -> Workspace:
    if not is_usable_id(fields.name):
        # It is sent in a header.
        raise EntryError(f"{CONFIG_KEY}: unusable name of a workspace")
    quota = None
    if fields.rate_per_s > 0:
        unit = QuotaUnit.TOKENS if fields.unit == QuotaUnit.TOKENS.value else QuotaUnit.REQUESTS
        quota = Quota(fields.rate_per_s, fields.burst, unit, fields.plain_tokens)
    return Workspace(
        WorkspaceId(fields.name),
        tuple(map(key_digest, fields.api_keys)),
        fields.priority,
        quota,
    )


def _to_service(fields: _ServiceFields) -> Service:
    engine = None
    if fields.engine is not None:
        engine = EngineTraits(
            fields.engine.slots,
            fields.engine.memory_tokens,
            fields.engine.handle_ttl_s * 1000.0,
            fields.engine.hold_ttl_ms,
            fields.engine.switch_s * 1000.0,
        )
    return Service(ServiceName(fields.name), fields.max_connections, engine)


def decode_server(key: str, value: bytes) -> Server:
    """Returns the backend server that an entry describes.

    Raises:
        EntryError: if the entry is invalid, or its id or address can't be used.
    """
    shown = repr(key[:MAX_SHOWN_CHARS])
    server = key.removeprefix(SERVER_PREFIX)
    if not is_usable_id(server):
        raise EntryError(f"{shown}: unusable id")
    try:
        fields = _server_decoder.decode(value)
    except DECODE_ERRORS as error:
        raise EntryError(f"{shown}: {error}") from error
    if not is_usable_address(fields.address):
        raise EntryError(f"{shown}: no usable IPv4 address and port: {fields.address!r}")
    return Server(
        ServerId(server),
        ServiceName(fields.service),
        fields.address,
        FailureDomain(fields.failure_domain),
        fields.slots,
        fields.state,
        fields.stage,
        fields.cold_left_ms,
        fields.born_ms,
        fields.heartbeats,
        SoftwareVersion(fields.software),
    )
