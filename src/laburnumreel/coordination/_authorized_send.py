"""Sending of requests that require an authority in force."""

from collections.abc import Mapping
from typing import Any, Literal, NamedTuple, Protocol

from expression import Error, Ok, Result

from laburnumreel.coordination._authority import AuthorityRegistry
from laburnumreel.state import Authority

Address = tuple[str, int]


class JsonResponse(NamedTuple):
    """A receiver's response: HTTP status, JSON body and headers by name."""

    status: int
    body: dict[str, Any]
    headers: Mapping[str, str] = {}


class OrderConnection(Protocol):
    """An open connection for one request. Errors are texts for the log."""

    def write(
        self, path: str, body: Mapping[str, Any], headers: Mapping[str, str] | None = None
    ) -> Result[None, str]: ...

    def answer(self) -> Result[JsonResponse, str]: ...

    def abort(self) -> None:
        """End a wait for the response in another thread. Must not block."""

    def close(self) -> None:
        """Close the connection and discard unsent bytes."""


class OrderLink(Protocol):
    """Opens connections to the receivers of orders."""

    def connect(self, address: Address) -> Result[OrderConnection, str]: ...

    def read(self, address: Address, path: str) -> Result[JsonResponse, str]: ...


class SendFailure(NamedTuple):
    """A failed send. `not_sent`: no byte was sent. `lost`: the request may have had its effect."""

    kind: Literal["not_sent", "lost"]
    detail: str


class AuthorizedSender:
    """Sends requests under an authority. An instance must be used by one task only."""

    def __init__(self, authorities: AuthorityRegistry, link: OrderLink) -> None:
        self._authorities = authorities
        self._link = link

    def post(
        self,
        authority: Authority,
        address: Address,
        path: str,
        body: Mapping[str, Any],
        headers: Mapping[str, str] | None = None,
    ) -> Result[JsonResponse, SendFailure]:
        """Send one request and wait for its response.

        The authority is checked after the connection is established, because connecting can take
        long, and under the same lock as the write.
        """
        opened = self._link.connect(address)
        if opened.is_error():
            return Error(SendFailure("not_sent", opened.error))
        connection = opened.ok
        with self._authorities.track_connection(authority, connection.abort, connection.close):
            with self._authorities.guard_write(authority) as in_force:
                if not in_force:
                    return Error(SendFailure("not_sent", "the authority is not in force"))
                written = connection.write(path, body, headers)
            if written.is_error():
                return Error(SendFailure("lost", written.error))
            answer = connection.answer()
        return Ok(answer.ok) if answer.is_ok() else Error(SendFailure("lost", answer.error))
