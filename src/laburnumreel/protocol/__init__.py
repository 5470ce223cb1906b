"""Formats: OpenAI-compatible bodies, headers, and messages between our own processes."""

from laburnumreel.protocol._answers import (
    Answer,
    count_refusal,
    json_answer,
    new_request_id,
    refusal_answer,
    refusal_event,
    status_line,
)
from laburnumreel.protocol._headers import (
    answer_headers,
    forwarded_headers,
    headers_from_environ,
    presented_key,
    safe_target,
    strip_query,
)
from laburnumreel.protocol._idempotency import (
    MAX_STORED_BYTES,
    idempotency_key,
    replay,
    request_digest,
)
from laburnumreel.protocol._openai import (
    DONE,
    AnswerBuilder,
    EventTooLargeError,
    ModelRequest,
    SseParser,
    engine_body,
    error_body,
    models_body,
    parse_model_request,
    sse_event,
    token_limit,
)

__all__ = [
    "MAX_STORED_BYTES",
    "idempotency_key",
    "replay",
    "request_digest",
    "DONE",
    "Answer",
    "AnswerBuilder",
    "EventTooLargeError",
    "ModelRequest",
    "SseParser",
    "answer_headers",
    "count_refusal",
    "engine_body",
    "error_body",
    "forwarded_headers",
    "headers_from_environ",
    "json_answer",
    "models_body",
    "new_request_id",
    "parse_model_request",
    "presented_key",
    "refusal_answer",
    "refusal_event",
    "safe_target",
    "sse_event",
    "status_line",
    "strip_query",
    "token_limit",
]
