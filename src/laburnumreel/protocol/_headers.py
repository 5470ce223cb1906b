"""Callers' keys and headers: finding and removing the key, and choosing headers to forward."""

import re
from collections.abc import Iterable, Mapping
from urllib.parse import unquote, unquote_plus

from expression import Error, Ok, Result

from laburnumreel.state import ErrorKind, Refusal

MAX_KEY_CHARACTERS = 512

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)
# Request headers that the gateway sets itself. A caller that could set them would choose its own
# priority or resume another caller's request.
_REQUEST_HEADERS_SET_BY_GATEWAY = frozenset(
    {
        "authorization",
        "x-api-key",
        "host",
        "content-length",
        "expect",
        "x-request-id",
        "x-priority",
        "x-resume-from",
        "x-deadline-ms",
    }
)
_ANSWER_HEADERS_SET_BY_GATEWAY = frozenset(
    {"x-request-id", "x-error-kind", "x-run-state", "content-length"}
)

_NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_UNSAFE_VALUE_PATTERN = re.compile(r"[^\t\x20-\x7e\x80-\xff]")
_UNSAFE_PATH_PATTERN = re.compile(r"[\x00-\x20\x7f\\]")

Headers = list[tuple[str, str]]


def headers_from_environ(environ: Mapping[str, object]) -> dict[str, str]:
    """Return the headers of a WSGI request, by lower-case name."""
    headers = {
        name[5:].replace("_", "-").lower(): str(value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = str(environ["CONTENT_TYPE"])
    return headers


def find_key(headers: Mapping[str, str]) -> Result[str | None, Refusal]:
    """Return the caller's key from `Authorization: Bearer` or `X-Api-Key`, or None if it has none.

    Two different keys are refused, and so is a key that is too long or not ASCII.

    >>> find_key({"authorization": "Bearer lr-example"}).ok
    'lr-example'
    """
    found = set()
    scheme, _, rest = headers.get("authorization", "").partition(" ")
    if scheme.lower() == "bearer" and rest.strip():
        found.add(rest.strip())
    if headers.get("x-api-key", "").strip():
        found.add(headers["x-api-key"].strip())
    if len(found) > 1:
        return Error(Refusal(ErrorKind.BAD_REQUEST, "Two different keys were sent."))
    key = next(iter(found), None)
    if key is not None and (len(key) > MAX_KEY_CHARACTERS or not key.isascii()):
        return Error(Refusal(ErrorKind.UNKNOWN_KEY))
    return Ok(key)


def forwarded_headers(headers: Mapping[str, str], key: str | None) -> Headers:
    """Return the request headers to forward to a back end.

    Removed are hop-by-hop headers, headers that the gateway sets, and all that contain the key.
    """
    dropped = (
        HOP_BY_HOP
        | _REQUEST_HEADERS_SET_BY_GATEWAY
        | _connection_options(headers.get("connection", ""))
    )
    passed = []
    for name, value in headers.items():
        if name in dropped or not is_safe_header(name, value):
            continue
        if name == "cookie":
            value = strip_key_from_cookies(value, key)
            if not value:
                continue
        elif _contains_key(value, key) or _contains_key(name, key.lower() if key else None):
            continue
        passed.append((name, value))
    return passed


def answer_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a back end's answer that are forwarded to the caller."""
    headers = list(headers)
    connection_values = ",".join(value for name, value in headers if name.lower() == "connection")
    dropped = HOP_BY_HOP | _ANSWER_HEADERS_SET_BY_GATEWAY | _connection_options(connection_values)
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and is_safe_header(name, value)
    ]


def strip_key_from_query(query: str, key: str | None) -> str:
    """Return the query string without the parameters that contain the key.

    >>> strip_key_from_query("a=1&token=lr-x", "lr-x")
    'a=1'
    """
    if key is None or not query:
        return query
    kept = [part for part in query.split("&") if not _contains_key(part, key)]
    return "&".join(kept)


def strip_key_from_cookies(value: str, key: str | None) -> str:
    """Return the value of a Cookie header without the cookies that contain the key."""
    parts = [part.strip() for part in re.split("[;,]", value)]
    return "; ".join(part for part in parts if part and not _contains_key(part, key))


def is_safe_header(name: str, value: str) -> bool:
    """Return whether a header is free of characters that could inject another header."""
    return _NAME_PATTERN.fullmatch(name) is not None and _UNSAFE_VALUE_PATTERN.search(value) is None


def is_safe_target(path: str, raw_path: str) -> bool:
    """Return whether all servers interpret the decoded and the raw path in the same way.

    Servers differ in how they interpret dot segments, encoded separators and control characters.
    A back end could then serve another route than the one that was checked.
    """
    if not path.startswith("/") or "//" in path or _UNSAFE_PATH_PATTERN.search(path):
        return False
    if (
        not raw_path.startswith("/")
        or _UNSAFE_PATH_PATTERN.search(raw_path)
        or not raw_path.isascii()
    ):
        return False
    if re.search("%2f|%5c|%00", raw_path, re.IGNORECASE):
        return False
    return not any(segment in (".", "..") for segment in path.split("/"))


def _connection_options(value: str) -> frozenset[str]:
    return frozenset(part.strip().lower() for part in value.split(",") if part.strip())


def _contains_key(text: str, key: str | None) -> bool:
    if not key:
        return False
    # Decode twice, because a back end may decode a value that was encoded twice.
    decoded = unquote_plus(text)
    return key in text or key in unquote(text) or key in decoded or key in unquote_plus(decoded)
