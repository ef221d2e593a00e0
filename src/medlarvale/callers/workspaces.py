"""Authentication of callers and lookup of the services that their workspace may call."""

from __future__ import annotations

import hashlib

from aiohttp import web

from medlarvale.callers.errors import (
    ApiKeyRequiredError,
    BadHeaderError,
    ServiceForbiddenError,
    UnknownApiKeyError,
    UnknownModelError,
    UnknownServiceError,
    UnknownWorkspaceError,
    WorkspaceMissingError,
)
from medlarvale.callers.validation import single_header
from medlarvale.ids import ServiceName, WorkspaceId
from medlarvale.settings.interface import SettingsProvider
from medlarvale.settings.schema import ServiceDeclaration, ServiceKind, SettingsTree

WORKSPACE_HEADER = "X-Workspace"
BEARER = "bearer"


class WorkspaceDirectory:
    """Index of workspaces and models in the settings tree, rebuilt when the tree changes."""

    def __init__(self, settings: SettingsProvider) -> None:
        self._settings = settings
        self._tree: SettingsTree | None = None
        self._by_digest: dict[str, WorkspaceId] = {}
        self._by_model: dict[str, list[ServiceName]] = {}

    def workspace_of(self, request: web.Request) -> WorkspaceId:
        """Returns the workspace that a request belongs to.

        ``X-Workspace`` alone authenticates a caller only for a workspace without API keys.
        Competing firms share a deployment, so the name must not suffice if there are keys.

        Raises:
            WorkspaceMissingError: neither an API key nor a name is given.
            UnknownApiKeyError: no workspace has the key.
            ApiKeyRequiredError: the workspace has keys and the request has none.
            UnknownWorkspaceError: no workspace has the name, or the key belongs to another.
        """
        tree = self._refresh()
        name = single_header(request, WORKSPACE_HEADER)
        key = _bearer_key(request)
        if key is not None:
            owner = self._by_digest.get(hashlib.sha256(key.encode()).hexdigest())
            if owner is None:
                raise UnknownApiKeyError("no workspace has this API key")
            if name not in (None, owner):
                raise UnknownWorkspaceError("the API key belongs to another workspace")
            return owner
        if name is None:
            raise WorkspaceMissingError("an API key or X-Workspace is required")
        workspace = tree.workspaces.get(name)
        if workspace is None:
            raise UnknownWorkspaceError(f"there is no workspace {name!r}")
        if workspace.api_key_sha256:
            raise ApiKeyRequiredError(f"workspace {name!r} requires an API key")
        return WorkspaceId(name)

    def models(self, workspace: WorkspaceId) -> list[str]:
        """Returns the models that a workspace may use, sorted by name."""
        allowed = self._allowed_services(workspace)
        return sorted(
            model for model, names in self._by_model.items() if not allowed.isdisjoint(names)
        )

    def model_service(self, workspace: WorkspaceId, model: str) -> ServiceName:
        """Returns the service, the first one by name, that offers a model to a workspace.

        Raises:
            UnknownModelError: no service offers it.
            ServiceForbiddenError: the workspace may not call the services that offer it.
        """
        allowed = self._allowed_services(workspace)
        services = self._by_model.get(model)
        if not services:
            raise UnknownModelError(f"there is no model {model!r}", param="model")
        for service in services:
            if service in allowed:
                return service
        raise ServiceForbiddenError(f"the workspace may not use model {model!r}", param="model")

    def plain_service(self, workspace: WorkspaceId, name: str) -> ServiceDeclaration:
        """Returns the declaration of a plain service that a workspace may call.

        Raises:
            UnknownServiceError: there is no such plain service.
            ServiceForbiddenError: the workspace may not call it.
        """
        allowed = self._allowed_services(workspace)
        declaration = self._settings.tree().services.get(name)
        if declaration is None or declaration.kind is not ServiceKind.PLAIN:
            raise UnknownServiceError(f"there is no plain service {name!r}")
        if ServiceName(name) not in allowed:
            raise ServiceForbiddenError(f"the workspace may not call {name!r}")
        return declaration

    def _allowed_services(self, workspace: WorkspaceId) -> set[ServiceName]:
        workspace_settings = self._refresh().workspaces.get(workspace)
        return (
            {ServiceName(name) for name in workspace_settings.services}
            if workspace_settings
            else set()
        )

    def _refresh(self) -> SettingsTree:
        tree = self._settings.tree()
        if tree is not self._tree:
            self._by_digest = {
                digest: WorkspaceId(name)
                for name, workspace in tree.workspaces.items()
                for digest in workspace.api_key_sha256
            }
            self._by_model = {}
            for name, declaration in sorted(tree.services.items()):
                if declaration.kind is ServiceKind.MODEL:
                    offered = self._by_model.setdefault(declaration.model or name, [])
                    offered.append(ServiceName(name))
            self._tree = tree
        return tree


def _bearer_key(request: web.Request) -> str | None:
    value = single_header(request, "Authorization")
    if value is None:
        return None
    scheme, _, key = value.partition(" ")
    if scheme.lower() != BEARER or not key.strip():
        raise BadHeaderError(
            "Authorization must use the Bearer scheme with an API key", param="Authorization"
        )
    return key.strip()
