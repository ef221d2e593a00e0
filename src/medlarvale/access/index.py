"""Maps the digest of an API key to the workspace that holds the key."""

from __future__ import annotations

from medlarvale.forwarding.messages import RouteTable, Workspace
from medlarvale.ids import KeyDigest
from medlarvale.logs import Event, log_warning


class KeyIndex:
    """Index of the API keys of one configuration.

    A key that two workspaces list belongs to the first of them, so that all hosts agree.
    """

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self._by_digest: dict[KeyDigest, Workspace] = {}
        for workspace in table.workspaces or ():
            for digest in workspace.key_digests:
                owner = self._by_digest.setdefault(digest, workspace)
                if owner.workspace != workspace.workspace:
                    log_warning(
                        Event.KEY_LISTED_TWICE,
                        version=table.version,
                        workspace=owner.workspace,
                        ignored=workspace.workspace,
                    )

    @property
    def needs_keys(self) -> bool:
        """Whether the configuration lists workspaces, so that requests need API keys."""
        return bool(self.table.workspaces)

    def find(self, digest: KeyDigest | None) -> Workspace | None:
        """Returns the workspace that holds a key; None if there is none."""
        return self._by_digest.get(digest) if digest is not None else None
