"""Wire formats: OpenAI-compatible bodies, HTTP headers, and messages between processes."""

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
    HOP_BY_HOP,
    answer_headers,
    find_key,
    forwarded_headers,
    headers_from_environ,
    is_safe_target,
    strip_key_from_query,
)
from laburnumreel.protocol._idempotency import (
    MAX_STORED_BYTES,
    idempotency_key,
    replay_answer,
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
from laburnumreel.protocol._prompt_parts import PART_DIGEST_BYTES, prompt_parts
from laburnumreel.protocol._target import RequestTarget, choose_host, parse_target

__all__ = [
    "HOP_BY_HOP",
    "MAX_STORED_BYTES",
    "PART_DIGEST_BYTES",
    "idempotency_key",
    "replay_answer",
    "request_digest",
    "DONE",
    "Answer",
    "AnswerBuilder",
    "RequestTarget",
    "choose_host",
    "parse_target",
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
    "prompt_parts",
    "find_key",
    "refusal_answer",
    "refusal_event",
    "is_safe_target",
    "sse_event",
    "status_line",
    "strip_key_from_query",
    "token_limit",
]
