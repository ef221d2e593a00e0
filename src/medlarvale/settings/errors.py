"""Errors of the settings layer."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from medlarvale.errors import MedlarvaleError, Outcome


class Problem(msgspec.Struct, frozen=True):
    """One fault in a settings tree.

    Attributes:
        path: where it is, such as ``services/comptoir/retry_policy``; empty for the whole tree.
        expected: what would be right there.
        found: what is there, shortened; empty if nothing is.
    """

    path: str
    expected: str
    found: str = ""

    def __str__(self) -> str:
        found = f", found {self.found}" if self.found else ""
        return f"{self.path or '(whole tree)'}: expected {self.expected}{found}"


class SettingsError(MedlarvaleError):
    """Base of the errors of this layer; none of them is raised after a request was dispatched."""

    code = "settings_error"
    outcome = Outcome.NOT_RUN


class SettingsRejectedError(SettingsError):
    """A tree failed the check.

    Attributes:
        problems: all faults found.
    """

    code = "settings_rejected"
    http_status = 400

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class UnknownBranchError(SettingsError):
    """A path names a branch that the tree does not have."""

    code = "settings_branch_unknown"
    http_status = 404


class UnknownKeyError(SettingsError):
    """No setting has this name."""

    code = "settings_key_unknown"
    http_status = 404


class SourceError(SettingsError):
    """The configuration source gave no usable answer."""

    code = "settings_source_failed"
    http_status = 503


class SourceBusyError(SourceError):
    """The configuration service refused the call because its rate limit is reached."""

    code = "settings_source_busy"
