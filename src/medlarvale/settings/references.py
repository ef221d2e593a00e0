"""Cross-reference checks of a settings tree: names must be declared and pools must exist.

The functions read plain values instead of the schema's types, so that these problems are
reported in the same run as schema errors elsewhere in the tree.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from medlarvale.settings.errors import Problem
from medlarvale.settings.parsing import join_path
from medlarvale.settings.schema import PoolRole, ServiceKind

RawNode = dict[str, Any]

MODEL_ROLES = (PoolRole.PREFILL.value, PoolRole.DECODE.value)
KIND_ROLES = {
    ServiceKind.MODEL.value: MODEL_ROLES,
    ServiceKind.PLAIN.value: (PoolRole.PLAIN.value,),
}


def check_references(tree: Any) -> list[Problem]:
    """Returns the problems in references between different parts of the tree."""
    problems: list[Problem] = []
    if isinstance(tree, dict):
        problems += _check_services(tree)
        problems += _check_workspaces(tree)
        problems += _check_regions(tree)
    return problems


def _node_at(value: Any, key: str) -> RawNode:
    """Returns the mapping at ``key``; an empty one if it is invalid, which the schema reports."""
    member = value.get(key) if isinstance(value, dict) else None
    return member if isinstance(member, dict) else {}


def _child_nodes(value: Any, key: str) -> Iterator[tuple[str, RawNode]]:
    for name, member in _node_at(value, key).items():
        if isinstance(member, dict):
            yield name, member


def _dangling(path: str, kind: str, name: Any, declared: RawNode) -> Iterator[Problem]:
    if isinstance(name, str) and name not in declared:
        known = ", ".join(sorted(declared)) or "none"
        yield Problem(path, f"the name of a declared {kind} ({known})", repr(name))


def _check_services(tree: RawNode) -> Iterator[Problem]:
    paths_by_model: dict[str, str] = {}
    for name, service in _child_nodes(tree, "services"):
        path = f"services/{name}"
        yield from _check_pools(path, service)
        if service.get("kind") == ServiceKind.PLAIN.value:
            yield from _check_plain(path, service, tree)
        if service.get("kind") == ServiceKind.MODEL.value:
            yield from _check_model(path, service, paths_by_model)


def _check_pools(path: str, service: RawNode) -> Iterator[Problem]:
    required_roles = KIND_ROLES.get(str(service.get("kind")))
    if required_roles is None:
        return
    present = [pool.get("role") for _, pool in _child_nodes(service, "pools")]
    for role in required_roles:
        if role not in present:
            yield Problem(f"{path}/pools", f"a pool of role {role}")
    for name, pool in _child_nodes(service, "pools"):
        pool_role = pool.get("role")
        if pool_role in [known.value for known in PoolRole] and pool_role not in required_roles:
            expected = f"{' or '.join(required_roles)} for a service of kind {service['kind']}"
            yield Problem(f"{path}/pools/{name}/role", expected, repr(pool_role))


def _check_plain(path: str, service: RawNode, tree: RawNode) -> Iterator[Problem]:
    policy_path = f"{path}/retry_policy"
    policy = service.get("retry_policy")
    if policy is None:
        yield Problem(policy_path, "the name of a retry policy, as the service is plain")
    yield from _dangling(policy_path, "retry policy", policy, _node_at(tree, "retry_policies"))
    if service.get("model") is not None:
        yield Problem(f"{path}/model", "no model, as the service is plain", repr(service["model"]))


def _check_model(path: str, service: RawNode, paths_by_model: dict[str, str]) -> Iterator[Problem]:
    model = service.get("model")
    if model is None:
        yield Problem(f"{path}/model", "the name of the model that callers request")
    elif isinstance(model, str) and paths_by_model.setdefault(model, path) != path:
        # Callers select a model service only by its model, so the model must be unique.
        yield Problem(
            f"{path}/model", f"a model that {paths_by_model[model]} does not use", repr(model)
        )
    if service.get("retry_policy") is not None:
        yield Problem(
            f"{path}/retry_policy",
            "no retry policy, as the service is a model service",
            repr(service["retry_policy"]),
        )


def _check_workspaces(tree: RawNode) -> Iterator[Problem]:
    services = _node_at(tree, "services")
    paths_by_digest: dict[str, str] = {}
    for name, workspace in _child_nodes(tree, "workspaces"):
        path = f"workspaces/{name}"
        for index, service in _indexed_items(workspace, "services"):
            yield from _dangling(f"{path}/services/{index}", "service", service, services)
        for index, digest in _indexed_items(workspace, "api_key_sha256"):
            digest_path = f"{path}/api_key_sha256/{index}"
            # With a shared key, requests of one customer could be attributed to another.
            if (
                isinstance(digest, str)
                and paths_by_digest.setdefault(digest, digest_path) != digest_path
            ):
                yield Problem(
                    digest_path,
                    f"a digest other than that of {paths_by_digest[digest]}",
                    repr(digest),
                )


def _indexed_items(value: RawNode, key: str) -> list[tuple[int, Any]]:
    member = value.get(key)
    return list(enumerate(member)) if isinstance(member, list) else []


def _check_regions(tree: RawNode) -> Iterator[Problem]:
    declared = _node_at(tree, "services")
    region_by_domain: dict[str, str] = {}
    for region_name, region in _child_nodes(tree, "regions"):
        for domain_name, domain in _child_nodes(region, "failure_domains"):
            path = f"regions/{region_name}/failure_domains/{domain_name}"
            # The host list contains failure domains without their region, so names must be unique.
            if region_by_domain.setdefault(domain_name, region_name) != region_name:
                other = region_by_domain[domain_name]
                yield Problem(path, f"a name not used in region {other}", repr(domain_name))
            for name, branch in _child_nodes(domain, "services"):
                yield from _check_branch(f"{path}/services/{name}", name, branch, declared)


def _check_branch(path: str, service: str, branch: RawNode, declared: RawNode) -> Iterator[Problem]:
    if service not in declared:
        yield from _dangling(path, "service", service, declared)
        return
    pools = _node_at(declared[service], "pools")
    for name, _ in _child_nodes(branch, "pools"):
        yield from _dangling(join_path(f"{path}/pools", name), f"pool of {service}", name, pools)
