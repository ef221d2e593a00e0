"""The settings version in force, which only ever moves to a higher one."""

from __future__ import annotations

from collections import OrderedDict

import msgspec
import xxhash

from medlarvale.ids import ConfigVersion
from medlarvale.settings.check import check_text
from medlarvale.settings.errors import Problem, SettingsRejectedError
from medlarvale.settings.schema import SettingsTree

# Below every version; what a host reports while no version is in force.
NO_VERSION = ConfigVersion(-1)
# Below every version of a source, so that the first answer of a source replaces it.
DEFAULT_VERSION = ConfigVersion(0)
REMEMBERED_REJECTIONS = 16


class Accepted(msgspec.Struct, frozen=True):
    """A version that passed the check and is now in force.

    Attributes:
        text: the text it was read from, for peers that ask.
    """

    version: ConfigVersion
    text: bytes
    tree: SettingsTree


class Rejected(msgspec.Struct, frozen=True):
    """A version that failed the check and changed nothing.

    Attributes:
        digest: xxh3 of the text, so that the same version in other text is checked again.
    """

    version: ConfigVersion
    digest: int
    problems: tuple[Problem, ...]


class Ignored(msgspec.Struct, frozen=True):
    """A version that is not higher than the one in force, or was rejected before."""

    version: ConfigVersion


Verdict = Accepted | Rejected | Ignored


class SettingsStore:
    """Keeps the newest valid version.

    Attributes:
        in_force: the version in force; None until the first one is accepted.
    """

    def __init__(self) -> None:
        self.in_force: Accepted | None = None
        self._rejected: OrderedDict[ConfigVersion, Rejected] = OrderedDict()

    @property
    def version(self) -> ConfigVersion:
        """The number of the version in force, or ``NO_VERSION``."""
        return NO_VERSION if self.in_force is None else self.in_force.version

    @property
    def newest_seen(self) -> ConfigVersion:
        """The highest version offered so far, whether it was accepted or rejected."""
        return max([self.version, *self._rejected])

    @property
    def rejections(self) -> list[Rejected]:
        """The latest rejected versions, oldest first."""
        return list(self._rejected.values())

    def is_rejected(self, version: ConfigVersion) -> bool:
        """Tells whether a version was rejected and is remembered."""
        return version in self._rejected

    def offer(self, version: ConfigVersion, text: bytes) -> Verdict:
        """Puts a version in force if it is higher than the present one and passes the check."""
        if version <= self.version:
            return Ignored(version)
        digest = xxhash.xxh3_64_intdigest(text)
        known = self._rejected.get(version)
        if known is not None and known.digest == digest:
            return Ignored(version)
        try:
            tree = check_text(text)
        except SettingsRejectedError as error:
            return self._remember(Rejected(version, digest, error.problems))
        self.in_force = Accepted(version, text, tree)
        self._rejected.pop(version, None)
        return self.in_force

    def _remember(self, rejected: Rejected) -> Rejected:
        self._rejected[rejected.version] = rejected
        self._rejected.move_to_end(rejected.version)
        while len(self._rejected) > REMEMBERED_REJECTIONS:
            self._rejected.popitem(last=False)
        return rejected
