"""Which request an answer or refusal of a back end belongs to, and its `Retry-After`."""

from laburnumreel.transport import Exchange

# The largest accepted `Retry-After` of a back end: one day.
MAX_RETRY_AFTER_S = 86_400.0


def belongs_to_other_request(exchange: Exchange, request_id: str) -> bool:
    """Return whether the answer names another request in its `X-Request-Id` header."""
    return exchange.header("X-Request-Id") not in (None, request_id)


def is_for_this_request(exchange: Exchange) -> bool:
    """Return whether a refusal certainly belongs to the request on this exchange.

    On a reused connection, a refusal without a request id may be a repeated one of an earlier
    request, and the answer to this request may follow it.
    """
    return exchange.is_only_request or exchange.header("X-Request-Id") is not None


def parse_retry_after(retry_after: str | None) -> float | None:
    """Return the seconds in a `Retry-After` header, or None if there is no valid number.

    >>> parse_retry_after("3"), parse_retry_after("soon"), parse_retry_after(None)
    (3.0, None, None)
    """
    if retry_after is None or not (retry_after.isascii() and retry_after.isdigit()):
        return None
    seconds = float(retry_after)
    return seconds if seconds <= MAX_RETRY_AFTER_S else None
