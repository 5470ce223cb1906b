"""Connections that carry orders: bytes not yet delivered die with the process."""

import http.client
import json
import socket
import struct
from collections.abc import Mapping
from typing import Any

from expression import Error, Ok, Result

from laburnumreel.coordination import Answer

# On, for 0 seconds: closing resets the connection and drops what was not sent yet.
LINGER_NONE = struct.pack("ii", 1, 0)


class HttpOrderConnection:
    """One connection for one request by HTTP."""

    def __init__(self, connected: socket.socket, headers: Mapping[str, str]) -> None:
        self._socket = connected
        self._headers = {"Content-Type": "application/json", "Connection": "close", **headers}
        self._connection = http.client.HTTPConnection(*connected.getpeername()[:2])
        self._connection.sock = connected

    def write(
        self, path: str, body: Mapping[str, Any], headers: Mapping[str, str] | None = None
    ) -> Result[None, str]:
        sent = {**self._headers, **(headers or {})}
        try:
            self._connection.request("POST", path, json.dumps(body).encode(), sent)
        except (OSError, http.client.HTTPException) as error:
            return Error(repr(error))
        return Ok(None)

    def answer(self) -> Result[Answer, str]:
        return _read_answer(self._connection)

    def abort(self) -> None:
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The receiver has closed it already.
            return

    def close(self) -> None:
        self._connection.close()
        self._socket.close()


class HttpOrderLink:
    """Opens connections for orders and reads lists of orders."""

    def __init__(self, timeout_s: float, margin_s: float, token: str = "") -> None:
        self._timeout_s = timeout_s
        self._user_timeout_ms = max(1, round(margin_s * 1000))
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}

    def connect(self, address: tuple[str, int]) -> Result[HttpOrderConnection, str]:
        connected = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._user_timeout_ms)
            connected.settimeout(self._timeout_s)
            connected.connect(address)
            return Ok(HttpOrderConnection(connected, self._headers))
        except OSError as error:
            connected.close()
            return Error(repr(error))

    def read(self, address: tuple[str, int], path: str) -> Result[Answer, str]:
        connection = http.client.HTTPConnection(*address, timeout=self._timeout_s)
        try:
            connection.request("GET", path, headers=self._headers)
            return _read_answer(connection)
        except (OSError, http.client.HTTPException) as error:
            return Error(repr(error))
        finally:
            connection.close()


def _read_answer(connection: http.client.HTTPConnection) -> Result[Answer, str]:
    try:
        answer = connection.getresponse()
        payload = answer.read()
        body = json.loads(payload) if payload else {}
    except (OSError, http.client.HTTPException, ValueError) as error:
        return Error(repr(error))
    return Ok(Answer(answer.status, body if isinstance(body, dict) else {}))
