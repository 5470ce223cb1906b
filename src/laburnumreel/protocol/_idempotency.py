"""The `Idempotency-Key` header: checking it, identifying requests, and replaying answers."""

import hashlib
import re
from collections.abc import Mapping

from expression import Error, Ok, Result

from laburnumreel.protocol._answers import Answer, status_line
from laburnumreel.state import ErrorKind, Refusal, StoredAnswer

# A larger answer is not stored; a repeated request then gets the error `idempotency_unknown`.
MAX_STORED_BYTES = 8 * 1024 * 1024
REPLAYED_HEADER = ("Idempotency-Replayed", "true")

_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
# These methods change nothing, so that a repeated request needs no idempotency claim.
_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


def idempotency_key(method: str, headers: Mapping[str, str]) -> Result[str | None, Refusal]:
    """Return the idempotency key of a request that must run at most once, or None.

    >>> idempotency_key("POST", {"idempotency-key": "order-7"}).ok
    'order-7'
    """
    key = headers.get("idempotency-key")
    if key is None:
        return Ok(None)
    if _KEY_PATTERN.fullmatch(key) is None:
        return Error(Refusal(ErrorKind.BAD_IDEMPOTENCY_KEY))
    return Ok(None if method in _SAFE_METHODS else key)


def request_digest(method: str, target: str, body: bytes) -> str:
    """Return a digest that tells a repeated request from a different one with the same key."""
    head = f"{method} {target}\n".encode("utf-8", "replace")
    return hashlib.sha256(head + body).hexdigest()


def replay_answer(stored: StoredAnswer) -> Answer:
    """Return the stored answer for a repeated request, marked with `Idempotency-Replayed`."""
    headers = [*stored.headers, REPLAYED_HEADER]
    if not any(name.lower() == "content-length" for name, _ in headers):
        headers.append(("Content-Length", str(len(stored.body))))
    return Answer(status_line(stored.status), headers, stored.body)
