"""Settings file that the platform gives to each process: lines of ``Name.Part=value``."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TypeVar

from medlarvale.errors import MedlarvaleError
from medlarvale.forwarding.messages import HostParameters
from medlarvale.ids import FailureDomain, HostId

ValueT = TypeVar("ValueT")


class BootSettingsError(MedlarvaleError):
    """The settings file lacks a value or holds an unusable one."""

    code = "boot_settings_invalid"


def parse_lines(text: str) -> dict[str, str]:
    """Returns the values by name; lines without ``=`` and comments are passed over."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not name.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values


def _take(
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
    if not separator or not ip or not port.isdigit():
        raise ValueError("expected IP:PORT")
    return text


def _seconds_as_ms(text: str) -> float:
    return float(text) * 1000.0


def _addresses(text: str) -> tuple[str, ...]:
    return tuple(_address(part) for part in text.split(",") if part)


def decode_boot_settings(text: str) -> HostParameters:
    """Returns the place that a settings file describes; unknown names are ignored.

    Raises:
        BootSettingsError: with every fault found.
    """
    values, faults = parse_lines(text), list[str]()
    # Lists the hosts that other hosts may ask; absent where no role serves control.
    seeds = _addresses(values.get("Seeds", ""))
    place = HostParameters(
        host=HostId(_take(values, faults, "NodeName", str, "")),
        failure_domain=FailureDomain(_take(values, faults, "Zone", str, "")),
        listen_caller=_take(values, faults, "Listen.Front", _address, ""),
        listen_ready=_take(values, faults, "Listen.Ready", _address, ""),
        listen_control=_take(values, faults, "Listen.Control", _address, ""),
        seed_addresses=seeds,
        platform_address=_take(values, faults, "Platform.Address", _address, ""),
        grace_ms=_take(values, faults, "Bounds.GraceS", _seconds_as_ms, 0.0),
        retry_share=_take(values, faults, "Bounds.RetryBudgetRatio", float, 0.0),
        retry_reserve=_take(values, faults, "Bounds.BudgetSlack", float, 0.0),
        lease_ms=_take(values, faults, "Bounds.LeaseMs", float, 0.0),
    )
    if faults:
        raise BootSettingsError("; ".join(faults))
    return place


def read_boot_settings(path: Path) -> HostParameters:
    """Reads the settings file.

    Raises:
        BootSettingsError: if it can't be read or holds unusable values.
    """
    try:
        return decode_boot_settings(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise BootSettingsError(f"{path}: {error}") from error
