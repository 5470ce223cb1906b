"""All error kinds and the HTTP response for each of them."""

from enum import StrEnum
from typing import NamedTuple


class ErrorKind(StrEnum):
    """Why a request was refused or failed. Callers see the value in `X-Error-Kind`."""

    BAD_REQUEST = "bad_request"
    MISSING_KEY = "missing_key"
    UNKNOWN_KEY = "unknown_key"
    WITHDRAWN_KEY = "withdrawn_key"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_MODEL = "unknown_model"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BAD_IDEMPOTENCY_KEY = "bad_idempotency_key"
    IDEMPOTENCY_RUNNING = "idempotency_running"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    IDEMPOTENCY_UNKNOWN = "idempotency_unknown"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNMEETABLE = "deadline_unmeetable"
    NO_BACK_END = "no_back_end"
    THREADS_EXHAUSTED = "threads_exhausted"
    MEMORY_FULL = "memory_full"
    STOPPING = "stopping"
    KEYS_UNVERIFIABLE = "keys_unverifiable"
    NOT_READY = "not_ready"
    STORE_UNAVAILABLE = "store_unavailable"
    QUARANTINED = "quarantined"
    CRASHES_BACK_ENDS = "crashes_back_ends"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    BACK_END_REFUSED = "back_end_refused"
    BACK_END_LOST = "back_end_lost"
    BACK_END_TIMEOUT = "back_end_timeout"
    INCOMPLETE_ANSWER = "incomplete_answer"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


class RunState(StrEnum):
    """Whether a request was executed. `not-run` guarantees that no back end executed it."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorAnswer(NamedTuple):
    """The HTTP response for an error kind. `is_retryable` means that the request may be retried."""

    status: int
    type: str
    run_state: RunState
    is_retryable: bool
    message: str


class Refusal(NamedTuple):
    """The refusal or failure of one request.

    `retry_after_s` is in seconds. `run_state` overrides the run state of the error kind if more is
    known about this request.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None
    run_state: RunState | None = None

    @property
    def answer(self) -> ErrorAnswer:
        return ERROR_ANSWERS[self.kind]

    @property
    def state(self) -> RunState:
        return self.run_state or self.answer.run_state


_REQUEST = "invalid_request_error"
_AUTH = "authentication_error"
_LIMIT = "rate_limit_error"
_SERVER = "server_error"
_NOT_RUN, _UNKNOWN = RunState.NOT_RUN, RunState.UNKNOWN

ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    kind: ErrorAnswer(*answer)
    for kind, answer in {
        ErrorKind.BAD_REQUEST: (400, _REQUEST, _NOT_RUN, False, "The request is malformed."),
        ErrorKind.MISSING_KEY: (401, _AUTH, _NOT_RUN, False, "The request carries no key."),
        ErrorKind.UNKNOWN_KEY: (401, _AUTH, _NOT_RUN, False, "The key is not known."),
        ErrorKind.WITHDRAWN_KEY: (401, _AUTH, _NOT_RUN, False, "The key was withdrawn."),
        ErrorKind.NOT_ALLOWED: (
            403,
            "permission_error",
            _NOT_RUN,
            False,
            "The customer may not use this service.",
        ),
        ErrorKind.UNKNOWN_ROUTE: (404, _REQUEST, _NOT_RUN, False, "There is no such route."),
        ErrorKind.UNKNOWN_MODEL: (404, _REQUEST, _NOT_RUN, False, "There is no such model."),
        ErrorKind.METHOD_NOT_ALLOWED: (
            405,
            _REQUEST,
            _NOT_RUN,
            False,
            "The route does not take this method.",
        ),
        ErrorKind.BAD_IDEMPOTENCY_KEY: (
            400,
            _REQUEST,
            _NOT_RUN,
            False,
            "The Idempotency-Key must have 1 to 255 visible ASCII characters.",
        ),
        ErrorKind.IDEMPOTENCY_RUNNING: (
            409,
            _REQUEST,
            _NOT_RUN,
            True,
            "The first request with this Idempotency-Key is still running.",
        ),
        ErrorKind.IDEMPOTENCY_MISMATCH: (
            422,
            _REQUEST,
            _NOT_RUN,
            False,
            "The Idempotency-Key was used with a different request.",
        ),
        ErrorKind.IDEMPOTENCY_UNKNOWN: (
            502,
            _SERVER,
            _UNKNOWN,
            False,
            "It is not known whether the first request with this Idempotency-Key ran.",
        ),
        ErrorKind.BODY_TOO_LARGE: (413, _REQUEST, _NOT_RUN, False, "The body is too large."),
        ErrorKind.HEADER_TOO_LARGE: (431, _REQUEST, _NOT_RUN, False, "The headers are too large."),
        ErrorKind.RATE_LIMITED: (429, _LIMIT, _NOT_RUN, True, "The customer's limit is reached."),
        ErrorKind.QUEUE_FULL: (429, _LIMIT, _NOT_RUN, True, "The customer's queue is full."),
        ErrorKind.DEADLINE_UNMEETABLE: (
            503,
            _SERVER,
            _NOT_RUN,
            True,
            "The request could not be answered within its deadline.",
        ),
        ErrorKind.NO_BACK_END: (503, _SERVER, _NOT_RUN, True, "No back end is available."),
        ErrorKind.THREADS_EXHAUSTED: (
            503,
            _SERVER,
            _NOT_RUN,
            True,
            "This node is full.",
        ),
        ErrorKind.MEMORY_FULL: (
            503,
            _SERVER,
            _NOT_RUN,
            True,
            "The memory for requests is full.",
        ),
        ErrorKind.STOPPING: (503, _SERVER, _NOT_RUN, True, "This node is stopping."),
        ErrorKind.KEYS_UNVERIFIABLE: (
            503,
            _SERVER,
            _NOT_RUN,
            True,
            "This node cannot tell whether the key was withdrawn.",
        ),
        ErrorKind.NOT_READY: (503, _SERVER, _NOT_RUN, True, "This node is not ready."),
        ErrorKind.STORE_UNAVAILABLE: (503, _SERVER, _NOT_RUN, True, "The store is unavailable."),
        ErrorKind.QUARANTINED: (
            422,
            _REQUEST,
            _NOT_RUN,
            True,
            "This request crashed back ends and is held back.",
        ),
        ErrorKind.CRASHES_BACK_ENDS: (
            503,
            _SERVER,
            _NOT_RUN,
            True,
            "Requests like this one crashed back ends; it is held back for a time.",
        ),
        ErrorKind.STREAM_NOT_RESUMABLE: (
            503,
            _SERVER,
            _NOT_RUN,
            False,
            "The stream cannot go on: no back end has the software that began it, or it is unknown.",
        ),
        ErrorKind.BACK_END_REFUSED: (
            502,
            _SERVER,
            _NOT_RUN,
            True,
            "The back end refused.",
        ),
        ErrorKind.BACK_END_LOST: (
            502,
            _SERVER,
            _UNKNOWN,
            False,
            "The back end was lost.",
        ),
        ErrorKind.BACK_END_TIMEOUT: (
            504,
            _SERVER,
            _UNKNOWN,
            False,
            "The back end did not answer in time.",
        ),
        ErrorKind.INCOMPLETE_ANSWER: (
            502,
            _SERVER,
            _UNKNOWN,
            False,
            "The back end's answer ended early.",
        ),
        ErrorKind.CALLER_GONE: (499, _REQUEST, _UNKNOWN, False, "The caller disconnected."),
        ErrorKind.INTERNAL: (500, _SERVER, _UNKNOWN, False, "An internal error occurred."),
    }.items()
}
