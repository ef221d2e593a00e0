"""Inheritance of settings: the value in force at a branch and the branch that set it."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import msgspec

from medlarvale.ids import FailureDomain, PoolName, RegionName, ServiceName
from medlarvale.settings.errors import UnknownBranchError, UnknownKeyError
from medlarvale.settings.schema import (
    DEFAULT_VALUES,
    FailureDomainBranch,
    RegionBranch,
    SettingsTree,
    Values,
)

SettingValue = int | bool


class Level(enum.Enum):
    """Levels of the tree in ascending order of precedence."""

    DEFAULT = "default"
    FLEET = "fleet"
    REGION = "region"
    FAILURE_DOMAIN = "failure domain"
    SERVICE = "service"
    POOL = "pool"


class BranchPath(msgspec.Struct, frozen=True):
    """Path of a branch; it ends at the first None, and an empty path is the fleet."""

    region: RegionName | None = None
    failure_domain: FailureDomain | None = None
    service: ServiceName | None = None
    pool: PoolName | None = None

    def __str__(self) -> str:
        parts = (self.region, self.failure_domain, self.service, self.pool)
        return "/".join(part for part in parts if part is not None)


class Setting(msgspec.Struct, frozen=True):
    """The value of a setting in force at a branch.

    Attributes:
        level: level of the branch that set it.
        branch: path of the branch that set it; empty for the fleet and for built-in defaults.
    """

    key: str
    value: SettingValue
    level: Level
    branch: str

    @property
    def origin(self) -> str:
        """The branch that set the value, as shown to operators."""
        if self.level is Level.DEFAULT:
            return "built-in default"
        return f"{self.level.value} {self.branch}".strip()


def parse_branch(text: str) -> BranchPath:
    """Parses a path ``region/failure-domain/service/pool``, whose last parts may be omitted.

    Raises:
        UnknownBranchError: for an empty part or more than four parts.
    """
    parts = text.strip("/").split("/") if text.strip("/") else []
    if len(parts) > 4 or "" in parts:
        raise UnknownBranchError(f"{text!r}: expected region/failure-domain/service/pool")
    region, domain, service, pool = parts + [None] * (4 - len(parts))
    return BranchPath(
        RegionName(region) if region else None,
        FailureDomain(domain) if domain else None,
        ServiceName(service) if service else None,
        PoolName(pool) if pool else None,
    )


def setting_at(tree: SettingsTree, path: BranchPath, key: str) -> Setting:
    """Returns the value of ``key`` in force at ``path``; the lowest branch that sets it wins.

    Raises:
        UnknownBranchError: the tree has no such branch.
        UnknownKeyError: no setting has this name.
    """
    if key not in Values.model_fields:
        raise UnknownKeyError(f"{key!r} is not a setting")
    resolved: Setting | None = None
    for level, branch, values in _branches(tree, path):
        value = getattr(values, key)
        if value is not None:
            resolved = Setting(key, value, level, branch)
    assert resolved is not None, f"{key} has no built-in default"
    return resolved


def settings_at(tree: SettingsTree, path: BranchPath) -> list[Setting]:
    """Returns all settings in force at ``path`` in the order of the schema.

    Raises:
        UnknownBranchError: the tree has no such branch.
    """
    return [setting_at(tree, path, key) for key in Values.model_fields]


class TreeResolver:
    """Resolves the values in force of one tree and caches them by branch for frequent lookups."""

    def __init__(self, tree: SettingsTree) -> None:
        self.tree = tree
        self._resolved: dict[BranchPath, Values] = {}

    def values_at(self, path: BranchPath) -> Values:
        """Returns the values in force at ``path``; none of them is None.

        Raises:
            UnknownBranchError: the tree has no such branch.
        """
        values = self._resolved.get(path)
        if values is None:
            resolved = {setting.key: setting.value for setting in settings_at(self.tree, path)}
            values = Values.model_validate(resolved)
            self._resolved[path] = values
        return values


def _branches(tree: SettingsTree, path: BranchPath) -> Iterator[tuple[Level, str, Values]]:
    """Yields the branches from the built-in defaults down to ``path``."""
    yield Level.DEFAULT, "", DEFAULT_VALUES
    yield Level.FLEET, "", tree.values
    if path.region is None:
        return
    region = tree.regions.get(path.region)
    if region is None:
        raise UnknownBranchError(f"no region {path.region!r} in the tree")
    yield Level.REGION, str(BranchPath(path.region)), region.values
    if path.failure_domain is None:
        return
    domain = _failure_domain(region, path)
    yield (
        Level.FAILURE_DOMAIN,
        str(BranchPath(path.region, path.failure_domain)),
        domain.values,
    )
    if path.service is not None:
        yield from _service_branches(tree, domain, path, path.service)


def _failure_domain(region: RegionBranch, path: BranchPath) -> FailureDomainBranch:
    domain = region.failure_domains.get(path.failure_domain or "")
    if domain is None:
        raise UnknownBranchError(f"no failure domain {path.failure_domain!r} in {path.region!r}")
    return domain


def _service_branches(
    tree: SettingsTree, domain: FailureDomainBranch, path: BranchPath, service: ServiceName
) -> Iterator[tuple[Level, str, Values]]:
    """Yields the overrides of the service and of the pool; without any, they inherit all values."""
    declaration = tree.services.get(service)
    if declaration is None:
        raise UnknownBranchError(f"no service {service!r} in the tree")
    branch = domain.services.get(service)
    if branch is not None:
        branch_path = str(BranchPath(path.region, path.failure_domain, service))
        yield Level.SERVICE, branch_path, branch.values
    if path.pool is None:
        return
    if path.pool not in declaration.pools:
        raise UnknownBranchError(f"no pool {path.pool!r} in service {service!r}")
    if branch is not None and path.pool in branch.pools:
        yield Level.POOL, str(path), branch.pools[path.pool].values
