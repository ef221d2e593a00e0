"""What other parts need of the settings in force."""

from __future__ import annotations

from typing import Protocol

from medlarvale.ids import FailureDomain, PoolName, RegionName, ServiceName
from medlarvale.settings.schema import SettingsTree


class SettingsProvider(Protocol):
    """The version of the settings tree that holds now."""

    def tree(self) -> SettingsTree:
        """Returns the tree in force; the same object until a newer version is in force."""

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
