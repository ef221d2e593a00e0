"""Checks across the parts of a tree: names that must be declared, pools that must exist.

The functions read plain values rather than the schema's types, so that one run reports these
faults together with schema errors elsewhere in the tree.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from medlarvale.settings.errors import Problem
from medlarvale.settings.parsing import join_path
from medlarvale.settings.schema import PoolRole, ServiceKind

Plain = dict[str, Any]

MODEL_ROLES = (PoolRole.PREFILL.value, PoolRole.DECODE.value)
KIND_ROLES = {
    ServiceKind.MODEL.value: MODEL_ROLES,
    ServiceKind.PLAIN.value: (PoolRole.PLAIN.value,),
}


def check_references(tree: Any) -> list[Problem]:
    """Returns the faults that no part of the tree shows on its own."""
    problems: list[Problem] = []
    if isinstance(tree, dict):
        problems += _check_services(tree)
        problems += _check_workspaces(tree)
        problems += _check_regions(tree)
    return problems


def _member(value: Any, key: str) -> Plain:
    """Returns the mapping at ``key``, or an empty one where the schema reports the fault."""
    member = value.get(key) if isinstance(value, dict) else None
    return member if isinstance(member, dict) else {}


def _items(value: Any, key: str) -> Iterator[tuple[str, Plain]]:
    for name, member in _member(value, key).items():
        if isinstance(member, dict):
            yield name, member


def _dangling(path: str, kind: str, name: Any, declared: Plain) -> Iterator[Problem]:
    if isinstance(name, str) and name not in declared:
        known = ", ".join(sorted(declared)) or "none"
        yield Problem(path, f"the name of a declared {kind} ({known})", repr(name))


def _check_services(tree: Plain) -> Iterator[Problem]:
    models: dict[str, str] = {}
    for name, service in _items(tree, "services"):
        path = f"services/{name}"
        yield from _check_pools(path, service)
        if service.get("kind") == ServiceKind.PLAIN.value:
            yield from _check_plain(path, service, tree)
        if service.get("kind") == ServiceKind.MODEL.value:
            yield from _check_model(path, service, models)


def _check_pools(path: str, service: Plain) -> Iterator[Problem]:
    wanted = KIND_ROLES.get(str(service.get("kind")))
    if wanted is None:
        return
    present = [pool.get("role") for _, pool in _items(service, "pools")]
    for role in wanted:
        if role not in present:
            yield Problem(f"{path}/pools", f"a pool of role {role}")
    for name, pool in _items(service, "pools"):
        given = pool.get("role")
        if given in [known.value for known in PoolRole] and given not in wanted:
            expected = f"{' or '.join(wanted)} for a service of kind {service['kind']}"
            yield Problem(f"{path}/pools/{name}/role", expected, repr(given))


def _check_plain(path: str, service: Plain, tree: Plain) -> Iterator[Problem]:
    policy_path = f"{path}/retry_policy"
    policy = service.get("retry_policy")
    if policy is None:
        yield Problem(policy_path, "the name of a retry policy, as the service is plain")
    yield from _dangling(policy_path, "retry policy", policy, _member(tree, "retry_policies"))
    if service.get("model") is not None:
        yield Problem(f"{path}/model", "no model, as the service is plain", repr(service["model"]))


def _check_model(path: str, service: Plain, models: dict[str, str]) -> Iterator[Problem]:
    model = service.get("model")
    if model is None:
        yield Problem(f"{path}/model", "the name of the model that callers give")
    elif isinstance(model, str) and models.setdefault(model, path) != path:
        # Callers address model services by model alone, so the name has to be unique.
        yield Problem(f"{path}/model", f"a model not given by {models[model]}", repr(model))
    if service.get("retry_policy") is not None:
        yield Problem(
            f"{path}/retry_policy",
            "no retry policy, as the service is a model service",
            repr(service["retry_policy"]),
        )


def _check_workspaces(tree: Plain) -> Iterator[Problem]:
    services = _member(tree, "services")
    owners: dict[str, str] = {}
    for name, workspace in _items(tree, "workspaces"):
        path = f"workspaces/{name}"
        for index, service in _entries(workspace, "services"):
            yield from _dangling(f"{path}/services/{index}", "service", service, services)
        for index, digest in _entries(workspace, "api_key_sha256"):
            place = f"{path}/api_key_sha256/{index}"
            # A shared key would let one customer's requests count as another's.
            if isinstance(digest, str) and owners.setdefault(digest, place) != place:
                yield Problem(place, f"a digest other than that of {owners[digest]}", repr(digest))


def _entries(value: Plain, key: str) -> list[tuple[int, Any]]:
    member = value.get(key)
    return list(enumerate(member)) if isinstance(member, list) else []


def _check_regions(tree: Plain) -> Iterator[Problem]:
    declared = _member(tree, "services")
    regions: dict[str, str] = {}
    for region_name, region in _items(tree, "regions"):
        for domain_name, domain in _items(region, "failure_domains"):
            path = f"regions/{region_name}/failure_domains/{domain_name}"
            # The host list names failure domains without their region.
            if regions.setdefault(domain_name, region_name) != region_name:
                other = regions[domain_name]
                yield Problem(path, f"a name not used in region {other}", repr(domain_name))
            for name, branch in _items(domain, "services"):
                yield from _check_branch(f"{path}/services/{name}", name, branch, declared)


def _check_branch(path: str, service: str, branch: Plain, declared: Plain) -> Iterator[Problem]:
    if service not in declared:
        yield from _dangling(path, "service", service, declared)
        return
    pools = _member(declared[service], "pools")
    for name, _ in _items(branch, "pools"):
        yield from _dangling(join_path(f"{path}/pools", name), f"pool of {service}", name, pools)
