"""Reads the file with the shared keys of the entry hosts."""

from __future__ import annotations

from pathlib import Path

from medlarvale.clock import Clock
from medlarvale.file_watch import WatchedFiles
from medlarvale.peers.auth import SharedKeys


def read_key_file(path: Path) -> dict[str, bytes]:
    """Returns the secrets by key id, the signing key first.

    The file has one line ``key-id hex-secret`` per key.

    Raises:
        OSError: the file cannot be read.
        ValueError: the file is malformed, a key id is repeated or a key has an invalid length.
    """
    keys: dict[str, bytes] = {}
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        parts = line.split()
        if not parts:
            continue
        if len(parts) != 2:
            raise ValueError(f"line {number}: expected 'key-id hex-secret'")
        if parts[0] in keys:
            raise ValueError(f"line {number}: key id {parts[0]!r} is repeated")
        try:
            keys[parts[0]] = bytes.fromhex(parts[1])
        except ValueError as error:
            # The message must not contain the secret, because it is logged.
            raise ValueError(f"line {number}: the secret is not hexadecimal") from error
    if not keys:
        raise ValueError("the file contains no key")
    SharedKeys(keys)
    return keys


def watched_key_file(keys: SharedKeys, path: Path, clock: Clock) -> WatchedFiles:
    """Returns the key file for a file watch, which replaces ``keys`` when the file changes."""
    return WatchedFiles(
        "peer keys", (path,), lambda: keys.replace(read_key_file(path), clock.wall_ms())
    )
