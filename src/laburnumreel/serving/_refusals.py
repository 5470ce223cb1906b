"""What the answer of a back end says about the request that it refuses or belongs to."""

from laburnumreel.transport import Exchange

# The longest time to come back that is taken from a back end: a day.
MAX_RETRY_AFTER_S = 86_400.0


def belongs_to_other_request(exchange: Exchange, request_id: str) -> bool:
    """Return whether the answer on an exchange belongs to another request, by its own word."""
    return exchange.header("X-Request-Id") not in (None, request_id)


def is_for_this_request(exchange: Exchange) -> bool:
    """Return whether a refusal is proven to be meant for the request on this exchange.

    One that names no request may be an earlier one, written once more, on a connection that was
    used before. The request's own answer may follow it there.
    """
    return exchange.is_only_request or exchange.header("X-Request-Id") is not None


def parse_retry_after(retry_after: str | None) -> float | None:
    """Return the seconds that a `Retry-After` header names, or None.

    >>> parse_retry_after("3"), parse_retry_after("soon"), parse_retry_after(None)
    (3.0, None, None)
    """
    if retry_after is None or not (retry_after.isascii() and retry_after.isdigit()):
        return None
    seconds = float(retry_after)
    return seconds if seconds <= MAX_RETRY_AFTER_S else None
