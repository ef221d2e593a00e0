"""Errors of the settings package."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from medlarvale.errors import MedlarvaleError, Outcome


class Problem(msgspec.Struct, frozen=True):
    """One fault in a settings tree.

    Attributes:
        path: location in the tree, such as ``services/comptoir/retry_policy``; empty for the whole
            tree.
        expected: description of a valid value.
        found: the present value, shortened; empty if there is none.
    """

    path: str
    expected: str
    found: str = ""

    def __str__(self) -> str:
        found = f", found {self.found}" if self.found else ""
        return f"{self.path or '(whole tree)'}: expected {self.expected}{found}"


class SettingsError(MedlarvaleError):
    """Base class of the settings errors, all of which are raised before a request is dispatched."""

    code = "settings_error"
    outcome = Outcome.NOT_RUN


class SettingsRejectedError(SettingsError):
    """A tree is invalid.

    Attributes:
        problems: all faults of the tree.
    """

    code = "settings_rejected"
    http_status = 400

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class UnknownBranchError(SettingsError):
    """The tree has no branch at the given path."""

    code = "settings_branch_unknown"
    http_status = 404


class UnknownKeyError(SettingsError):
    """No setting has the given name."""

    code = "settings_key_unknown"
    http_status = 404


class SourceError(SettingsError):
    """The configuration source failed, timed out or returned an invalid response."""

    code = "settings_source_failed"
    http_status = 503


class SourceBusyError(SourceError):
    """The configuration service rejected the call because its rate limit was exceeded."""

    code = "settings_source_busy"
