"""Answers that the gateway creates itself: refusals and JSON bodies."""

import itertools
import json
import math
import secrets
from http import HTTPStatus
from typing import Any, NamedTuple

from laburnumreel.protocol._metrics import REFUSALS
from laburnumreel.protocol._openai import error_body, sse_event
from laburnumreel.state import Refusal

# Not a registered status, but common for a caller that closed its connection.
_CLIENT_CLOSED_REQUEST = 499
DEFAULT_RETRY_AFTER_S = 1.0


# Request ids are unique across processes by this random prefix, and within a process by the
# counter. Random bytes for each id would cost a system call.
_ID_PREFIX = secrets.token_hex(8)
_id_counter = itertools.count(1)


class Answer(NamedTuple):
    """A complete answer to a caller: status line, headers and body."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


def new_request_id() -> str:
    """Return a new request id. The gateway never accepts one from a caller."""
    return f"req-{_ID_PREFIX}{next(_id_counter):08x}"


def status_line(status: int) -> str:
    """Return the status code with its reason phrase."""
    if status == _CLIENT_CLOSED_REQUEST:
        return f"{status} Client Closed Request"
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def json_answer(value: Any, request_id: str, status: int = 200) -> Answer:
    """Return an answer with a JSON body and the request id in `X-Request-Id`."""
    body = json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode("utf-8", "replace")
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
    ]
    return Answer(status_line(status), headers, body)


def count_refusal(refusal: Refusal) -> None:
    """Count a refusal that can't be sent to the caller."""
    REFUSALS.inc(kind=str(refusal.kind))


def refusal_answer(refusal: Refusal, request_id: str) -> Answer:
    """Count a refusal and return the answer that reports it."""
    REFUSALS.inc(kind=str(refusal.kind))
    answer = json_answer(error_body(refusal), request_id, refusal.answer.status)
    answer.headers.append(("X-Error-Kind", str(refusal.kind)))
    answer.headers.append(("X-Run-State", str(refusal.state)))
    if refusal.answer.is_retryable or refusal.retry_after_s is not None:
        wait_s = DEFAULT_RETRY_AFTER_S if refusal.retry_after_s is None else refusal.retry_after_s
        answer.headers.append(("Retry-After", str(max(1, math.ceil(wait_s)))))
    return answer


def refusal_event(refusal: Refusal) -> bytes:
    """Count a refusal and return the final event of a stream that failed after its start."""
    REFUSALS.inc(kind=str(refusal.kind))
    body = error_body(refusal)
    body["error"]["run_state"] = str(refusal.state)
    return sse_event(json.dumps(body, separators=(",", ":")).encode())
