"""Settings file that the platform writes for each process: lines of ``Name.Part=value``."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TypeVar

from medlarvale.errors import MedlarvaleError
from medlarvale.forwarding.messages import MAX_NUMBER, MAX_PORT, HostParameters
from medlarvale.ids import FailureDomain, HostId

ValueT = TypeVar("ValueT")
BYTES_PER_MB = 1_000_000


class BootSettingsError(MedlarvaleError):
    """The settings file can't be read, or a value is missing or invalid."""

    code = "boot_settings_invalid"


def parse_lines(text: str) -> dict[str, str]:
    """Returns the values by name; comments and lines without ``=`` are skipped."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not name.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values


def _read_value(
    values: Mapping[str, str],
    faults: list[str],
    name: str,
    parse: Callable[[str], ValueT],
    default: ValueT,
) -> ValueT:
    text = values.get(name, "")
    if not text:
        faults.append(f"{name}: missing")
        return default
    try:
        return parse(text)
    except ValueError:
        faults.append(f"{name}: unusable value {text!r}")
        return default


def _address(text: str) -> str:
    ip, separator, port = text.rpartition(":")
    if not separator or not ip or not 1 <= int(port) <= MAX_PORT:
        raise ValueError("expected IP:PORT")
    return text


def _amount(text: str) -> float:
    amount = float(text)
    if not 0.0 <= amount <= MAX_NUMBER:
        raise ValueError("expected a finite amount")
    return amount


def _seconds_as_ms(text: str) -> float:
    return _amount(text) * 1000.0


def _addresses(text: str) -> tuple[str, ...]:
    return tuple(_address(part) for part in text.split(",") if part)


def decode_boot_settings(text: str) -> HostParameters:
    """Returns the host's configuration from the text of a settings file; ignores unknown names.

    Raises:
        BootSettingsError: lists every fault in the file.
    """
    values, faults = parse_lines(text), list[str]()
    # Seeds lists the hosts that answer control queries; it is absent if no role serves control.
    no_seeds: tuple[str, ...] = ()
    seeds = no_seeds
    if values.get("Seeds"):
        seeds = _read_value(values, faults, "Seeds", _addresses, no_seeds)
    parameters = HostParameters(
        host=HostId(_read_value(values, faults, "NodeName", str, "")),
        failure_domain=FailureDomain(_read_value(values, faults, "Zone", str, "")),
        listen_caller=_read_value(values, faults, "Listen.Front", _address, ""),
        listen_ready=_read_value(values, faults, "Listen.Ready", _address, ""),
        listen_control=_read_value(values, faults, "Listen.Control", _address, ""),
        seed_addresses=seeds,
        platform_address=_read_value(values, faults, "Platform.Address", _address, ""),
        grace_ms=_read_value(values, faults, "Bounds.GraceS", _seconds_as_ms, 0.0),
        retry_share=_read_value(values, faults, "Bounds.RetryBudgetRatio", _amount, 0.0),
        retry_reserve=_read_value(values, faults, "Bounds.BudgetSlack", _amount, 0.0),
        lease_ms=_read_value(values, faults, "Bounds.LeaseMs", _amount, 0.0),
        heartbeat_ms=(
            _read_value(values, faults, "HeartbeatMs", _amount, 0.0)
            if values.get("HeartbeatMs")
            else None
        ),
        history_ms=(
            _read_value(values, faults, "Platform.HistoryS", _seconds_as_ms, 0.0)
            if values.get("Platform.HistoryS")
            else None
        ),
        memory_bytes=(
            int(_read_value(values, faults, "Limits.MemoryMb", _amount, 0.0) * BYTES_PER_MB)
            if values.get("Limits.MemoryMb")
            else None
        ),
        announced_control=(
            _read_value(values, faults, "Announce.Control", _address, "")
            if values.get("Announce.Control")
            else None
        ),
        max_descriptors=(
            int(_read_value(values, faults, "Limits.MaxFds", _amount, 0.0))
            if values.get("Limits.MaxFds")
            else None
        ),
        revoke_ms=(
            _read_value(values, faults, "Bounds.RevokeMs", _amount, 0.0)
            if values.get("Bounds.RevokeOffline") == "true" and values.get("Bounds.RevokeMs")
            else None
        ),
        quota_window_ms=(
            _read_value(values, faults, "Bounds.QuotaWindowS", _seconds_as_ms, 0.0)
            if values.get("Bounds.QuotaWindowS")
            else None
        ),
        quota_overage=(
            _read_value(values, faults, "Bounds.QuotaOverage", _amount, 0.0)
            if values.get("Bounds.QuotaOverage")
            else 0.0
        ),
    )
    if faults:
        raise BootSettingsError("; ".join(faults))
    return parameters


def read_boot_settings(path: Path) -> HostParameters:
    """Reads the settings file.

    Raises:
        BootSettingsError: if it can't be read or contains invalid values.
    """
    try:
        return decode_boot_settings(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise BootSettingsError(f"{path}: {error}") from error
