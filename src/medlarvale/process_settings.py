"""Process settings of an entry host, from flags and environment variables of the same names."""

from __future__ import annotations

import argparse
import ipaddress
import resource
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from medlarvale.errors import MedlarvaleError
from medlarvale.flags import add_flag
from medlarvale.ids import FailureDomain, HostId, RegionName
from medlarvale.peers.key_file import read_key_file
from medlarvale.tls import CertificateFiles, TlsFiles, TlsFilesError, client_context, server_context

MIN_TOKEN_CHARACTERS = 16
BYTES_PER_MB = 1_000_000
TLS_FLAGS = {
    "--caller-cert-file": "certificate chain of the callers' port (PEM); HTTP without it",
    "--caller-key-file": "key of that certificate (PEM)",
    "--operators-cert-file": "certificate chain of the operators' port (PEM); HTTP without it",
    "--operators-key-file": "key of that certificate (PEM)",
    "--backend-ca-file": "certificates trusted for https:// backend servers (PEM)",
    "--backend-cert-file": "certificate presented to https:// backend servers (PEM)",
    "--backend-key-file": "key of that certificate (PEM)",
}


class ProcessSettingsError(MedlarvaleError):
    """A process setting is invalid; the process does not start."""

    code = "process_settings_invalid"


@dataclass(frozen=True)
class ListenAddress:
    """An IP address and port to listen on."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


@dataclass(frozen=True)
class ProcessSettings:
    """Settings that a process reads when it starts.

    Attributes:
        platform_url: base URL of the configuration service and host list; empty without one.
        settings_file: settings tree to use if no other source provides one, or without platform.
        peer_keys: shared keys of the entry hosts, the signing key first, as read at the start.
        peer_key_file: file of ``peer_keys``; reloaded when it changes.
        leave_grace_ms: time for which a leaving host still accepts requests, so that the load
            balancer can notice that it leaves.
        memory_bytes: memory of the process; None if it is unknown.
        max_descriptors: most descriptors of the process; None without a limit.
    """

    host: HostId
    region: RegionName
    failure_domain: FailureDomain
    listen_caller: ListenAddress
    listen_peer: ListenAddress
    listen_operators: ListenAddress
    platform_url: str
    settings_file: Path | None
    peer_keys: dict[str, bytes]
    peer_key_file: Path
    operator_token: str
    trace_file: Path | None
    log_level: str
    leave_grace_ms: int
    tls: TlsFiles = TlsFiles()
    memory_bytes: int | None = None
    max_descriptors: int | None = None


def parse_listen(text: str) -> ListenAddress:
    """Returns the address given as ``ip:port``.

    Raises:
        ValueError: unless the text is an IP address and a port from 1 to 65535.
    """
    ip, separator, port = text.rpartition(":")
    ip = ip.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(ip)
    if not separator or not port.isdecimal() or not 1 <= int(port) <= 65_535:
        raise ValueError(f"{text!r}: expected ip:port")
    return ListenAddress(ip, int(port))


def add_serve_flags(parser: argparse.ArgumentParser) -> None:
    """Adds the flags of ``medlarvale serve``."""
    add_flag(parser, "--host", help_text="name of this entry host in the platform's list")
    add_flag(parser, "--region", help_text="region of this host")
    add_flag(parser, "--failure-domain", help_text="failure domain of this host")
    for name, purpose in [
        ("caller", "HTTP interface for callers"),
        ("peer", "messages between entry hosts"),
        ("operators", "HTTP interface for operators"),
    ]:
        add_flag(parser, f"--listen-{name}", help_text=f"ip:port, {purpose}", parse=parse_listen)
    add_flag(parser, "--platform-url", help_text="configuration service and host list", default="")
    add_flag(parser, "--settings-file", help_text="settings tree used as default", default="")
    add_flag(
        parser,
        "--peer-key-file",
        help_text="lines of 'key-id hex-secret', the signing key first; all are accepted",
    )
    add_flag(parser, "--operator-token-file", help_text="bearer token of the operators' port")
    for flag, purpose in TLS_FLAGS.items():
        add_flag(parser, flag, help_text=purpose, default="")
    add_flag(parser, "--trace-file", help_text="file for spans as JSON lines", default="")
    add_flag(parser, "--log-level", help_text="debug, info, warning or error", default="info")
    add_flag(
        parser,
        "--leave-grace-ms",
        help_text="time for which a leaving host still accepts requests",
        default="3000",
        parse=int,
    )
    add_flag(
        parser,
        "--memory-mb",
        help_text="memory of the process, which bounds what callers hold; 0 if unknown",
        default="0",
        parse=int,
    )


def read_process_settings(options: argparse.Namespace) -> ProcessSettings:
    """Returns the settings given by the flags.

    Raises:
        ProcessSettingsError: with every fault found, one per line.
    """
    faults: list[str] = []
    keys = _read_or_report(faults, "--peer-key-file", read_key_file, options.peer_key_file) or {}
    token = _read_or_report(
        faults, "--operator-token-file", _read_token, options.operator_token_file
    )
    tls = _read_tls(faults, options)
    if not options.platform_url and not options.settings_file:
        faults.append("--platform-url or --settings-file: at least one of them is required")
    if options.settings_file and not Path(options.settings_file).is_file():
        faults.append(f"--settings-file: no such file {options.settings_file!r}")
    if options.log_level not in ("debug", "info", "warning", "error"):
        faults.append(f"--log-level: unknown level {options.log_level!r}")
    if options.leave_grace_ms < 0:
        faults.append("--leave-grace-ms: expected 0 or more")
    if options.memory_mb < 0:
        faults.append("--memory-mb: expected 0 or more")
    if faults:
        raise ProcessSettingsError("\n".join(faults))
    return ProcessSettings(
        HostId(options.host),
        RegionName(options.region),
        FailureDomain(options.failure_domain),
        options.listen_caller,
        options.listen_peer,
        options.listen_operators,
        options.platform_url,
        Path(options.settings_file) if options.settings_file else None,
        keys,
        Path(options.peer_key_file),
        token or "",
        Path(options.trace_file) if options.trace_file else None,
        options.log_level,
        options.leave_grace_ms,
        tls,
        options.memory_mb * BYTES_PER_MB or None,
        _max_descriptors(),
    )


def _max_descriptors() -> int | None:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if limit == resource.RLIM_INFINITY else limit


def _read_or_report(faults: list[str], flag: str, read: Any, path: str) -> Any:
    try:
        return read(Path(path))
    except (OSError, ValueError) as error:
        faults.append(f"{flag}: {error}")
        return None


def _read_tls(faults: list[str], options: argparse.Namespace) -> TlsFiles:
    pairs: dict[str, CertificateFiles | None] = {}
    for side in ("caller", "operators", "backend"):
        cert, key = getattr(options, f"{side}_cert_file"), getattr(options, f"{side}_key_file")
        if bool(cert) != bool(key):
            faults.append(f"--{side}-cert-file and --{side}-key-file: only one of them is given")
        pairs[side] = CertificateFiles(Path(cert), Path(key)) if cert and key else None
        if files := pairs[side]:
            _check_tls(faults, f"--{side}-cert-file", partial(server_context, files))
    ca = Path(options.backend_ca_file) if options.backend_ca_file else None
    if ca is not None:
        _check_tls(faults, "--backend-ca-file", partial(client_context, ca))
    return TlsFiles(pairs["caller"], pairs["operators"], ca, pairs["backend"])


def _check_tls(faults: list[str], flag: str, load: Callable[[], object]) -> None:
    try:
        load()
    except TlsFilesError as error:
        faults.append(f"{flag}: {error.message}")


def _read_token(path: Path) -> str:
    token = path.read_text().strip()
    if len(token) < MIN_TOKEN_CHARACTERS:
        raise ValueError(f"expected a token of at least {MIN_TOKEN_CHARACTERS} characters")
    return token
