"""Errors of the callers' interface, raised before anything is dispatched."""

from __future__ import annotations

from medlarvale.errors import MedlarvaleError, Outcome


class CallerRequestError(MedlarvaleError):
    """The request was rejected.

    Attributes:
        param: field or header that caused the error, if known.
    """

    code = "bad_request"
    outcome = Outcome.NOT_RUN
    http_status = 400

    def __init__(self, message: str = "", *, param: str | None = None) -> None:
        super().__init__(message)
        # Header names of aiohttp are a subclass of str that the JSON encoder rejects.
        self.param = None if param is None else str(param)


class MalformedRequestError(CallerRequestError):
    """The request is not well-formed HTTP, or its framing is ambiguous."""

    code = "malformed_request"


class BadJsonError(CallerRequestError):
    """The body is not valid JSON or is nested too deeply."""

    code = "bad_json"


class BadValueError(CallerRequestError):
    """A field of the body is missing, of a wrong type or out of range."""

    code = "bad_value"


class UnsupportedParameterError(CallerRequestError):
    """A field of the body requests something that the engines do not support."""

    code = "unsupported_parameter"


class PromptTooLongError(CallerRequestError):
    """The prompt has more tokens than the service accepts."""

    code = "prompt_too_long"


class BadHeaderError(CallerRequestError):
    """A header has an invalid value or is repeated."""

    code = "bad_header"


class BadPathError(CallerRequestError):
    """The path is ambiguous, so the retry policy cannot be applied to it safely."""

    code = "bad_path"


class IdempotencyKeyMissingError(CallerRequestError):
    """The call may run at most once and needs an ``Idempotency-Key``."""

    code = "idempotency_key_missing"


class BodyTooLargeError(CallerRequestError):
    """The body is larger than the service accepts."""

    code = "body_too_large"
    http_status = 413


class BodyTimeoutError(CallerRequestError):
    """The body did not arrive in time."""

    code = "body_timeout"
    http_status = 408


class WorkspaceMissingError(CallerRequestError):
    """The request names no workspace."""

    code = "workspace_missing"
    http_status = 401


class UnknownApiKeyError(CallerRequestError):
    """The API key belongs to no workspace."""

    code = "unknown_api_key"
    http_status = 401


class ApiKeyRequiredError(CallerRequestError):
    """The workspace has API keys, so its name alone does not authenticate a caller."""

    code = "api_key_required"
    http_status = 401


class UnknownWorkspaceError(CallerRequestError):
    """No workspace has the given name, or the API key belongs to another workspace."""

    code = "unknown_workspace"
    http_status = 403


class ServiceForbiddenError(CallerRequestError):
    """The workspace may not call the service."""

    code = "service_forbidden"
    http_status = 403


class UnknownServiceError(CallerRequestError):
    """No plain service has the given name."""

    code = "unknown_service"
    http_status = 404


class UnknownModelError(CallerRequestError):
    """No service offers the model."""

    code = "model_not_found"
    http_status = 404


class NotFoundError(CallerRequestError):
    """The interface has no such path."""

    code = "not_found"
    http_status = 404


class MethodNotAllowedError(CallerRequestError):
    """The path does not support the method."""

    code = "method_not_allowed"
    http_status = 405


class HttpRefusedError(CallerRequestError):
    """The HTTP layer rejected the request, for example because of an unknown ``Expect``."""

    code = "http_refused"
