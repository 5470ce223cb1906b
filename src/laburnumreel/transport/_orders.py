"""Connections for orders, whose undelivered bytes are discarded if the process ends."""

import json
import socket
from collections.abc import Mapping
from typing import Any

from expression import Error, Ok, Result

from laburnumreel.coordination import JsonResponse
from laburnumreel.transport._exchange import BackEndFailureError, Exchange, dial
from laburnumreel.transport._sockets import LINGER_RESET

# Limit of the answer to an order.
MAX_ANSWER_BYTES = 1024 * 1024


class HttpOrderConnection:
    """An HTTP connection that carries one order."""

    def __init__(self, exchange: Exchange, headers: Mapping[str, str], timeout_s: float) -> None:
        self._exchange = exchange
        self._timeout_s = timeout_s
        self._headers = {"Content-Type": "application/json", "Connection": "close", **headers}

    def write(
        self, path: str, body: Mapping[str, Any], headers: Mapping[str, str] | None = None
    ) -> Result[None, str]:
        sent_headers = {**self._headers, **(headers or {})}
        try:
            self._exchange.write(
                "POST", path, sent_headers, json.dumps(body).encode(), self._timeout_s
            )
        except BackEndFailureError as error:
            return Error(str(error))
        return Ok(None)

    def answer(self) -> Result[JsonResponse, str]:
        return _read_answer(self._exchange, "POST", self._timeout_s)

    def abort(self) -> None:
        self._exchange.abort()

    def close(self) -> None:
        self._exchange.discard()


class HttpOrderLink:
    """Opens connections for orders and reads lists of orders.

    Bytes of an order that are not delivered within `delivery_limit_s` seconds are discarded.
    """

    def __init__(self, timeout_s: float, delivery_limit_s: float, token: str = "") -> None:
        self._timeout_s = timeout_s
        user_timeout_ms = max(1, round(delivery_limit_s * 1000))
        self._options = (
            (socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms),
        )
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}

    def connect(self, address: tuple[str, int]) -> Result[HttpOrderConnection, str]:
        try:
            exchange = dial(address, self._timeout_s, Exchange.discard, self._options)
        except BackEndFailureError as error:
            return Error(str(error))
        return Ok(HttpOrderConnection(exchange, self._headers, self._timeout_s))

    def read(self, address: tuple[str, int], path: str) -> Result[JsonResponse, str]:
        try:
            exchange = dial(address, self._timeout_s, Exchange.discard)
        except BackEndFailureError as error:
            return Error(str(error))
        try:
            exchange.write("GET", path, dict(self._headers), None, self._timeout_s)
            return _read_answer(exchange, "GET", self._timeout_s)
        except BackEndFailureError as error:
            return Error(str(error))
        finally:
            exchange.discard()


def _read_answer(exchange: Exchange, method: str, timeout_s: float) -> Result[JsonResponse, str]:
    try:
        exchange.read_head(method, timeout_s)
        payload = exchange.read_whole(MAX_ANSWER_BYTES, timeout_s)
        body = json.loads(payload) if payload else {}
    except (BackEndFailureError, ValueError, RecursionError) as error:
        return Error(repr(error))
    return Ok(
        JsonResponse(exchange.status, body if isinstance(body, dict) else {}, exchange.header_map)
    )
