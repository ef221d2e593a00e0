"""Interface through which other packages read the settings in force."""

from __future__ import annotations

from typing import Protocol

from medlarvale.ids import FailureDomain, PoolName, RegionName, ServiceName
from medlarvale.settings.schema import SettingsTree


class SettingsProvider(Protocol):
    """Read access to the version of the settings tree in force."""

    def tree(self) -> SettingsTree:
        """Returns the tree in force, the same object until a newer version replaces it."""

    def value(
        self,
        name: str,
        region: RegionName,
        failure_domain: FailureDomain,
        service: ServiceName | None = None,
        pool: PoolName | None = None,
    ) -> int:
        """Returns the value of one setting on the most specific branch that sets it.

        Args:
            name: field of ``settings.schema.Values``.
        """
