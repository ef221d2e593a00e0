"""Read access to the settings in force for other packages."""

from __future__ import annotations

from medlarvale.errors import MedlarvaleError, Outcome
from medlarvale.ids import FailureDomain, PoolName, RegionName, ServiceName
from medlarvale.settings.schema import SettingsTree, Values
from medlarvale.settings.store import Accepted
from medlarvale.settings.tree import BranchPath, TreeResolver


class NoSettingsError(MedlarvaleError):
    """No version of the settings is in force yet, so the host serves no requests."""

    code = "settings_unavailable"
    outcome = Outcome.NOT_RUN
    http_status = 503


class CurrentSettings:
    """``SettingsProvider`` that is updated with each version that the settings task accepts."""

    def __init__(self) -> None:
        self._resolver: TreeResolver | None = None

    def accept(self, accepted: Accepted) -> None:
        """Replaces the settings by a newly accepted version."""
        self._resolver = TreeResolver(accepted.tree)

    @property
    def ready(self) -> bool:
        """Whether a version is in force."""
        return self._resolver is not None

    def tree(self) -> SettingsTree:
        """Returns the tree in force; see ``SettingsProvider.tree``.

        Raises:
            NoSettingsError: no version is in force.
        """
        return self._require_resolver().tree

    def value(
        self,
        name: str,
        region: RegionName,
        failure_domain: FailureDomain,
        service: ServiceName | None = None,
        pool: PoolName | None = None,
    ) -> int:
        """Returns a value in force; see ``SettingsProvider.value``.

        Raises:
            NoSettingsError: no version is in force.
            UnknownBranchError: the tree has no such branch.
        """
        path = BranchPath(region, failure_domain, service, pool)
        found: int = getattr(self._require_resolver().values_at(path), name)
        return found

    def values(self, path: BranchPath) -> Values:
        """Returns all values in force at a branch."""
        return self._require_resolver().values_at(path)

    def _require_resolver(self) -> TreeResolver:
        if self._resolver is None:
            raise NoSettingsError("no settings are in force yet")
        return self._resolver
