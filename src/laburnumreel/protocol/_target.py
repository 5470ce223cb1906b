"""The target of a request, in the forms that RFC 9112 defines."""

import re
from typing import NamedTuple

from expression import Error, Ok, Result

# RFC 9112 allows neither spaces, control characters and bytes beyond ASCII nor a fragment.
_INVALID_PATTERN = re.compile(r"[^\x21-\x7e]|#")
_ABSOLUTE_PATTERN = re.compile(
    r"https?://(?P<authority>[^/?@]+)(?P<path>/[^?]*)?(?P<query>\?.*)?", re.IGNORECASE
)


class RequestTarget(NamedTuple):
    """The path and query of a request as the caller wrote them.

    `query` begins with its question mark, or is empty. `authority` is the host, and the port if there
    is one, of a target in absolute form, otherwise None.
    """

    path: str
    query: str
    authority: str | None = None

    @property
    def origin_form(self) -> str:
        """The target as it is sent to a backend server."""
        return self.path + self.query


def parse_target(target: str) -> Result[RequestTarget, str]:
    """Return the parts of a target in origin or absolute form, or what is wrong with it.

    The two other forms name no path: that of CONNECT is for proxies, and `*` is for a whole server.

    >>> parse_target("/look/http://shop.example/book?of=/a").ok
    RequestTarget(path='/look/http://shop.example/book', query='?of=/a', authority=None)
    >>> parse_target("http://shop.example?of=/a").ok
    RequestTarget(path='/', query='?of=/a', authority='shop.example')
    >>> parse_target("shop.example:80").error
    'the target is neither a path nor a URL'
    """
    if _INVALID_PATTERN.search(target):
        return Error("the target has characters that a target must not have")
    if target.startswith("/"):
        path, mark, query = target.partition("?")
        return Ok(RequestTarget(path, mark + query))
    absolute = _ABSOLUTE_PATTERN.fullmatch(target)
    if absolute is None:
        return Error("the target is neither a path nor a URL")
    path, query = absolute["path"] or "/", absolute["query"] or ""
    return Ok(RequestTarget(path, query, absolute["authority"]))


def choose_host(target: RequestTarget, host_header: str) -> Result[str, str]:
    """Return the host that a request is for, or why it is not clear.

    Callers must send the same host in an absolute target and in the Host header. Several Host
    headers have become one with a comma.

    >>> choose_host(RequestTarget("/", "", "Shop.example"), "shop.example").ok
    'shop.example'
    """
    if "," in host_header:
        return Error("the request has several hosts")
    if target.authority is None or host_header.lower() == target.authority.lower():
        return Ok(host_header)
    return Error("the host of the target is not that of the Host header")
