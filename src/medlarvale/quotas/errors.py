"""Errors of workspace quotas."""

from __future__ import annotations

from medlarvale.errors import Outcome
from medlarvale.forwarding.errors import ForwardingError


class QuotaExceededError(ForwardingError):
    """The workspace has used up its quota; the request has not run."""

    code = "quota_exceeded"
    outcome = Outcome.NOT_RUN
    http_status = 429
